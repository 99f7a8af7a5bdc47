#pragma once

#include "emulator/world.hpp"

#include <atomic>

namespace poplardrift::emulator
{

/// A stand-in for one plain service: takes bookings, which it counts by order number, and answers
/// look-ups, which change nothing. Bookings of all services of a pool share one ledger.
class booking_ledger final
{
public:
    /// Counts one execution and returns how many there are now.
    auto book(const std::string& order) -> std::int64_t;
    [[nodiscard]] auto count(const std::string& order) const -> std::int64_t;
    [[nodiscard]] auto doubled() const -> std::int64_t;
    [[nodiscard]] auto size() const -> std::size_t;
    auto reset() -> void;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::int64_t> executions;
};

class plain_service final
{
public:
    plain_service(const nlohmann::json& settings, const nlohmann::json& defaults, world& around,
                  booking_ledger& ledger);

    [[nodiscard]] auto start() -> bool { return this->listener.start(); }
    auto set_faults(const nlohmann::json& changes) -> void;
    [[nodiscard]] auto stats() const -> nlohmann::json;
    [[nodiscard]] auto name() const -> const std::string& { return this->own_name; }

private:
    auto handle(const httplib::Request& request, httplib::Response& response, bool books) -> void;

    std::string own_name;
    std::string zone;
    world& around;
    booking_ledger& ledger;
    http_listener listener;
    double work_ms;
    std::atomic<bool> down{false};
    std::atomic<bool> silent{false};
    std::atomic<bool> leaving{false};
    std::atomic<double> lose_answers{
        0.0}; ///< part of bookings whose answer is lost after the effect
    std::atomic<double> fail_booked{0.0}; ///< part of bookings answered with 503 after the effect
    std::atomic<double> refuse{0.0};      ///< part of requests refused before any effect
    std::atomic<double> late_ms{0.0};
    std::atomic<int> running{0};
    std::atomic<std::int64_t> served{0};
};

} // namespace poplardrift::emulator
