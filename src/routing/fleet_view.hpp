#pragma once

#include "poplardrift/base/ids.hpp"
#include "rollout/rollout_order.hpp"
#include "routing/host_group.hpp"
#include "routing/routing_configuration.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplardrift::routing
{

/// Name under which an upstream registers itself.
using upstream_name = strong_type<struct upstream_name_tag, std::string>;

/// Registry entry that an upstream publishes about itself.
struct upstream_entry
{
    upstream_name name;
    std::string service;
    boost::asio::ip::tcp::endpoint address;
    zone_name zone;
    bool leaving = false;           ///< draining: finishes its requests, accepts no new ones
    duration cold_remaining{};      ///< remaining cold time when the entry was written
    std::uint64_t start_number = 0; ///< differs between starts of an upstream; 0 if not set
    std::int64_t sequence = 0;      ///< grows with each entry that the upstream writes in one start
    std::string version;            ///< of the upstream's software
    int slots = 0;                  ///< requests that it runs at once; 0 if unknown
};

/// Registry entry with its times converted to the local clock by the control thread.
struct known_upstream
{
    upstream_entry entry;
    time_point cold_until{};    ///< counts as cold before this time
    time_point start_seen_at{}; ///< when its current start number was first received
    time_point usable_until{};  ///< time_point::max() unless the entry has expired
};

/// Limits on the sum over all hosts, and the times within which changes must take effect.
struct fleet_bounds
{
    double retry_ratio = 0.2;
    duration retry_window = std::chrono::seconds(10);
    double retry_slack = 0.0;
    double cold_multiplier = 1.0;
    double cold_slack = 0.0;
    double load_factor = 2.0;
    bool overload_control = false;                   ///< admission by src/overload
    duration apply_within = std::chrono::seconds(2); ///< until a configuration is in force
    duration leave_within = std::chrono::seconds(2); ///< until no host sends to a leaving upstream
    bool learn_speeds = false; ///< for all services, not only those whose upstreams report speeds
    duration stop_within = std::chrono::seconds(8);  ///< until a stopping host has exited
    std::optional<rollout::rollout_bounds> rollouts; ///< empty: no roll-outs are served
};

/// Immutable snapshot of the fleet, published by the control thread to the traffic thread.
struct fleet_view
{
    std::shared_ptr<const routing_configuration> configuration; ///< null until one is loaded
    std::vector<known_upstream> upstreams;
    std::vector<rollout::rollout_order> rollouts; ///< the newest order of each service
    std::set<zone_name> zones_out;                ///< zones that operators took out of service
    host_group hosts;                             ///< hosts that may be sending requests
    fleet_bounds bounds;
    bool upstreams_known = false; ///< the registry or a peer's copy has been read once
};

} // namespace poplardrift::routing
