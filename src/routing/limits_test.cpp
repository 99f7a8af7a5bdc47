#include "routing/cold_allowance.hpp"
#include "routing/host_retry_budget.hpp"
#include "routing/placement.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <random>
#include <vector>

using namespace poplardrift;
using namespace poplardrift::routing;
using namespace std::chrono_literals;

namespace
{

auto at(duration since_start) -> time_point
{
    return time_point(1h + since_start);
}

auto default_bounds() -> fleet_bounds
{
    fleet_bounds bounds;
    bounds.retry_ratio = 0.2;
    bounds.retry_window = 10s;
    bounds.retry_slack = 56.0;
    bounds.cold_multiplier = 1.5;
    bounds.cold_slack = 5.0;
    return bounds;
}

/// Largest number of times within any interval of length `window`.
auto most_in_window(const std::deque<time_point>& times, duration window) -> std::size_t
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last)
    {
        while (times[last] - times[first] >= window)
        {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// The groups of the hosts of a fleet that all know each other.
auto make_groups(int host_count) -> std::vector<host_group>
{
    std::vector<host_group> groups(static_cast<std::size_t>(host_count));
    for (std::uint32_t own = 0; own < groups.size(); ++own)
    {
        groups[own].own = host_key(own);
        groups[own].count = groups.size();
        for (std::uint32_t other = 0; other < groups.size(); ++other)
        {
            if (other != own)
            {
                groups[own].others.push_back(host_key(other));
            }
        }
    }
    return groups;
}

} // namespace

TEST_CASE("changing the retry window does not free retry budget")
{
    fleet_bounds bounds;
    bounds.retry_ratio = 0.0;
    bounds.retry_slack = 10.0; // 80 % of it is used
    bounds.retry_window = 2s;
    host_retry_budget budget(bounds.retry_window);
    const time_point now(1h);
    auto consumed = 0;
    while (budget.try_consume(now, bounds, 1))
    {
        ++consumed;
    }
    CHECK(consumed == 8);
    bounds.retry_window = 10s;
    budget.set_window(bounds.retry_window, now + 1s);
    CHECK(!budget.try_consume(now + 5s, bounds, 1));
    CHECK(!budget.try_consume(now + 10s, bounds, 1));
    CHECK(budget.try_consume(now + 12s, bounds, 1));
}

TEST_CASE("the sliding counter never undercounts the events in its window")
{
    std::mt19937 random(7);
    sliding_counter counter(1s);
    std::deque<time_point> times;
    auto now = at(0ns);
    for (int step = 0; step < 20'000; ++step)
    {
        now += std::chrono::microseconds(random() % 9000);
        counter.add(now);
        times.push_back(now);
        while (now - times.front() >= 1s)
        {
            times.pop_front();
        }
        REQUIRE(counter.total(now) >= times.size());
    }
    CHECK(counter.total(now + 3s) == 0);
}

TEST_CASE("the retries of all hosts together stay within the fleet's retry budget")
{
    const auto bounds = default_bounds();
    const auto host_count = GENERATE(1, 4, 5, 9, 29);
    std::mt19937 random(static_cast<unsigned>(host_count));
    std::vector<host_retry_budget> hosts(static_cast<std::size_t>(host_count),
                                         host_retry_budget(bounds.retry_window));
    std::deque<time_point> requests;
    std::deque<time_point> repeats;
    auto now = at(0ns);
    for (int step = 0; step < 30'000; ++step)
    {
        now += std::chrono::microseconds(random() % 3000);
        auto& host = hosts[random() % hosts.size()];
        host.on_request(now);
        requests.push_back(now);
        // Every request fails, so hosts retry until their budgets are exhausted.
        while (host.try_consume(now, bounds, hosts.size()))
        {
            repeats.push_back(now);
        }
        while (now - requests.front() >= bounds.retry_window)
        {
            requests.pop_front();
        }
        while (!repeats.empty() && now - repeats.front() >= bounds.retry_window)
        {
            repeats.pop_front();
        }
        REQUIRE(static_cast<double>(repeats.size()) <=
                bounds.retry_ratio * static_cast<double>(requests.size()) + bounds.retry_slack);
    }
    CHECK(!repeats.empty());
}

TEST_CASE("the requests of all hosts together stay within an upstream's cold limit")
{
    const auto bounds = default_bounds();
    service_rules rules;
    rules.cold_requests_per_second = 18.0;
    const auto host_count = GENERATE(1, 4, 5, 9, 29, 117, 750);
    const zone_name zone("a");
    std::mt19937 random(3);
    std::deque<time_point> sends;
    std::vector<live_upstream> views(static_cast<std::size_t>(host_count));
    const auto groups = make_groups(host_count);
    for (auto& view : views)
    {
        view.known.cold_until = at(1h);
        view.known.usable_until = time_point::max();
        view.known.entry.zone = zone;
        view.state = std::make_shared<upstream_state>(0);
    }
    auto now = at(0ns);
    for (int step = 0; step < 20'000; ++step)
    {
        now += std::chrono::microseconds(random() % 900);
        const auto host = random() % views.size();
        auto& view = views[host];
        placement_query query;
        query.rules = &rules;
        query.now = now;
        query.bounds = &bounds;
        query.own_zone = &zone;
        query.hosts = &groups[host];
        placement_failure why;
        if (choose_upstream({&view, 1}, query, why))
        {
            view.state->cold_sends.add(now);
            sends.push_back(now);
        }
        else
        {
            REQUIRE(why.most_common_exclusion == exclusion_reason::cold_limit);
        }
    }
    const auto limit = rules.cold_requests_per_second * bounds.cold_multiplier + bounds.cold_slack;
    const auto most = static_cast<double>(most_in_window(sends, 1s));
    CHECK(most <= limit);
    // However many hosts there are, most of the limit can be used.
    CHECK(most >= 0.5 * limit);
}

TEST_CASE("a host that others may not count yet takes no share of a cold limit that others hold")
{
    const auto bounds = default_bounds();
    service_rules rules;
    rules.cold_requests_per_second = 18.0;
    const auto groups = make_groups(117);
    // Each of the others is missing one host in its view: the one that joined last.
    const auto newcomer = groups.back();
    for (upstream_key upstream = 0; upstream < 200; ++upstream)
    {
        auto sum = 0.0;
        for (auto group : groups)
        {
            if (group.own == newcomer.own)
            {
                group.is_settled = false;
            }
            else
            {
                std::erase(group.others, newcomer.own);
                --group.count;
            }
            sum += cold_rate_of_host(rules, bounds, group, upstream);
        }
        REQUIRE(sum <= rules.cold_requests_per_second * bounds.cold_multiplier + bounds.cold_slack);
    }
}

TEST_CASE("an upstream whose connection broke counts as cold until an older one delivers bytes")
{
    upstream_state state(0);
    state.suspect_restart(at(1s), 3s);
    CHECK(state.is_restart_suspected(at(2s)));
    state.on_bytes_received(at(2s), at(1500ms)); // established after the failure: proves nothing
    CHECK(state.is_restart_suspected(at(2s)));
    state.on_bytes_received(at(1050ms), at(500ms)); // may have been sent before the failure
    CHECK(state.is_restart_suspected(at(2s)));
    state.on_bytes_received(at(2s), at(500ms));
    CHECK(!state.is_restart_suspected(at(2s)));
}
