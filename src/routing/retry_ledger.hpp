#pragma once

#include "routing/fleet_view.hpp"
#include "routing/sliding_counter.hpp"

namespace poplardrift::routing
{

/// This host's part of the fleet's limit on repeated sends to one service. The part that grows with
/// requests follows this host's own requests; the fixed part is divided by the hosts that may be
/// alive. The parts of all hosts add up to the limit whatever they know of each other. One thread.
class retry_ledger final
{
public:
    explicit retry_ledger(duration window) : requests(window), repeats(window) {}

    auto on_request(time_point now) -> void { this->requests.add(now); }
    /// Takes one repeated send out of the budget; false when none is left.
    [[nodiscard]] auto take(time_point now, const fleet_bounds& bounds, std::size_t host_count)
        -> bool;

private:
    sliding_counter requests;
    sliding_counter repeats;
};

} // namespace poplardrift::routing
