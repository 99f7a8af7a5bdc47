#include "rollout/evidence.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace poplardrift::rollout;

namespace
{

auto random_counts(std::mt19937& random) -> host_counts
{
    host_counts counts;
    for (std::uint32_t route = 0; route < 3; ++route)
    {
        auto& item = counts.routes[route_key(route)];
        item.requests = random() % 100;
        item.old_version = {random() % 50, random() % 9, random() % 9, random() % 30, random() % 9};
        item.new_version = {random() % 50, random() % 9, random() % 9, random() % 30, random() % 9};
    }
    counts.interrupted_by_upstream[random() % 4] = random() % 9;
    counts.sent_to_new = random() % 50;
    return counts;
}

} // namespace

TEST_CASE("evidence is the same whatever the order and repetition of reports")
{
    // Guards against counting lost, late or repeated datagrams twice or not at all.
    std::mt19937 random(3);
    for (int round = 0; round < 50; ++round)
    {
        std::vector<std::pair<host_instance, host_counts>> reports;
        for (std::uint32_t host = 0; host < 4; ++host)
        {
            reports.push_back({{host, 1}, random_counts(random)});
            reports.push_back({{host, 1}, random_counts(random)});
        }
        evidence in_order;
        for (const auto& [from, counts] : reports)
        {
            in_order.merge(from, counts);
        }
        reports.push_back(reports.front());
        std::shuffle(reports.begin(), reports.end(), random);
        evidence shuffled;
        for (const auto& [from, counts] : reports)
        {
            shuffled.merge(from, counts);
        }
        REQUIRE(in_order.sum() == shuffled.sum());
    }
}

TEST_CASE("counters of a host's former run are kept beside those of the next one")
{
    // Guards against bad responses that are forgotten when the host that saw them restarts.
    evidence evidence;
    host_counts counts;
    counts.routes[route_key(1)].new_version.failed = 7;
    evidence.merge({5, 1}, counts);
    counts.routes[route_key(1)].new_version.failed = 2;
    evidence.merge({5, 2}, counts);
    CHECK(evidence.sum().total().new_version.failed == 9);
}
