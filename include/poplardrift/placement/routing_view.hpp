#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/config/declarations.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplardrift
{

/// Position of a pool in a routing view.
using pool_index = strong_type<struct pool_index_tag, std::uint32_t>;
/// Position of a workspace in a routing view.
using workspace_index = strong_type<struct workspace_index_tag, std::uint32_t>;

/// Snapshot of one upstream for the traffic threads.
struct upstream_view
{
    upstream_id id;
    std::string path;
    std::string address;
    std::uint16_t port = 0;
    std::string zone;
    upstream_kind kind = upstream_kind::engine;
    double weight = 1.0;
    bool refusals_are_true = false;
    bool eligible = false; ///< may receive new requests
    host_id owner;         ///< host that grants its slots; zero if none
    upstream_state state = upstream_state::cold;
};

/// The upstreams of one pool, in id order.
struct pool_view
{
    pool_id id;
    std::string name;
    std::vector<upstream_view> upstreams;
    bool equal_weights = true;
};

/// A declared route with its resolved pool.
struct route_view
{
    route_declaration declared;
    pool_index pool;
};

/// A declared workspace with its id.
struct workspace_view
{
    workspace_id id;
    workspace_declaration declared;
};

/// Immutable snapshot of routes, pools and workspaces. The control thread publishes a new one after
/// each change; traffic threads read the latest one without a lock.
struct routing_view
{
    std::uint64_t revision = 0;
    log_offset configuration;
    std::vector<pool_view> pools;           ///< in name order
    std::vector<route_view> routes;         ///< longest prefix first
    std::vector<workspace_view> workspaces; ///< in path order
    std::unordered_map<std::string, workspace_index>
        workspaces_by_key; ///< keyed by the SHA-256 of an API key
    limits_declaration limits;

    /// Returns the route with the longest matching prefix; null if none matches.
    [[nodiscard]] auto match(std::string_view method, std::string_view target) const
        -> const route_view*;
    /// Returns an upstream of a pool by id; null if the pool does not contain it.
    [[nodiscard]] auto find(pool_index pool, upstream_id id) const -> const upstream_view*;
};

/// Runtime state of an upstream that is not part of its declaration.
struct upstream_runtime_info
{
    host_id owner;
    upstream_status status;
};

/// Builds a view from the declarations and the runtime state of each upstream.
[[nodiscard]] auto make_routing_view(const declarations& declared,
                                     const std::map<upstream_id, upstream_runtime_info>& known,
                                     log_offset configuration, std::uint64_t revision)
    -> std::shared_ptr<const routing_view>;

/// True if neither the upstream nor its zone is declared out of service.
[[nodiscard]] auto is_in_service(const declarations& declared, const upstream_declaration& item)
    -> bool;

} // namespace poplardrift
