#include "overload/return_schedule.hpp"

#include <algorithm>

namespace poplardrift::overload
{

namespace
{

using namespace std::chrono_literals;

/// Earliest return: what the service's upstreams have in progress takes about this long, and hosts
/// learn of it in this time.
constexpr duration min_wait = 150ms;
/// Part of the places that free up that returning callers get; new ones take the rest.
constexpr double returning_part = 0.5;
constexpr double completion_window_seconds = 2.0; ///< of the completions counter
/// Each more urgent class puts a return off by the wait for a place, divided by this.
constexpr std::int64_t rank_divisor = 2;
/// Largest deviation from the time of the place, as a part of the wait.
constexpr double spread = 0.2;

} // namespace

auto return_schedule::time_per_place(time_point now) -> duration
{
    const auto rate = static_cast<double>(this->completions.total(now)) / completion_window_seconds;
    // Without completions nothing is known of the rate; callers then return one after the other.
    return rate > 0.0 ? from_seconds(1.0 / (rate * returning_part)) : min_wait;
}

auto return_schedule::book(time_point now, duration longest_wait, std::uint64_t seed,
                           std::size_t rank) -> duration
{
    this->next_place = std::max(this->next_place, now + min_wait);
    const auto place = this->next_place - now;
    const auto wait = place + place * static_cast<std::int64_t>(rank) / rank_divisor;
    if (wait < longest_wait)
    {
        // Later places are not used: the caller would not wait for them.
        this->next_place += this->time_per_place(now);
    }
    constexpr std::uint64_t steps = 1024;
    const auto deviation =
        spread * (2.0 * static_cast<double>(seed % steps) / static_cast<double>(steps) - 1.0);
    const auto spread_wait =
        from_seconds(to_seconds(std::min(wait, longest_wait)) * (1.0 + deviation));
    return std::clamp(spread_wait, std::min(min_wait, longest_wait), longest_wait);
}

} // namespace poplardrift::overload
