#pragma once

#include "routing/fleet_view.hpp"
#include "routing/sliding_counter.hpp"

namespace poplardrift::routing
{

/// This host's part of the fleet's limit on repeated sends to one service. The part that grows with
/// requests follows this host's own requests; the fixed part is divided by the hosts that may be
/// alive. The parts of all hosts add up to the limit whatever they know of each other. One thread.
class host_retry_budget final
{
public:
    explicit host_retry_budget(duration window) : window(window), requests(window), repeats(window)
    {
    }

    /// The limit holds over another length of time from now on. Repeats of the former window count
    /// as made now, and requests are counted anew, so that the change frees no budget.
    auto set_window(duration new_window, time_point now) -> void;

    auto on_request(time_point now) -> void { this->requests.add(now); }
    /// Takes one repeated send out of the budget; false when none is left.
    [[nodiscard]] auto try_consume(time_point now, const fleet_bounds& bounds,
                                   std::size_t host_count) -> bool;

private:
    duration window;
    sliding_counter requests;
    sliding_counter repeats;
};

} // namespace poplardrift::routing
