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

/// What an upstream is: a model engine, or a plain service beside the engines.
enum class upstream_kind
{
    engine,
    service,
};

/// How a route's requests may be repeated.
enum class route_kind
{
    chat,           ///< streamed chat completion; may be resumed or run again elsewhere
    idempotent,     ///< may be repeated within deadline and budget
    non_idempotent, ///< runs at most once
};

/// One back end. Declared at `/TEAM/upstreams/NAME`.
struct upstream_declaration
{
    std::string path;
    std::string address;   ///< IP number
    std::int64_t port = 0; ///< TCP port
    std::string zone;      ///< availability zone
    std::string pool;      ///< upstreams of one pool serve the same routes
    upstream_kind kind = upstream_kind::engine;
    double weight = 1.0;            ///< share of the pool's conversations, relative
    std::int64_t capacity = 64;     ///< most requests in flight when warm
    std::int64_t cold_capacity = 2; ///< most requests in flight in cold start
    bool in_service = true;         ///< false takes it out: no new work
    bool checks_fencing = false;    ///< refuses orders with an old fencing number
    bool refusals_are_true = false; ///< its own "not run" answers may be believed
    std::string model;              ///< model that should be loaded; empty leaves it alone
};

/// One route from callers to a pool. Declared at `/TEAM/routes/NAME`.
struct route_declaration
{
    std::string path;
    std::string method = "POST"; ///< HTTP method; `*` for any
    std::string prefix;          ///< path prefix of the request target
    std::string pool;
    route_kind kind = route_kind::chat;
    duration timeout = std::chrono::seconds(60);         ///< whole request
    duration progress_timeout = std::chrono::seconds(5); ///< between bytes from the upstream
    duration queue_timeout = std::chrono::seconds(5);    ///< longest wait for a slot
    std::int64_t attempts = 3;                           ///< most attempts of a repeatable request
};

/// One workspace of callers. Declared at `/TEAM/workspaces/NAME`.
struct workspace_declaration
{
    std::string path;
    double share = 1.0;                  ///< weight against other workspaces
    std::vector<std::string> key_hashes; ///< SHA-256 of its API keys, hex
    std::int64_t max_queued = 256;       ///< most waiting requests a host
};

/// One availability zone. Declared at `/fleet/zones/NAME`.
struct zone_declaration
{
    bool in_service = true; ///< false: no new work goes to upstreams of the zone
};

/// Limits of the whole fleet. Declared at `/fleet/limits`.
struct limits_declaration
{
    double load_bound = 1.25;       ///< most load of an engine, as a multiple of the pool's mean
    std::int64_t max_queued = 2048; ///< most waiting requests a host
    double retry_budget = 0.1;      ///< retries a request, on average
    duration dedupe_window = std::chrono::minutes(10); ///< how long a key is remembered
    std::int64_t max_body_bytes = 1 << 20;             ///< largest request body
    std::int64_t kept_answer_bytes = 64 << 10;         ///< largest answer kept for repeats
    std::int64_t concurrent_loads = 1;                 ///< model loads at once, whole fleet
};

/// One team with the key that signs its changes. Declared at `/fleet/teams/NAME`.
struct team_declaration
{
    std::string public_key; ///< Ed25519 public key, hex
};

/// The whole configuration in typed form; containers are in path order.
struct declarations
{
    std::map<std::string, upstream_declaration> upstreams;
    std::map<std::string, route_declaration> routes;
    std::map<std::string, workspace_declaration> workspaces;
    std::map<std::string, zone_declaration> zones;
    std::map<std::string, team_declaration> teams;
    limits_declaration limits;
};

/// What to do with keys that this version of the program does not know.
enum class unknown_keys
{
    refuse, ///< they are faults: for authors
    ignore, ///< they are a newer version's: for daemons
};

/// Raw configuration: a JSON value for each path.
using path_values = std::map<std::string, nlohmann::json>;

/// Reads one path's value into `target` and appends what is wrong with it to `errors`.
auto read_declaration(const std::string& path, const nlohmann::json& value, declarations& target,
                      std::vector<config_error>& errors, unknown_keys policy) -> void;

/// Checks references between declarations, such as a route to a pool without upstreams.
auto check_consistency(const declarations& all, std::vector<config_error>& errors) -> void;

/// Reads the whole configuration. Values that cannot be read (written by a newer version) are
/// left out and reported; the others stand.
[[nodiscard]] auto read_declarations(const path_values& values, std::vector<config_error>& errors,
                                     unknown_keys policy) -> declarations;

/// First segment of a path: the team whose subtree it is in. Empty when the path is malformed.
[[nodiscard]] auto team_of(const std::string& path) -> std::string;

} // namespace poplardrift
