#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/config/json_reader.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplardrift
{

/// Kind of an upstream: a model engine or another service.
enum class upstream_kind
{
    engine,
    service,
};

/// How requests of a route may be retried.
enum class route_kind
{
    chat,           ///< streamed chat completion; may be resumed or rerun on another upstream
    idempotent,     ///< may be retried within deadline and retry budget
    non_idempotent, ///< runs at most once
};

/// An upstream. Declared at `/TEAM/upstreams/NAME`.
struct upstream_declaration
{
    std::string path;
    std::string address;   ///< IP address
    std::int64_t port = 0; ///< TCP port
    std::string zone;      ///< availability zone
    std::string pool;      ///< upstreams of a pool serve the same routes
    upstream_kind kind = upstream_kind::engine;
    double weight = 1.0;            ///< relative share of the pool's conversations
    std::int64_t capacity = 64;     ///< limit of requests in flight when warm
    std::int64_t cold_capacity = 2; ///< limit of requests in flight during cold start
    bool in_service = true;         ///< false: gets no new requests
    bool checks_fencing = false;    ///< rejects orders with an old fencing number
    bool refusals_are_true = false; ///< its "not run" answers are trusted
    std::string model;              ///< model to load; empty: do not change it
};

/// A route from callers to a pool. Declared at `/TEAM/routes/NAME`.
struct route_declaration
{
    std::string path;
    std::string method = "POST"; ///< HTTP method; `*` for any
    std::string prefix;          ///< path prefix of the request target
    std::string pool;
    route_kind kind = route_kind::chat;
    duration timeout = std::chrono::seconds(60);         ///< whole request
    duration progress_timeout = std::chrono::seconds(5); ///< between bytes from the upstream
    duration queue_timeout = std::chrono::seconds(5);    ///< limit for the wait for a slot
    std::int64_t attempts = 3; ///< limit of attempts of a retryable request
};

/// A workspace of callers. Declared at `/TEAM/workspaces/NAME`.
struct workspace_declaration
{
    std::string path;
    double share = 1.0;                  ///< weight relative to other workspaces
    std::vector<std::string> key_hashes; ///< SHA-256 of its API keys, hex
    std::int64_t max_queued = 256;       ///< limit of queued requests per host
};

/// An availability zone. Declared at `/fleet/zones/NAME`.
struct zone_declaration
{
    bool in_service = true; ///< false: upstreams of the zone get no new requests
};

/// Fleet-wide limits. Declared at `/fleet/limits`.
struct limits_declaration
{
    double load_bound = 1.25;       ///< load limit of an engine, as a multiple of the pool's mean
    std::int64_t max_queued = 2048; ///< limit of queued requests per host
    double retry_budget = 0.1;      ///< retries per request, on average
    duration dedupe_window = std::chrono::minutes(10); ///< time for which a key is stored
    std::int64_t max_body_bytes = 1 << 20;             ///< largest request body
    std::int64_t kept_answer_bytes = 64 << 10;         ///< largest answer stored for replay
    std::int64_t concurrent_loads = 1; ///< limit of concurrent model loads in the fleet
};

/// A team and the key that signs its changes. Declared at `/fleet/teams/NAME`.
struct team_declaration
{
    std::string public_key; ///< Ed25519 public key, hex
};

/// The typed configuration. Containers are in path order.
struct declarations
{
    std::map<std::string, upstream_declaration> upstreams;
    std::map<std::string, route_declaration> routes;
    std::map<std::string, workspace_declaration> workspaces;
    std::map<std::string, zone_declaration> zones;
    std::map<std::string, team_declaration> teams;
    limits_declaration limits;
};

/// Handling of keys that this version of the program does not know.
enum class unknown_keys
{
    refuse, ///< report an error: for authors of changes
    ignore, ///< skip them: for daemons, as a newer version may have written them
};

/// Raw configuration: JSON values by path.
using path_values = std::map<std::string, nlohmann::json>;

/// Reads the value of one path into `target` and appends its errors to `errors`.
auto read_declaration(const std::string& path, const nlohmann::json& value, declarations& target,
                      std::vector<config_error>& errors, unknown_keys policy) -> void;

/// Checks references between declarations, such as a route to a pool without upstreams.
auto cross_check(const declarations& all, std::vector<config_error>& errors) -> void;

/// Reads the whole configuration. Values with errors, e.g. written by a newer version, are reported
/// and left out; the other values are kept.
[[nodiscard]] auto read_declarations(const path_values& values, std::vector<config_error>& errors,
                                     unknown_keys policy) -> declarations;

/// Returns the first segment of a path, the team that owns the subtree. Empty when the path is
/// malformed.
[[nodiscard]] auto team_of(const std::string& path) -> std::string;

} // namespace poplardrift
