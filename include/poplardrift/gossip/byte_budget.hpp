#pragma once

#include "poplardrift/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplardrift
{

/// What control bytes are spent on.
enum class control_traffic : std::uint8_t
{
    heartbeats,   ///< messages between hosts at their regular times
    urgent,       ///< messages between hosts that could not wait
    log,          ///< reads of the platform's log and appends of configuration
    host_list,    ///< reads of the platform's host list
    reports,      ///< reads of upstreams' reports
    transactions, ///< claims and outcomes of transactions
};

/// Number of kinds of control traffic.
inline constexpr std::size_t control_traffic_kinds = 6;

/// Name of a kind, as metrics show it.
[[nodiscard]] auto to_text(control_traffic kind) -> std::string_view;

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
    auto spend(std::size_t payload, control_traffic kind, time_point now) -> void;
    /// Counts bytes that were caused otherwise, such as probes, without message overhead.
    auto spend_raw(std::size_t bytes, control_traffic kind, time_point now) -> void;
    /// Bytes that may be sent now, after overhead of one message.
    [[nodiscard]] auto available_bytes(time_point now) -> std::size_t;
    /// All bytes counted so far.
    [[nodiscard]] auto total() const -> std::uint64_t;
    /// Bytes counted so far by kind, in the order of the kinds.
    [[nodiscard]] auto by_kind() const -> const std::array<std::uint64_t, control_traffic_kinds>&
    {
        return this->spent;
    }

private:
    auto refill(time_point now) -> void;

    byte_budget_settings settings;
    double balance;
    time_point last;
    std::array<std::uint64_t, control_traffic_kinds> spent{};
};

} // namespace poplardrift
