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

/// Kind of an upstream: a model engine, or any other service.
enum class upstream_kind
{
    engine,
    service,
};

/// Whether and how requests of a route may be retried.
enum class route_kind
{
    chat,           ///< streamed chat completion; may be resumed or rerun on another upstream
    idempotent,     ///< may be retried within the deadline and the retry budget
    non_idempotent, ///< runs at most once
};

/// A back end. Declared at `/TEAM/upstreams/NAME`.
struct upstream_declaration
{
    std::string path;
    std::string address;   ///< IP address
    std::int64_t port = 0; ///< TCP port
    std::string zone;      ///< availability zone
    std::string pool;      ///< name; upstreams of a pool serve the same routes
    upstream_kind kind = upstream_kind::engine;
    double weight = 1.0;            ///< relative share of the pool's conversations
    std::int64_t capacity = 64;     ///< maximum requests in flight when warm
    std::int64_t cold_capacity = 2; ///< maximum requests in flight during cold start
    bool in_service = true;         ///< false: no new requests are sent to it
    bool checks_fencing = false;    ///< refuses orders with a stale fencing number
    bool refusals_are_true = false; ///< its "not executed" responses can be trusted
    std::string model;              ///< model that should be loaded; empty: unmanaged
};

/// A route from callers to a pool. Declared at `/TEAM/routes/NAME`.
struct route_declaration
{
    std::string path;
    std::string method = "POST"; ///< HTTP method; `*` for any
    std::string prefix;          ///< path prefix of the request target
    std::string pool;
    route_kind kind = route_kind::chat;
    duration timeout = std::chrono::seconds(60);         ///< for the whole request
    duration progress_timeout = std::chrono::seconds(5); ///< between bytes from the upstream
    duration queue_timeout = std::chrono::seconds(5);    ///< longest wait for a slot
    std::int64_t attempts = 3;                           ///< maximum, if retries are allowed
};

/// A workspace of callers. Declared at `/TEAM/workspaces/NAME`.
struct workspace_declaration
{
    std::string path;
    double share = 1.0;                  ///< weight relative to other workspaces
    std::vector<std::string> key_hashes; ///< SHA-256 hashes of its API keys, hex
    std::int64_t max_queued = 256;       ///< maximum queued requests per host
};

/// An availability zone. Declared at `/fleet/zones/NAME`.
struct zone_declaration
{
    bool in_service = true; ///< false: no new requests go to upstreams of the zone
};

/// Limits that apply to the whole fleet. Declared at `/fleet/limits`.
struct limits_declaration
{
    double load_bound = 1.25;       ///< maximum load of an engine, as a multiple of the pool's mean
    std::int64_t max_queued = 2048; ///< maximum queued requests per host
    double retry_budget = 0.1;      ///< average retries per request
    duration dedupe_window = std::chrono::minutes(10); ///< how long idempotency keys are kept
    std::int64_t max_body_bytes = 1 << 20;             ///< maximum size of a request body
    std::int64_t kept_answer_bytes = 64 << 10; ///< maximum size of a response stored for replay
    std::int64_t concurrent_loads = 1;         ///< concurrent model loads in the whole fleet
};

/// A team and the key that signs its changes. Declared at `/fleet/teams/NAME`.
struct team_declaration
{
    std::string public_key; ///< Ed25519 public key, hex
};

/// The whole configuration in typed form; containers are ordered by path.
struct declarations
{
    std::map<std::string, upstream_declaration> upstreams;
    std::map<std::string, route_declaration> routes;
    std::map<std::string, workspace_declaration> workspaces;
    std::map<std::string, zone_declaration> zones;
    std::map<std::string, team_declaration> teams;
    limits_declaration limits;
};

/// How to handle keys that this version of the program does not know.
enum class unknown_keys
{
    refuse, ///< report as errors: for authors of changes
    ignore, ///< ignore, as a newer version may have written them: for daemons
};

/// Untyped configuration: a JSON value for each path.
using path_values = std::map<std::string, nlohmann::json>;

/// Parses the value of one path into `target` and appends any errors to `errors`.
auto read_declaration(const std::string& path, const nlohmann::json& value, declarations& target,
                      std::vector<config_error>& errors, unknown_keys policy) -> void;

/// Checks references between declarations, cold capacities, and collisions of upstream ids.
auto check_consistency(const declarations& all, std::vector<config_error>& errors) -> void;

/// Parses the whole configuration. A value with errors, such as one written by a newer version, is
/// reported and skipped; the others are still used.
[[nodiscard]] auto read_declarations(const path_values& values, std::vector<config_error>& errors,
                                     unknown_keys policy) -> declarations;

/// First segment of a path: the team that owns the subtree. Empty when the path is malformed.
[[nodiscard]] auto team_of(const std::string& path) -> std::string;

} // namespace poplardrift
