#pragma once

#include "routing/fleet_view.hpp"
#include "routing/host_group.hpp"
#include "routing/upstream_key.hpp"

namespace poplardrift::routing
{

/// Requests per second that this host may send to one cold upstream. Answers the load of a fleet
/// that finds an empty, slow upstream attractive all at once.
///
/// The limit applies to the sum over all hosts. It is divided among the hosts that come first in
/// the upstream's rendezvous order, as many as get at least one request a second each; the others
/// send nothing until the upstream is warm. The sum holds without communication if the hosts agree
/// on the group; part of the limit is left unused for hosts that others do not count yet. A host
/// that is not settled takes no share that another host may still hold.
[[nodiscard]] auto cold_rate_of_host(const service_rules& rules, const fleet_bounds& bounds,
                                     const host_group& hosts, upstream_key upstream) -> double;

} // namespace poplardrift::routing
