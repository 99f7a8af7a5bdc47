#pragma once

#include "routing/fleet_view.hpp"
#include "routing/sliding_counter.hpp"

namespace poplardrift::routing
{

/// This host's share of the fleet-wide retry budget of one service. The proportional part depends
/// on this host's own requests; the fixed part is divided by the number of hosts that may be alive.
/// The shares therefore add up to the fleet's limit without coordination. Not thread-safe.
class host_retry_budget final
{
public:
    explicit host_retry_budget(duration window) : window(window), requests(window), repeats(window)
    {
    }

    /// Changes the length of the window. Counts the repeats of the former window as made at `now`
    /// and restarts the request count at zero, so that the change does not free any budget.
    auto set_window(duration new_window, time_point now) -> void;

    auto on_request(time_point now) -> void { this->requests.add(now); }
    /// True if try_consume would succeed.
    [[nodiscard]] auto has_room(time_point now, const fleet_bounds& bounds, std::size_t host_count)
        -> bool;
    /// Consumes one retry; returns false if the budget is exhausted.
    [[nodiscard]] auto try_consume(time_point now, const fleet_bounds& bounds,
                                   std::size_t host_count) -> bool;

private:
    duration window;
    sliding_counter requests;
    sliding_counter repeats;
};

} // namespace poplardrift::routing
