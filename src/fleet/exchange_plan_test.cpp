#include "fleet/exchange_plan.hpp"
#include "fleet/peer_messages.hpp"
#include "fleet/prefix_queue.hpp"
#include "poplardrift/base/ids.hpp"
#include "routing/host_group.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace poplardrift::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t packet_limit_bytes = 1472; ///< of a datagram on common networks

auto key_of(std::uint32_t number) -> routing::host_key
{
    return routing::host_key(0x0a000000 + number);
}

} // namespace

TEST_CASE("the messages of a host and the age of loads do not grow with the fleet")
{
    struct size
    {
        std::size_t cell_peers;
        std::size_t other_peers;
    };
    const auto [cell_peers, other_peers] =
        GENERATE(size{0, 4}, size{1, 6}, size{8, 27}, size{19, 97}, size{49, 250}, size{83, 666});
    const exchange_plan plan(cell_peers, other_peers);
    const auto per_second = [](std::size_t peers, duration interval)
    { return static_cast<double>(peers) / to_seconds(interval); };
    const auto beacons = per_second(cell_peers, plan.beacon_interval(true)) +
                         per_second(other_peers, plan.beacon_interval(false));
    CHECK(beacons <= 180.0);
    CHECK(plan.beacon_interval(true) <= 1s);
    // Loads of other zones take a beacon, the wait for a speaker and the way through the cell.
    const auto age = plan.uses_cells() ? plan.beacon_interval(true) + plan.summary_interval()
                                       : plan.beacon_interval(false);
    CHECK(age <= 1600ms);
    CHECK(plan.alive_timeout(true) >= 4 * plan.beacon_interval(true));
    CHECK(plan.alive_timeout(false) >= 4 * plan.beacon_interval(false));
}

TEST_CASE("a small fleet and a fleet of one zone are a mesh")
{
    CHECK(!exchange_plan(0, 4).uses_cells());
    CHECK(!exchange_plan(8, 27).uses_cells());
    CHECK(!exchange_plan(60, 0).uses_cells());
    CHECK(exchange_plan(19, 97).uses_cells());
}

TEST_CASE("the hosts of a cell agree on the speakers to each zone, also after the loss of one")
{
    std::vector<routing::host_key> cell;
    for (std::uint32_t number = 1; number <= 20; ++number)
    {
        cell.push_back(key_of(number));
    }
    const auto speakers_of = [](const std::vector<routing::host_key>& hosts, std::string_view zone)
    {
        std::vector<routing::host_key> speakers;
        for (const auto& own : hosts)
        {
            auto others = hosts;
            std::erase(others, own);
            if (routing::rendezvous_rank(own, others, hash_bytes_64(zone)) < speaker_count)
            {
                speakers.push_back(own);
            }
        }
        return speakers;
    };
    for (const auto* const zone : {"a", "b", "c", "d", "e"})
    {
        const auto speakers = speakers_of(cell, zone);
        REQUIRE(speakers.size() == speaker_count);
        auto survivors = cell;
        std::erase(survivors, speakers.front());
        const auto later = speakers_of(survivors, zone);
        REQUIRE(later.size() == speaker_count);
        CHECK(std::find(later.begin(), later.end(), speakers.back()) != later.end());
    }
}

TEST_CASE("each receiver reads all prefixes once, and repeats are dropped for a while")
{
    const time_point start(1h);
    prefix_queue queue;
    for (std::uint64_t chain = 0; chain < 10; ++chain)
    {
        queue.add({1, chain, 100}, start);
        queue.add({1, chain, 100}, start + 1s);
    }
    std::uint64_t slow = 0;
    std::uint64_t fast = 0;
    CHECK(queue.read(fast, 100).size() == 10);
    CHECK(queue.read(slow, 4).size() == 4);
    CHECK(queue.read(slow, 100).size() == 6);
    CHECK(queue.read(slow, 100).empty());
    queue.add({1, 3, 100}, start + 6s);
    CHECK(queue.read(fast, 100).size() == 1);
    for (std::uint64_t chain = 100; chain < 1000; ++chain)
    {
        queue.add({1, chain, 100}, start + 6s);
    }
    auto even = slow;
    auto odd = slow;
    const auto left = queue.read(slow, 1000);
    CHECK(left.size() == 512);
    CHECK(queue.read(even, 1000, {0, 2}).size() == 256);
    CHECK(queue.read(odd, 1000, {1, 2}).size() == 256);
    CHECK(left.back().chain_hash == 999);
}

TEST_CASE("a zone summary round-trips, fits a packet, and keeps the highest loads")
{
    zone_summary summary;
    summary.zone = "a-zone-with-a-long-name";
    for (std::uint32_t upstream = 0; upstream < 400; ++upstream)
    {
        summary.loads.push_back({0xf0000000 + upstream, upstream % 200, false, upstream == 399});
    }
    for (std::uint64_t chain = 0; chain < 24; ++chain)
    {
        summary.cached_prefixes.push_back({0xf0000000, 0xfedcba9876543210 + chain, 10'512});
    }
    const auto bytes = encode_summary(summary);
    CHECK(bytes.size() <= packet_limit_bytes);
    const auto read = decode_datagram(bytes, time_point{});
    REQUIRE(read);
    const auto& decoded = std::get<zone_summary>(*read);
    CHECK(decoded.zone == summary.zone);
    CHECK(decoded.cached_prefixes.size() == 24);
    REQUIRE(decoded.loads.size() == 150);
    for (const auto& load : decoded.loads)
    {
        CHECK(load.in_flight >= 125);
        CHECK(load.may_have_restarted == (load.upstream == 0xf0000000 + 399));
    }
    for (std::size_t end = 0; end < bytes.size(); ++end)
    {
        CHECK(!decode_datagram(std::string_view(bytes).substr(0, end), time_point{}));
    }
}
