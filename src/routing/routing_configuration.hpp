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

/// Version of a published configuration; increases with each publication.
using configuration_version = strong_type<struct configuration_version_tag, std::uint64_t>;

/// How often a route's requests may be executed.
enum class route_kind : std::uint8_t
{
    idempotent,     ///< any number of times
    non_idempotent, ///< at most once
    streaming,      ///< stream of events; at most once unless the route is resumable
};

/// Weighted share of a route's requests that one service receives.
struct service_share
{
    std::size_t service = 0; ///< index into routing_configuration::services
    double weight = 1.0;
};

/// Rules for requests with one host name and path prefix.
struct route_rules
{
    std::string name;
    std::string host_name;
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    bool resumable = false; ///< a broken stream may resume at another upstream
    bool anonymous = false; ///< no workspace key required
    duration timeout{};     ///< longest time until the caller gets a response
    duration objective{};   ///< latency objective of a response
    duration event_gap{};   ///< streams: latency objective between events
    int max_attempts = 1;   ///< including the first one
    int priority = 0;       ///< 0 is the highest
    std::vector<service_share> shares;
};

/// Properties of the engines of a service.
struct engine_rules
{
    std::uint64_t cache_tokens = 0; ///< cache capacity of one engine
    double bytes_per_token = 0.0;   ///< cache memory; 0 if engines do not fetch from each other
    double link_megabits_per_second = 0.0; ///< bandwidth between engines
};

/// Settings that all upstreams of a service share.
struct service_rules
{
    std::string name;
    duration cold_start{}; ///< time that an upstream counts as cold after its start
    double cold_requests_per_second = 0.0;
    std::optional<engine_rules> engine;
};

struct workspace_rules
{
    std::string name;
    std::optional<int> priority; ///< overrides the route's
};

/// Size and time limits for incoming requests.
struct caller_limits
{
    std::size_t head_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    duration head_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

/// A published configuration. Immutable after index(); safe to read from any thread.
class routing_configuration final
{
public:
    configuration_version version;
    std::vector<route_rules> routes;
    std::vector<service_rules> services;
    std::vector<workspace_rules> workspaces;
    caller_limits limits;

    /// Builds the lookup tables. Call once, after the lists are complete.
    auto index(absl::flat_hash_map<std::string, std::size_t> workspace_by_key) -> void;

    /// Returns the host name's route with the longest matching path prefix; null if none matches.
    [[nodiscard]] auto find_route(std::string_view host_name, std::string_view path) const
        -> const route_rules*;
    [[nodiscard]] auto find_workspace(std::string_view key) const -> const workspace_rules*;
    /// Number of keys of the workspace at this position.
    [[nodiscard]] auto key_count_of(std::size_t workspace) const -> std::size_t;
    [[nodiscard]] auto find_service(std::string_view name) const -> std::optional<std::size_t>;
    /// True if callers need a workspace key on routes that are not anonymous.
    [[nodiscard]] auto requires_keys() const -> bool { return !this->workspaces.empty(); }

private:
    absl::flat_hash_map<std::string, std::vector<std::size_t>> by_host; ///< longest prefix first
    absl::flat_hash_map<std::string, std::size_t> by_key;
    absl::flat_hash_map<std::string, std::size_t> by_service;
};

} // namespace poplardrift::routing
