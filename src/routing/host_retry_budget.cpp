#include "routing/host_retry_budget.hpp"

namespace poplardrift::routing
{

namespace
{

/// Uses only part of the limit: callers, hosts and upstreams count a request in flight between them
/// in different windows.
constexpr double limit_margin_factor = 0.8;

} // namespace

auto host_retry_budget::set_window(duration new_window, time_point now) -> void
{
    if (new_window == this->window)
    {
        return;
    }
    const auto former_repeats = this->repeats.total(now);
    this->window = new_window;
    this->requests = sliding_counter(new_window);
    this->repeats = sliding_counter(new_window);
    this->repeats.add(now, static_cast<std::uint32_t>(former_repeats));
}

auto host_retry_budget::has_room(time_point now, const fleet_bounds& bounds, std::size_t host_count)
    -> bool
{
    const auto request_share = bounds.retry_ratio * static_cast<double>(this->requests.total(now));
    const auto fixed_share = bounds.retry_slack / static_cast<double>(host_count);
    const auto used = static_cast<double>(this->repeats.total(now));
    return used + 1.0 <= limit_margin_factor * (request_share + fixed_share);
}

auto host_retry_budget::try_consume(time_point now, const fleet_bounds& bounds,
                                    std::size_t host_count) -> bool
{
    if (!this->has_room(now, bounds, host_count))
    {
        return false;
    }
    this->repeats.add(now);
    return true;
}

} // namespace poplardrift::routing
