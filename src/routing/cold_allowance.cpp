#include "routing/cold_allowance.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift::routing
{

namespace
{

/// Uses only part of the cold limit: new hosts are not counted until they are discovered.
constexpr double cold_limit_margin_factor = 0.8;
/// Smallest useful share, in requests per second: with less, a host sends nothing in most seconds.
constexpr double min_share = 1.0;

} // namespace

auto cold_rate_of_host(const service_rules& rules, const fleet_bounds& bounds,
                       const host_group& hosts, upstream_key upstream) -> double
{
    const auto fleet_rate =
        cold_limit_margin_factor *
        (rules.cold_requests_per_second * bounds.cold_multiplier + bounds.cold_slack);
    const auto most_holders = static_cast<std::size_t>(std::max(1.0, fleet_rate / min_share));
    if (hosts.count <= most_holders)
    {
        return fleet_rate / static_cast<double>(hosts.count);
    }
    const auto holds_share =
        hosts.is_settled && rendezvous_rank(hosts.own, hosts.others, upstream) < most_holders;
    return holds_share ? fleet_rate / static_cast<double>(most_holders) : 0.0;
}

} // namespace poplardrift::routing
