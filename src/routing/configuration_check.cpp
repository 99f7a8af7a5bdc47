#include "routing/configuration_check.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace poplardrift::routing
{

namespace
{

using namespace std::chrono_literals;

/// Collects findings about one configuration.
class finding_list final
{
public:
    auto add(finding_kind kind, std::string subject, std::string text) -> void
    {
        this->findings.push_back({kind, std::move(subject), std::move(text)});
    }
    [[nodiscard]] auto take() -> std::vector<configuration_finding>
    {
        return std::move(this->findings);
    }

private:
    std::vector<configuration_finding> findings;
};

auto to_ms_text(duration length) -> std::string
{
    return std::to_string(length / 1ms) + " ms";
}

auto subject_of(const route_rules& route) -> std::string
{
    return "route " + route.name;
}

auto may_be_repeated(const route_rules& route) -> bool
{
    return route.kind == route_kind::idempotent ||
           (route.kind == route_kind::streaming && route.resumable);
}

auto check_limits(const route_rules& route, finding_list& found) -> void
{
    const auto add = [&](std::string text)
    { found.add(finding_kind::contradiction, subject_of(route), std::move(text)); };
    if (route.objective > route.timeout)
    {
        add("the objective of " + to_ms_text(route.objective) + " exceeds the timeout of " +
            to_ms_text(route.timeout));
    }
    if (route.event_gap > route.timeout)
    {
        add("the event gap of " + to_ms_text(route.event_gap) + " exceeds the timeout of " +
            to_ms_text(route.timeout));
    }
    if (route.max_attempts > 1 && !may_be_repeated(route))
    {
        add("allows " + std::to_string(route.max_attempts) +
            " attempts, but its requests may not be repeated");
    }
    if (route.resumable && route.kind != route_kind::streaming)
    {
        add("is resumable, but its responses are no streams");
    }
}

auto check_route(const route_rules& route, const routing_configuration& configuration,
                 finding_list& found) -> void
{
    const auto add_error = [&](std::string text)
    { found.add(finding_kind::error, subject_of(route), std::move(text)); };
    const auto& prefix = route.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
    {
        add_error("the path prefix '" + prefix + "' does not begin and end with a slash");
    }
    if (route.timeout <= 0ns)
    {
        add_error("the timeout is zero");
    }
    if (route.max_attempts < 1)
    {
        add_error("no attempt is allowed");
    }
    double weight = 0.0;
    for (const auto& share : route.shares)
    {
        weight += std::max(0.0, share.weight);
        if (share.weight <= 0.0)
        {
            found.add(finding_kind::unreachable, subject_of(route),
                      "service " + configuration.services[share.service].name +
                          " has no weight and receives nothing");
        }
    }
    if (weight <= 0.0)
    {
        add_error("the weights of its services add up to zero");
    }
    check_limits(route, found);
}

auto check_routes(const routing_configuration& next, finding_list& found) -> void
{
    std::set<std::string> names;
    std::map<std::pair<std::string, std::string>, std::string> matched;
    for (const auto& route : next.routes)
    {
        if (!names.insert(route.name).second)
        {
            found.add(finding_kind::error, subject_of(route), "the name occurs twice");
        }
        const auto [earlier, is_new] =
            matched.try_emplace({route.host_name, route.path_prefix}, route.name);
        if (!is_new)
        {
            found.add(finding_kind::unreachable, subject_of(route),
                      "route " + earlier->second + " has the same host name and path prefix");
        }
        check_route(route, next, found);
    }
}

auto check_services(const routing_configuration& next, finding_list& found) -> void
{
    std::set<std::size_t> used;
    for (const auto& route : next.routes)
    {
        for (const auto& share : route.shares)
        {
            used.insert(share.service);
        }
    }
    std::set<std::string> names;
    for (std::size_t position = 0; position < next.services.size(); ++position)
    {
        const auto& service = next.services[position];
        const auto subject = "service " + service.name;
        if (!names.insert(service.name).second)
        {
            found.add(finding_kind::error, subject, "the name occurs twice");
        }
        if (!used.contains(position))
        {
            found.add(finding_kind::unreachable, subject, "no route refers to it");
        }
        if (service.cold_start > 0ns && service.cold_requests_per_second <= 0.0)
        {
            found.add(finding_kind::contradiction, subject,
                      "has a cold start time, but no limit for cold upstreams");
        }
    }
}

auto check_workspaces(const routing_configuration& next, finding_list& found) -> void
{
    std::set<std::string> names;
    for (std::size_t position = 0; position < next.workspaces.size(); ++position)
    {
        const auto subject = "workspace " + next.workspaces[position].name;
        if (!names.insert(next.workspaces[position].name).second)
        {
            found.add(finding_kind::error, subject, "the name occurs twice");
        }
        if (next.key_count_of(position) == 0)
        {
            found.add(finding_kind::unreachable, subject, "no key belongs to it");
        }
    }
}

auto check_caller_limits(const caller_limits& limits, finding_list& found) -> void
{
    if (limits.head_timeout > limits.idle_timeout)
    {
        found.add(finding_kind::contradiction, "limits",
                  "the head timeout of " + to_ms_text(limits.head_timeout) +
                      " exceeds the idle timeout of " + to_ms_text(limits.idle_timeout));
    }
    const std::array<std::pair<const char*, bool>, 4> zeros = {
        std::pair("head size", limits.head_bytes == 0),
        std::pair("body size", limits.body_bytes == 0),
        std::pair("head timeout", limits.head_timeout <= 0ns),
        std::pair("idle timeout", limits.idle_timeout <= 0ns)};
    for (const auto& [name, is_zero] : zeros)
    {
        if (is_zero)
        {
            found.add(finding_kind::error, "limits", std::string("the ") + name + " is zero");
        }
    }
}

/// Services of a route with their weights, by name.
auto shares_text(const route_rules& route, const routing_configuration& configuration)
    -> std::string
{
    std::string text;
    for (const auto& share : route.shares)
    {
        text.append(text.empty() ? "" : ", ")
            .append(configuration.services[share.service].name)
            .append(" x ")
            .append(std::to_string(share.weight));
    }
    return text;
}

auto kind_text(const route_rules& route) -> std::string
{
    switch (route.kind)
    {
    case route_kind::idempotent:
        return "idempotent";
    case route_kind::non_idempotent:
        return "non_idempotent";
    case route_kind::streaming:
        return route.resumable ? "resumable stream" : "stream";
    }
    return {};
}

/// The fields of an entry as text, in a fixed order.
using field_list = std::vector<std::pair<const char*, std::string>>;

auto fields_of(const route_rules& route, const routing_configuration& configuration) -> field_list
{
    return {{"host name", route.host_name},
            {"path prefix", route.path_prefix},
            {"kind", kind_text(route)},
            {"services", shares_text(route, configuration)},
            {"timeout", to_ms_text(route.timeout)},
            {"objective", to_ms_text(route.objective)},
            {"event gap", to_ms_text(route.event_gap)},
            {"attempts", std::to_string(route.max_attempts)},
            {"priority", std::to_string(route.priority)},
            {"anonymous", route.anonymous ? "yes" : "no"}};
}

auto fields_of(const service_rules& service, const routing_configuration&) -> field_list
{
    const auto engine = service.engine.value_or(engine_rules{});
    return {{"cold start", to_ms_text(service.cold_start)},
            {"cold requests a second", std::to_string(service.cold_requests_per_second)},
            {"engine", service.engine ? "yes" : "no"},
            {"cache tokens", std::to_string(engine.cache_tokens)}};
}

auto fields_of(const workspace_rules& workspace, const routing_configuration& configuration)
    -> field_list
{
    const auto position = static_cast<std::size_t>(&workspace - configuration.workspaces.data());
    return {{"priority", workspace.priority ? std::to_string(*workspace.priority) : "of the route"},
            {"number of keys", std::to_string(configuration.key_count_of(position))}};
}

/// Compares the entries of one list by name.
template <class Entry>
auto compare_entries(const char* what, const std::vector<Entry>& old_entries,
                     const routing_configuration& in_force, const std::vector<Entry>& new_entries,
                     const routing_configuration& next, finding_list& found) -> void
{
    std::map<std::string, const Entry*> removed;
    for (const auto& entry : old_entries)
    {
        removed[entry.name] = &entry;
    }
    const auto add = [&](const std::string& name, std::string text)
    { found.add(finding_kind::difference, std::string(what) + " " + name, std::move(text)); };
    for (const auto& entry : new_entries)
    {
        const auto former = removed.find(entry.name);
        if (former == removed.end())
        {
            add(entry.name, "added");
            continue;
        }
        const auto before = fields_of(*former->second, in_force);
        const auto after = fields_of(entry, next);
        for (std::size_t field = 0; field < after.size(); ++field)
        {
            if (before[field].second != after[field].second)
            {
                add(entry.name, std::string(after[field].first) + ": " + before[field].second +
                                    " -> " + after[field].second);
            }
        }
        removed.erase(former);
    }
    for (const auto& [name, entry] : removed)
    {
        add(name, "removed");
    }
}

} // namespace

auto to_text(finding_kind kind) -> std::string_view
{
    static constexpr std::array<std::string_view, 4> names = {"error", "unreachable",
                                                              "contradiction", "difference"};
    return names[static_cast<std::size_t>(kind)];
}

auto check_configuration(const routing_configuration& next) -> std::vector<configuration_finding>
{
    finding_list found;
    check_routes(next, found);
    check_services(next, found);
    check_workspaces(next, found);
    check_caller_limits(next.limits, found);
    return found.take();
}

auto compare_configurations(const routing_configuration& in_force,
                            const routing_configuration& next) -> std::vector<configuration_finding>
{
    finding_list found;
    if (next.version <= in_force.version)
    {
        found.add(finding_kind::error, "version",
                  std::to_string(next.version.value()) + " is not above " +
                      std::to_string(in_force.version.value()) +
                      ", which is in force; hosts would ignore it");
    }
    compare_entries("route", in_force.routes, in_force, next.routes, next, found);
    compare_entries("service", in_force.services, in_force, next.services, next, found);
    compare_entries("workspace", in_force.workspaces, in_force, next.workspaces, next, found);
    const auto limits_of = [](const caller_limits& limits) -> field_list
    {
        return {{"head bytes", std::to_string(limits.head_bytes)},
                {"body bytes", std::to_string(limits.body_bytes)},
                {"head timeout", to_ms_text(limits.head_timeout)},
                {"idle timeout", to_ms_text(limits.idle_timeout)}};
    };
    const auto before = limits_of(in_force.limits);
    const auto after = limits_of(next.limits);
    for (std::size_t field = 0; field < after.size(); ++field)
    {
        if (before[field].second != after[field].second)
        {
            found.add(finding_kind::difference, "limits",
                      std::string(after[field].first) + ": " + before[field].second + " -> " +
                          after[field].second);
        }
    }
    return found.take();
}

} // namespace poplardrift::routing
