#include "routing/configuration_check.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace poplardrift;
using namespace poplardrift::routing;
using namespace std::chrono_literals;

namespace
{

auto make_route(const std::string& name, const std::string& prefix) -> route_rules
{
    route_rules route;
    route.name = name;
    route.host_name = "a.example";
    route.path_prefix = prefix;
    route.kind = route_kind::idempotent;
    route.timeout = 1s;
    route.objective = 100ms;
    route.max_attempts = 2;
    route.shares = {{0, 1.0}};
    return route;
}

auto make_configuration(std::uint64_t version) -> routing_configuration
{
    routing_configuration configuration;
    configuration.version = configuration_version(version);
    configuration.services.push_back({"s", 0s, 0.0, {}});
    configuration.routes.push_back(make_route("r", "/r/"));
    configuration.workspaces.push_back({"w", {}});
    configuration.index({{"key", 0}});
    return configuration;
}

auto has(const std::vector<configuration_finding>& findings, finding_kind kind,
         const std::string& subject, const std::string& text) -> bool
{
    return std::any_of(findings.begin(), findings.end(),
                       [&](const auto& finding)
                       {
                           return finding.kind == kind && finding.subject == subject &&
                                  finding.text.find(text) != std::string::npos;
                       });
}

} // namespace

TEST_CASE("a sound configuration has no findings, so that a check of it can gate a publication")
{
    REQUIRE(check_configuration(make_configuration(1)).empty());
}

TEST_CASE("entries that can never match are found before they are published")
{
    auto next = make_configuration(1);
    next.services.push_back({"unused", 0s, 0.0, {}});
    next.routes.push_back(make_route("same", "/r/"));
    next.routes[0].shares.push_back({1, 0.0});
    next.routes.back().shares = {{0, 1.0}};
    next.services.push_back({"nowhere", 0s, 0.0, {}});
    next.workspaces.push_back({"keyless", {}});
    const auto findings = check_configuration(next);
    REQUIRE(has(findings, finding_kind::unreachable, "route same", "same host name"));
    REQUIRE(has(findings, finding_kind::unreachable, "route r", "unused has no weight"));
    REQUIRE(has(findings, finding_kind::unreachable, "service nowhere", "no route"));
    REQUIRE(has(findings, finding_kind::unreachable, "workspace keyless", "no key"));
}

TEST_CASE("limits that contradict each other are found before they are published")
{
    auto next = make_configuration(1);
    auto& route = next.routes[0];
    route.objective = 2s;
    route.event_gap = 3s;
    route.kind = route_kind::non_idempotent;
    route.resumable = true;
    next.services[0].cold_start = 3s;
    next.limits.head_timeout = 20s;
    const auto findings = check_configuration(next);
    REQUIRE(has(findings, finding_kind::contradiction, "route r", "objective of 2000 ms exceeds"));
    REQUIRE(has(findings, finding_kind::contradiction, "route r", "event gap of 3000 ms"));
    REQUIRE(has(findings, finding_kind::contradiction, "route r", "may not be repeated"));
    REQUIRE(has(findings, finding_kind::contradiction, "route r", "no streams"));
    REQUIRE(has(findings, finding_kind::contradiction, "service s", "cold start"));
    REQUIRE(has(findings, finding_kind::contradiction, "limits", "head timeout"));
}

TEST_CASE("errors in entries are found before they are published")
{
    auto next = make_configuration(1);
    next.routes.push_back(make_route("r", "x"));
    next.routes.back().timeout = 0s;
    next.routes.back().max_attempts = 0;
    next.routes.back().shares = {{0, 0.0}};
    next.services.push_back({"s", 0s, 0.0, {}});
    next.workspaces.push_back({"w", {}});
    next.limits.body_bytes = 0;
    const auto findings = check_configuration(next);
    REQUIRE(has(findings, finding_kind::error, "route r", "name occurs twice"));
    REQUIRE(has(findings, finding_kind::error, "route r", "slash"));
    REQUIRE(has(findings, finding_kind::error, "route r", "timeout is zero"));
    REQUIRE(has(findings, finding_kind::error, "route r", "no attempt"));
    REQUIRE(has(findings, finding_kind::error, "route r", "add up to zero"));
    REQUIRE(has(findings, finding_kind::error, "service s", "name occurs twice"));
    REQUIRE(has(findings, finding_kind::error, "workspace w", "name occurs twice"));
    REQUIRE(has(findings, finding_kind::error, "limits", "body size"));
}

TEST_CASE("the differences from the version in force are complete")
{
    const auto in_force = make_configuration(7);
    auto next = make_configuration(8);
    next.routes[0].timeout = 2s;
    next.routes.push_back(make_route("new", "/new/"));
    next.services[0].cold_requests_per_second = 4.0;
    next.workspaces[0] = {"other", 3};
    next.limits.body_bytes = 10;
    const auto findings = compare_configurations(in_force, next);
    REQUIRE(findings.size() == 6);
    REQUIRE(has(findings, finding_kind::difference, "route r", "timeout: 1000 ms -> 2000 ms"));
    REQUIRE(has(findings, finding_kind::difference, "route new", "added"));
    REQUIRE(has(findings, finding_kind::difference, "service s", "cold requests"));
    REQUIRE(has(findings, finding_kind::difference, "workspace other", "added"));
    REQUIRE(has(findings, finding_kind::difference, "workspace w", "removed"));
    REQUIRE(has(findings, finding_kind::difference, "limits", "body bytes"));
}

TEST_CASE("a configuration that hosts would ignore for its version is an error")
{
    const auto findings = compare_configurations(make_configuration(7), make_configuration(7));
    REQUIRE(has(findings, finding_kind::error, "version", "7 is not above 7"));
}
