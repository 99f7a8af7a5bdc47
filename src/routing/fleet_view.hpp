#pragma once

#include "poplardrift/base/ids.hpp"
#include "routing/routing_configuration.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace poplardrift::routing
{

/// Name of an upstream as it registers itself.
using upstream_name = strong_type<struct upstream_name_tag, std::string>;

/// What an upstream says of itself in the registry.
struct upstream_entry
{
    upstream_name name;
    std::string service;
    boost::asio::ip::tcp::endpoint address;
    zone_name zone;
    bool leaving = false;           ///< finishes what it has; takes nothing new
    duration cold_remaining{};      ///< from the moment of writing
    std::uint64_t start_number = 0; ///< differs between starts of an upstream; 0 when not said
};

/// An upstream as the control thread knows it.
struct known_upstream
{
    upstream_entry entry;
    time_point cold_until{};   ///< on the local clock
    time_point usable_until{}; ///< time_point::max() unless its entry has lapsed
};

/// Limits that hold over all hosts together, and times in which changes take effect.
struct fleet_bounds
{
    double retry_ratio = 0.2;
    duration retry_window = std::chrono::seconds(10);
    double retry_slack = 0.0;
    double cold_multiplier = 1.0;
    double cold_slack = 0.0;
    double load_factor = 2.0;
    duration leave_within = std::chrono::seconds(2);
    duration stop_within = std::chrono::seconds(8);
};

/// Immutable picture of the fleet that the control thread hands to the traffic thread.
struct fleet_view
{
    std::shared_ptr<const routing_configuration> configuration; ///< null before the first one
    std::vector<known_upstream> upstreams;
    std::set<zone_name> zones_out; ///< taken out of service by operators
    std::size_t host_count = 1;    ///< hosts that may be alive, this one included
    fleet_bounds bounds;
    bool upstreams_known = false; ///< the registry, or a peer's copy, has been read once
};

} // namespace poplardrift::routing
