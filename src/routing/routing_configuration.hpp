#pragma once

#include "poplardrift/base/strong_type.hpp"
#include "poplardrift/base/time.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift::routing
{

/// Number of a published configuration; grows with each one.
using configuration_version = strong_type<struct configuration_version_tag, std::uint64_t>;

/// What may be repeated of a route's requests.
enum class route_kind : std::uint8_t
{
    idempotent,     ///< may run any number of times
    non_idempotent, ///< may run once at most
    streaming,      ///< a series of events; may run once at most unless the route is resumable
};

/// Part of a route's requests that goes to one service.
struct service_share
{
    std::size_t service = 0; ///< index into routing_configuration::services
    double weight = 1.0;
};

/// How requests of one host name and path prefix are served.
struct route_rules
{
    std::string name;
    std::string host_name;
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    bool resumable = false; ///< a broken stream may go on at another upstream
    bool anonymous = false; ///< needs no workspace key
    duration timeout{};     ///< a caller is kept waiting no longer
    duration objective{};   ///< an answer within this time is on time
    duration event_gap{};   ///< streams: the longest pause that is still on time
    int max_attempts = 1;   ///< upstreams that one caller's request may be sent to
    int priority = 0;       ///< 0 is most urgent
    std::vector<service_share> shares;
};

/// Engine facts of a service of model engines.
struct engine_rules
{
    std::uint64_t cache_tokens = 0; ///< memory of one engine, in tokens
    double bytes_per_token = 0.0;   ///< of memory; zero when engines do not fetch from each other
    double link_megabits_per_second = 0.0; ///< a second, between engines
};

/// What the upstreams of one service have in common.
struct service_rules
{
    std::string name;
    duration cold_start{}; ///< an upstream that has just started is cold for this long
    double cold_requests_per_second = 0.0;
    std::optional<engine_rules> engine;
};

struct workspace_rules
{
    std::string name;
    std::optional<int> priority; ///< goes before the route's
};

/// What callers may send and how long they may take.
struct caller_limits
{
    std::size_t head_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    duration head_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

/// One published configuration as a whole. Immutable once it is built; any thread may read.
class routing_configuration final
{
public:
    configuration_version version;
    std::vector<route_rules> routes;
    std::vector<service_rules> services;
    std::vector<workspace_rules> workspaces;
    caller_limits limits;

    /// Builds the look-up tables. Call once, after the lists are complete.
    auto index(absl::flat_hash_map<std::string, std::size_t> workspace_by_key) -> void;

    /// Route with the longest prefix of the path among those of the host name.
    [[nodiscard]] auto find_route(std::string_view host_name, std::string_view path) const
        -> const route_rules*;
    [[nodiscard]] auto find_workspace(std::string_view key) const -> const workspace_rules*;
    [[nodiscard]] auto find_service(std::string_view name) const -> std::optional<std::size_t>;
    /// True when callers need a workspace key on routes that are not anonymous.
    [[nodiscard]] auto requires_keys() const -> bool { return !this->workspaces.empty(); }

private:
    absl::flat_hash_map<std::string, std::vector<std::size_t>> by_host; ///< longest prefix first
    absl::flat_hash_map<std::string, std::size_t> by_key;
    absl::flat_hash_map<std::string, std::size_t> by_service;
};

} // namespace poplardrift::routing
