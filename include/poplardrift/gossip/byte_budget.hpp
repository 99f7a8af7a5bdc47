#pragma once

#include "poplardrift/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplardrift
{

/// Kinds of control traffic that the budget accounts for.
enum class control_traffic : std::uint8_t
{
    heartbeats,   ///< periodic messages between hosts
    urgent,       ///< messages between hosts sent before the next heartbeat
    log,          ///< reads of the platform's log and appends of configuration
    host_list,    ///< reads of the platform's host list
    reports,      ///< reads of upstreams' reports
    transactions, ///< claims and outcomes of transactions
};

/// Number of kinds of control traffic.
inline constexpr std::size_t control_traffic_kinds = 6;

/// Name of a kind in metrics.
[[nodiscard]] auto to_text(control_traffic kind) -> std::string_view;

/// Settings of the control-traffic budget of one host.
struct byte_budget_settings
{
    double bytes_per_second = 4600.0;   ///< refill rate, including all overhead
    double burst_bytes = 14'000.0;      ///< capacity of the bucket
    std::size_t message_overhead = 146; ///< bytes of headers and acknowledgment per message
};

/// Token bucket for the control traffic that a host causes on the network, in bytes. Control thread
/// only.
class byte_budget final
{
public:
    explicit byte_budget(byte_budget_settings settings, time_point now);

    /// True when a message of this size plus overhead fits the current balance.
    [[nodiscard]] auto fits(std::size_t payload, time_point now) -> bool;
    /// Counts a message plus overhead. The balance may become negative, for messages that cannot be
    /// delayed.
    auto spend(std::size_t payload, control_traffic kind, time_point now) -> void;
    /// Counts bytes of other control traffic, such as probes, without message overhead.
    auto spend_raw(std::size_t bytes, control_traffic kind, time_point now) -> void;
    /// Payload bytes that one message may have now.
    [[nodiscard]] auto available_bytes(time_point now) -> std::size_t;
    /// Total bytes counted.
    [[nodiscard]] auto total() const -> std::uint64_t;
    /// Bytes counted by kind, indexed by `control_traffic`.
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
