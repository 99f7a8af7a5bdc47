#pragma once

#include "poplardrift/base/time.hpp"
#include "routing/sliding_counter.hpp"

#include <cstddef>
#include <cstdint>

namespace poplardrift::overload
{

/// Decides when refused callers of one service return to this host. Answers a burst of more
/// requests than the service has room for: callers that all return after the same short time meet
/// the burst that they were refused in, and each other.
///
/// Each refused caller books a place. Places free up at the rate at which requests complete, of
/// which returning callers get a part and new ones the rest. Each response names the time of its
/// place, spread a little, so the first refused return first and none return together. Needs no
/// clock and no network; callers pass the time. Not thread-safe.
class return_schedule final
{
public:
    /// A request of the service has ended at an upstream, which frees a place.
    auto on_completion(time_point now) -> void { this->completions.add(now); }
    /// Books a place and returns the time until it is free, between a lower bound and
    /// `longest_wait`, the longest time that the caller waits before it returns anyway. `seed`
    /// spreads the times of callers, for example a hash of the request's id. `rank` is the number
    /// of classes of requests that are more urgent: they return before this one.
    [[nodiscard]] auto book(time_point now, duration longest_wait, std::uint64_t seed,
                            std::size_t rank = 0) -> duration;

private:
    [[nodiscard]] auto time_per_place(time_point now) -> duration;

    routing::sliding_counter completions{std::chrono::seconds(2)};
    time_point next_place{};
};

} // namespace poplardrift::overload
