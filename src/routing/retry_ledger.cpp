#include "routing/retry_ledger.hpp"

namespace poplardrift::routing
{

namespace
{

/// Part of the limit that is used: requests under way between callers, hosts and upstreams fall
/// into different windows at each of them.
constexpr double used_part = 0.8;

} // namespace

auto retry_ledger::set_window(duration next, time_point now) -> void
{
    if (next == this->window)
    {
        return;
    }
    const auto made = this->repeats.total(now);
    this->window = next;
    this->requests = sliding_counter(next);
    this->repeats = sliding_counter(next);
    this->repeats.add(now, static_cast<std::uint32_t>(made));
}

auto retry_ledger::take(time_point now, const fleet_bounds& bounds, std::size_t host_count) -> bool
{
    const auto by_requests = bounds.retry_ratio * static_cast<double>(this->requests.total(now));
    const auto fixed = bounds.retry_slack / static_cast<double>(host_count);
    const auto used = static_cast<double>(this->repeats.total(now));
    if (used + 1.0 > used_part * (by_requests + fixed))
    {
        return false;
    }
    this->repeats.add(now);
    return true;
}

} // namespace poplardrift::routing
