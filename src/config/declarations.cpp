#include "poplardrift/config/declarations.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <unordered_map>

namespace poplardrift
{

namespace
{

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_capacity = 100'000;
constexpr double max_weight = 1000.0;
constexpr std::int64_t max_timeout_ms = 3'600'000;

/// The three segments of `/TEAM/KIND/NAME`; `name` is empty for `/TEAM/KIND`.
struct path_segments
{
    std::string team;
    std::string kind;
    std::string name;
};

auto is_segment(std::string_view text) -> bool
{
    const auto is_allowed = [](char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '-' || character == '_' || character == '.';
    };
    return !text.empty() && text.size() <= 128 && std::all_of(text.begin(), text.end(), is_allowed);
}

auto split_path(const std::string& path) -> std::optional<path_segments>
{
    if (path.empty() || path.front() != '/')
    {
        return std::nullopt;
    }
    std::vector<std::string> segments;
    std::size_t start = 1;
    while (start <= path.size())
    {
        const auto end = std::min(path.find('/', start), path.size());
        segments.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    const auto well_formed = std::all_of(segments.begin(), segments.end(), is_segment);
    if (!well_formed || segments.size() < 2 || segments.size() > 3)
    {
        return std::nullopt;
    }
    return path_segments{segments[0], segments[1], segments.size() == 3 ? segments[2] : ""};
}

auto read_milliseconds(json_reader& reader, std::string_view name, duration& target) -> void
{
    auto count = std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
    std::int64_t value = count;
    reader.integer(name, value, 1, max_timeout_ms);
    target = std::chrono::milliseconds(value);
}

auto read_upstream(const std::string& path, const nlohmann::json& value, declarations& target,
                   std::vector<config_error>& errors, unknown_keys policy) -> void
{
    upstream_declaration item;
    item.path = path;
    std::string kind = "engine";
    json_reader reader(value, path, errors, policy == unknown_keys::refuse);
    reader.require("address").require("port").require("zone").require("pool");
    reader.text("address", item.address).integer("port", item.port, 1, max_port);
    reader.text("zone", item.zone).text("pool", item.pool);
    reader.choice("kind", kind, {"engine", "service"})
        .number("weight", item.weight, 0.01, max_weight);
    reader.integer("capacity", item.capacity, 1, max_capacity);
    reader.integer("cold_capacity", item.cold_capacity, 1, max_capacity);
    reader.flag("in_service", item.in_service).flag("checks_fencing", item.checks_fencing);
    reader.flag("refusals_are_true", item.refusals_are_true).text("model", item.model);
    reader.finish();
    item.kind = kind == "engine" ? upstream_kind::engine : upstream_kind::service;
    target.upstreams[path] = std::move(item);
}

auto read_route(const std::string& path, const nlohmann::json& value, declarations& target,
                std::vector<config_error>& errors, unknown_keys policy) -> void
{
    route_declaration item;
    item.path = path;
    std::string kind = "chat";
    json_reader reader(value, path, errors, policy == unknown_keys::refuse);
    reader.require("prefix").require("pool");
    reader.choice("method", item.method, {"GET", "POST", "PUT", "PATCH", "DELETE", "*"});
    reader.text("prefix", item.prefix).text("pool", item.pool);
    reader.choice("kind", kind, {"chat", "idempotent", "non_idempotent"});
    read_milliseconds(reader, "timeout_ms", item.timeout);
    read_milliseconds(reader, "progress_timeout_ms", item.progress_timeout);
    read_milliseconds(reader, "queue_timeout_ms", item.queue_timeout);
    reader.integer("attempts", item.attempts, 1, 10);
    reader.finish();
    if (!item.prefix.empty() && item.prefix.front() != '/')
    {
        errors.push_back(
            {path + "/prefix", "is \"" + item.prefix + "\"; allowed: a path that starts with /"});
    }
    item.kind = kind == "chat"         ? route_kind::chat
                : kind == "idempotent" ? route_kind::idempotent
                                       : route_kind::non_idempotent;
    target.routes[path] = std::move(item);
}

auto read_workspace(const std::string& path, const nlohmann::json& value, declarations& target,
                    std::vector<config_error>& errors, unknown_keys policy) -> void
{
    workspace_declaration item;
    item.path = path;
    json_reader reader(value, path, errors, policy == unknown_keys::refuse);
    reader.require("key_hashes").number("share", item.share, 0.01, max_weight);
    reader.texts("key_hashes", item.key_hashes);
    reader.integer("max_queued", item.max_queued, 1, max_capacity);
    reader.finish();
    target.workspaces[path] = std::move(item);
}

auto read_limits(const std::string& path, const nlohmann::json& value, declarations& target,
                 std::vector<config_error>& errors, unknown_keys policy) -> void
{
    limits_declaration item;
    json_reader reader(value, path, errors, policy == unknown_keys::refuse);
    reader.number("load_bound", item.load_bound, 1.0, 10.0);
    reader.integer("max_queued", item.max_queued, 1, max_capacity);
    reader.number("retry_budget", item.retry_budget, 0.0, 1.0);
    read_milliseconds(reader, "dedupe_window_ms", item.dedupe_window);
    reader.integer("max_body_bytes", item.max_body_bytes, 1024, 64 << 20);
    reader.integer("kept_answer_bytes", item.kept_answer_bytes, 0, 16 << 20);
    reader.integer("concurrent_loads", item.concurrent_loads, 1, 1000);
    reader.finish();
    target.limits = item;
}

auto read_fleet(const std::string& path, const path_segments& segments, const nlohmann::json& value,
                declarations& target, std::vector<config_error>& errors, unknown_keys policy)
    -> void
{
    json_reader reader(value, path, errors, policy == unknown_keys::refuse);
    if (segments.kind == "limits" && segments.name.empty())
    {
        read_limits(path, value, target, errors, policy);
    }
    else if (segments.kind == "zones" && !segments.name.empty())
    {
        zone_declaration item;
        reader.flag("in_service", item.in_service).finish();
        target.zones[segments.name] = item;
    }
    else if (segments.kind == "accepted-gap" && segments.name.empty())
    {
        // The value is used by `configuration`; only its format is checked here.
        std::int64_t through = 0;
        reader.require("through").integer("through", through, 1,
                                          std::numeric_limits<std::int64_t>::max());
        reader.finish();
    }
    else if (segments.kind == "teams" && !segments.name.empty())
    {
        team_declaration item;
        reader.require("public_key").text("public_key", item.public_key).finish();
        target.teams[segments.name] = std::move(item);
    }
    else
    {
        errors.push_back(
            {path,
             "unknown path; allowed below /fleet: limits, zones/NAME, teams/NAME, accepted-gap"});
    }
}

auto check_id_collisions(const declarations& all, std::vector<config_error>& errors) -> void
{
    std::unordered_map<std::uint32_t, std::string> seen;
    for (const auto& [path, item] : all.upstreams)
    {
        const auto [found, inserted] = seen.emplace(make_upstream_id(path).value(), path);
        if (!inserted)
        {
            errors.push_back(
                {path, "its 32-bit id collides with " + found->second + "; rename one"});
        }
    }
}

} // namespace

auto team_of(const std::string& path) -> std::string
{
    const auto segments = split_path(path);
    return segments ? segments->team : "";
}

auto read_declaration(const std::string& path, const nlohmann::json& value, declarations& target,
                      std::vector<config_error>& errors, unknown_keys policy) -> void
{
    const auto segments = split_path(path);
    if (!segments)
    {
        errors.push_back({path, "malformed path; allowed: /TEAM/KIND/NAME of a-z 0-9 - _ ."});
        return;
    }
    if (segments->team == "fleet")
    {
        read_fleet(path, *segments, value, target, errors, policy);
        return;
    }
    const auto has_name = !segments->name.empty();
    if (segments->kind == "upstreams" && has_name)
    {
        read_upstream(path, value, target, errors, policy);
    }
    else if (segments->kind == "routes" && has_name)
    {
        read_route(path, value, target, errors, policy);
    }
    else if (segments->kind == "workspaces" && has_name)
    {
        read_workspace(path, value, target, errors, policy);
    }
    else
    {
        errors.push_back(
            {path,
             "unknown path; allowed below a team: upstreams/NAME, routes/NAME, workspaces/NAME"});
    }
}

auto cross_check(const declarations& all, std::vector<config_error>& errors) -> void
{
    std::set<std::string> pools;
    for (const auto& [path, item] : all.upstreams)
    {
        pools.insert(item.pool);
        if (!all.zones.contains(item.zone))
        {
            errors.push_back(
                {path + "/zone", "zone \"" + item.zone + "\" is not declared at /fleet/zones"});
        }
        if (item.cold_capacity > item.capacity)
        {
            errors.push_back({path + "/cold_capacity", "is above capacity"});
        }
    }
    for (const auto& [path, item] : all.routes)
    {
        if (!pools.contains(item.pool))
        {
            errors.push_back({path + "/pool", "no upstream is in pool \"" + item.pool + "\""});
        }
    }
    check_id_collisions(all, errors);
}

auto read_declarations(const path_values& values, std::vector<config_error>& errors,
                       unknown_keys policy) -> declarations
{
    declarations result;
    for (const auto& [path, value] : values)
    {
        // Read into a scratch object first, so that a value with errors changes nothing.
        std::vector<config_error> path_errors;
        declarations scratch;
        read_declaration(path, value, scratch, path_errors, policy);
        if (path_errors.empty())
        {
            read_declaration(path, value, result, path_errors, policy);
        }
        errors.insert(errors.end(), path_errors.begin(), path_errors.end());
    }
    return result;
}

} // namespace poplardrift
