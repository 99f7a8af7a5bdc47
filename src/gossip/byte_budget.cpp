#include "poplardrift/gossip/byte_budget.hpp"

#include <algorithm>
#include <numeric>

namespace poplardrift
{

auto to_text(control_traffic kind) -> std::string_view
{
    static constexpr std::string_view names[] = {"heartbeats", "urgent",  "log",
                                                 "host_list",  "reports", "transactions"};
    return names[static_cast<std::size_t>(kind)];
}

byte_budget::byte_budget(byte_budget_settings settings, time_point now)
    : settings(settings), balance(settings.burst_bytes), last(now)
{
}

auto byte_budget::refill(time_point now) -> void
{
    if (now <= this->last)
    {
        return;
    }
    const auto refilled = to_seconds(now - this->last) * this->settings.bytes_per_second;
    this->balance = std::min(this->balance + refilled, this->settings.burst_bytes);
    this->last = now;
}

auto byte_budget::available_bytes(time_point now) -> std::size_t
{
    this->refill(now);
    const auto left = this->balance - static_cast<double>(this->settings.message_overhead);
    return left > 0 ? static_cast<std::size_t>(left) : 0;
}

auto byte_budget::fits(std::size_t payload, time_point now) -> bool
{
    return this->available_bytes(now) >= payload;
}

auto byte_budget::total() const -> std::uint64_t
{
    return std::accumulate(this->spent.begin(), this->spent.end(), std::uint64_t{0});
}

auto byte_budget::spend(std::size_t payload, control_traffic kind, time_point now) -> void
{
    this->spend_raw(payload + this->settings.message_overhead, kind, now);
}

auto byte_budget::spend_raw(std::size_t bytes, control_traffic kind, time_point now) -> void
{
    this->refill(now);
    // The rate of transaction claims follows the callers' requests. Charging them would starve the
    // messages between hosts.
    this->balance -= kind == control_traffic::transactions ? 0.0 : static_cast<double>(bytes);
    this->spent[static_cast<std::size_t>(kind)] += bytes;
}

} // namespace poplardrift
