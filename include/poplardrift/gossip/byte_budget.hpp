#pragma once

#include "poplardrift/base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace poplardrift
{

/// Settings of the control-traffic budget of one host.
struct byte_budget_settings
{
    double bytes_per_second = 4600.0;   ///< long-run rate, all overhead counted
    double burst_bytes = 14'000.0;      ///< most that may be saved up
    std::size_t message_overhead = 146; ///< headers and acknowledgement of one message, bytes
};

/// Token bucket over the control bytes that a host causes on the wire. Control thread only.
class byte_budget final
{
public:
    explicit byte_budget(byte_budget_settings settings, time_point now);

    /// True when a message of this size with overhead fits now.
    [[nodiscard]] auto fits(std::size_t payload, time_point now) -> bool;
    /// Counts a message; the balance may go below zero for messages that must go out.
    auto spend(std::size_t payload, time_point now) -> void;
    /// Counts bytes that were caused otherwise, such as probes, without message overhead.
    auto spend_raw(std::size_t bytes, time_point now) -> void;
    /// Bytes that may be sent now, after overhead of one message.
    [[nodiscard]] auto room(time_point now) -> std::size_t;
    /// All bytes counted so far.
    [[nodiscard]] auto total() const noexcept -> std::uint64_t { return this->spent; }
    [[nodiscard]] auto overhead() const noexcept -> std::size_t { return this->settings.message_overhead; }

private:
    auto refill(time_point now) -> void;

    byte_budget_settings settings;
    double balance;
    time_point last;
    std::uint64_t spent = 0;
};

} // namespace poplardrift
