#include "routing/placement.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace poplardrift;
using namespace poplardrift::routing;
using namespace std::chrono_literals;

namespace
{

const time_point now(1h);

/// Four engines of one service and a query for which all of them are eligible.
struct placement_fixture
{
    placement_fixture()
    {
        this->rules.engine = engine_rules{600'000, 327'680.0, 550'000.0};
        for (int number = 0; number < 4; ++number)
        {
            live_upstream upstream;
            upstream.known.entry.name = upstream_name("e" + std::to_string(number));
            upstream.known.entry.zone = zone_name("a");
            upstream.known.usable_until = time_point::max();
            upstream.key = upstream_key_of(upstream.known.entry.name);
            upstream.state = std::make_shared<upstream_state>(400'000);
            this->upstreams.push_back(upstream);
        }
        this->query.rules = &this->rules;
        this->query.own_zone = &this->zone;
        this->query.now = now;
        this->query.bounds = &this->bounds;
        this->query.hosts = &this->hosts;
    }

    /// Returns the chosen upstream and checks that explain_placement agrees with it.
    auto choose() -> std::optional<placement_choice>
    {
        const auto chosen = choose_upstream(this->upstreams, this->query, this->why);
        std::optional<placement_choice> cheapest;
        for (const auto& evaluation : explain_placement(this->upstreams, this->query))
        {
            const auto is_cheaper =
                evaluation.choice && (!cheapest || evaluation.choice->cost_ms < cheapest->cost_ms);
            cheapest = is_cheaper ? evaluation.choice : cheapest;
        }
        CHECK(chosen.has_value() == cheapest.has_value());
        if (chosen && cheapest)
        {
            CHECK(chosen->position == cheapest->position);
            CHECK(chosen->cost_ms == cheapest->cost_ms);
        }
        return chosen;
    }

    zone_name zone{"a"};
    service_rules rules;
    fleet_bounds bounds;
    host_group hosts;
    std::vector<live_upstream> upstreams;
    placement_query query;
    placement_failure why;
};

auto make_prompt(std::uint64_t shared, std::uint64_t own) -> prompt_metadata
{
    prompt_metadata prompt;
    prompt.parts = {{shared, 10'000}, {own, 1'000}};
    prompt.input_tokens = 11'000;
    return prompt;
}

} // namespace

TEST_CASE("a request goes only to versions that it may run on")
{
    // Guards against requests on a version that nobody has ordered, also as a last resort.
    placement_fixture fixture;
    fixture.upstreams[0].standing = version_standing::ordered;
    fixture.upstreams[1].standing = version_standing::canary;
    fixture.upstreams[2].standing = version_standing::unordered;
    REQUIRE(fixture.choose());
    CHECK(fixture.choose()->position == 3);
    CHECK(fixture.choose()->candidates == 1);
    fixture.query.versions = canary_versions;
    CHECK(fixture.choose()->position == 1);
    fixture.query.versions = new_versions;
    CHECK(fixture.choose()->candidates == 2);
    fixture.upstreams[3].standing = version_standing::unordered;
    fixture.query.versions = {};
    CHECK_FALSE(fixture.choose());
    CHECK(fixture.why.most_common_exclusion == exclusion_reason::other_version);
}

TEST_CASE("upstreams that are leaving, out of service, expired or misaddressed receive no requests")
{
    placement_fixture fixture;
    fixture.upstreams[0].known.entry.leaving = true;
    fixture.upstreams[1].zone_out = true;
    fixture.upstreams[2].known.usable_until = now;
    fixture.upstreams[3].state->misaddressed = true;
    CHECK(!fixture.choose());
    CHECK(fixture.why.considered == 4);
}

TEST_CASE("faulty upstreams are chosen only if no healthy upstream is left")
{
    placement_fixture fixture;
    for (auto& upstream : fixture.upstreams)
    {
        upstream.state->health.on_fault(upstream_fault::unreachable, now, 0.0, true);
    }
    CHECK(fixture.choose());
    fixture.upstreams[2].state = std::make_shared<upstream_state>(0);
    fixture.upstreams[2].state->in_flight_elsewhere = 1;
    CHECK(fixture.choose()->position == 2);
}

TEST_CASE("an upstream above the load bound receives no requests")
{
    placement_fixture fixture;
    fixture.bounds.load_factor = 2.0;
    fixture.upstreams[0].state->in_flight = 20;
    for (std::size_t other = 1; other < 4; ++other)
    {
        fixture.upstreams[other].state->in_flight_elsewhere = 4;
    }
    // The mean is 8. The bound is at most 2 x 8 + 3 = 19 requests in flight at one upstream.
    CHECK(check_eligibility(fixture.upstreams[0], fixture.query, {8.0, false}) ==
          exclusion_reason::load_bound);
    CHECK(check_eligibility(fixture.upstreams[1], fixture.query, {8.0, false}) ==
          exclusion_reason::none);
}

TEST_CASE("while upstreams are unreachable, the others may exceed the load bound")
{
    placement_fixture fixture;
    for (auto& upstream : fixture.upstreams)
    {
        upstream.state->health.on_fault(upstream_fault::unreachable, now, 0.0, true);
    }
    // Three are unreachable and the fourth carries their load, which puts it above the load bound.
    fixture.upstreams[3].state = std::make_shared<upstream_state>(0);
    fixture.upstreams[3].state->in_flight = 12;
    fixture.upstreams[3].state->last_byte_received_at = now;
    REQUIRE(check_eligibility(fixture.upstreams[3], fixture.query, {3.0, false}) ==
            exclusion_reason::load_bound);
    const auto choice = fixture.choose();
    REQUIRE(choice);
    CHECK(choice->position == 3);
}

TEST_CASE("a prompt is placed where its shared parts are cached, even if another host sent them")
{
    placement_fixture fixture;
    const auto prompt = make_prompt(11, 12);
    fixture.query.prompt = &prompt;
    fixture.query.affinity = 11;
    for (auto& upstream : fixture.upstreams)
    {
        upstream.state->cache.clear();
    }
    fixture.upstreams[3].state->cache.on_prefilled_elsewhere(prompt.parts[0]);
    const auto choice = fixture.choose();
    REQUIRE(choice);
    CHECK(choice->position == 3);
    CHECK(!choice->fetch_from);
}

TEST_CASE("the load bound takes precedence over cached prompt parts, also while others are ejected")
{
    placement_fixture fixture;
    const auto prompt = make_prompt(11, 12);
    fixture.rules.engine->bytes_per_token = 0.0;
    fixture.query.prompt = &prompt;
    fixture.query.affinity = 11;
    fixture.upstreams[0].state->health.on_fault(upstream_fault::unreachable, now, 0.0, true);
    fixture.upstreams[3].state->cache.on_prefilled(prompt);
    fixture.upstreams[3].state->in_flight = 12;
    fixture.upstreams[3].state->last_byte_received_at = now;
    const auto choice = fixture.choose();
    REQUIRE(choice);
    CHECK(choice->position != 3);
}

TEST_CASE("when the upstream that cached a prompt is leaving, its successor fetches from it")
{
    placement_fixture fixture;
    const auto prompt = make_prompt(11, 12);
    fixture.query.prompt = &prompt;
    fixture.query.affinity = 11;
    fixture.upstreams[1].state->cache.on_prefilled(prompt);
    fixture.upstreams[1].known.entry.leaving = true;
    const auto choice = fixture.choose();
    REQUIRE(choice);
    CHECK(choice->position != 1);
    CHECK(choice->fetch_from == std::optional<std::size_t>(1));
}

TEST_CASE("hosts with empty cache models choose the same engine for the same prompt")
{
    for (std::uint64_t key = 1; key < 200; ++key)
    {
        placement_fixture one;
        placement_fixture other;
        std::swap(other.upstreams[0], other.upstreams[3]);
        const auto prompt = make_prompt(key, key + 1000);
        one.query.prompt = &prompt;
        one.query.affinity = key;
        other.query.prompt = &prompt;
        other.query.affinity = key;
        const auto first = one.choose();
        const auto second = other.choose();
        REQUIRE(first);
        REQUIRE(second);
        CHECK(one.upstreams[first->position].known.entry.name ==
              other.upstreams[second->position].known.entry.name);
    }
}

TEST_CASE("the cache model evicts the least recently used parts")
{
    prompt_cache_model cache(25'000);
    const auto first = make_prompt(1, 2);
    const auto second = make_prompt(3, 4);
    const auto third = make_prompt(5, 6);
    cache.on_prefilled(first);
    cache.on_prefilled(second);
    cache.on_prefilled(first);
    cache.on_prefilled(third);
    CHECK(cache.cached_tokens(third) == 11'000);
    CHECK(cache.cached_tokens(first) > 0);
    CHECK(cache.cached_tokens(second) == 0);
}

TEST_CASE(
    "failures at the baseline share of the service do not eject an upstream, a higher share does")
{
    upstream_health usual;
    upstream_health faulty;
    for (int outcome = 0; outcome < 200; ++outcome)
    {
        const auto moment = now + outcome * 100ms;
        outcome % 7 == 0 ? usual.on_fault(upstream_fault::failed, moment, 0.14, true)
                         : usual.on_success(moment);
        REQUIRE(!usual.is_ejected(moment));
        outcome % 2 == 0 ? faulty.on_fault(upstream_fault::failed, moment, 0.14, true)
                         : faulty.on_success(moment);
    }
    CHECK(faulty.is_on_probation());
}

TEST_CASE("requests that break at the same time count as one fault")
{
    upstream_health health;
    for (int request = 0; request < 5; ++request)
    {
        health.on_fault(upstream_fault::broken, now, 0.0, true);
    }
    CHECK(!health.is_ejected(now));
    health.on_fault(upstream_fault::broken, now + 200ms, 0.0, true);
    CHECK(health.is_ejected(now + 200ms));
    CHECK(!health.is_unreachable(now + 200ms));
}

TEST_CASE("ejections without connection failures do not push the rest over the load bound")
{
    placement_fixture fixture;
    // Three are ejected for broken responses; the fourth is at the load bound.
    for (std::size_t number = 0; number < 3; ++number)
    {
        fixture.upstreams[number].state->health.on_fault(upstream_fault::broken, now - 1s, 0.0,
                                                         true);
        fixture.upstreams[number].state->health.on_fault(upstream_fault::broken, now, 0.0, true);
    }
    fixture.upstreams[3].state->in_flight = 12;
    fixture.upstreams[3].state->last_byte_received_at = now;
    const auto choice = fixture.choose();
    REQUIRE(choice);
    CHECK(choice->position != 3);
}

TEST_CASE("an ejected upstream is readmitted after successes, and repeated ejections last longer")
{
    upstream_health health;
    health.on_fault(upstream_fault::unreachable, now, 0.0, true);
    CHECK(health.is_ejected(now + 300ms));
    CHECK(!health.is_ejected(now + 500ms));
    health.on_fault(upstream_fault::unreachable, now + 500ms, 0.0, true);
    CHECK(health.is_ejected(now + 1200ms));
    for (int success = 0; success < 3; ++success)
    {
        health.on_success(now + 2s);
    }
    CHECK(!health.is_on_probation());
}
