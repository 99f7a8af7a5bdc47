#include "fleet/fleet_state.hpp"
#include "fleet/peer_messages.hpp"
#include "fleet/text_record_decoder.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace poplardrift;
using namespace poplardrift::fleet;
using namespace std::chrono_literals;

namespace
{

const time_point start(1h);

struct fleet_state_fixture
{
    auto upstreams(std::initializer_list<published_record> records, time_point now) -> void
    {
        const std::vector<published_record> list(records);
        this->state.on_records(record_stream::upstreams, list,
                               record_position(list.back().position.offset() + 1), now);
    }
    auto operators(std::initializer_list<published_record> records, time_point now) -> void
    {
        const std::vector<published_record> list(records);
        this->state.on_records(record_stream::operators, list,
                               record_position(list.back().position.offset() + 1), now);
    }
    auto view(time_point now) -> std::shared_ptr<const routing::fleet_view>
    {
        if (auto next = this->state.take_view(now))
        {
            this->last = next;
        }
        return this->last;
    }

    decision_log log{"test", -1};
    text_record_decoder decoder;
    fleet_state state{this->decoder, this->log};
    std::shared_ptr<const routing::fleet_view> last;
};

} // namespace

TEST_CASE("configuration version never decreases when records arrive in random order")
{
    std::mt19937 random(5);
    for (int round = 0; round < 200; ++round)
    {
        fleet_state_fixture fixture;
        std::vector<std::uint64_t> versions = {1, 4, 5, 9, 12, 13};
        std::shuffle(versions.begin(), versions.end(), random);
        std::uint64_t highest = 0;
        for (const auto version : versions)
        {
            fixture.operators({make_record("config", version, std::to_string(version))}, start);
            highest = std::max(highest, version);
            REQUIRE(fixture.view(start)->configuration->version.value() == highest);
        }
    }
}

TEST_CASE("an older record that arrives late does not clear an upstream's leaving state")
{
    fleet_state_fixture fixture;
    fixture.upstreams({make_record("u", 5, "1 leaving")}, start);
    fixture.upstreams({make_record("u", 3, "1")}, start);
    REQUIRE(fixture.view(start)->upstreams.size() == 1);
    CHECK(fixture.view(start)->upstreams[0].entry.leaving);
}

TEST_CASE("a restarted upstream is not leaving and takes the cold period from its new entry")
{
    fleet_state_fixture fixture;
    fixture.upstreams({make_record("u", 5, "1 leaving")}, start);
    fixture.upstreams({make_record("u", 6, "2 cold")}, start);
    const auto& upstream = fixture.view(start)->upstreams[0];
    CHECK(!upstream.entry.leaving);
    CHECK(upstream.cold_until == start + 2s);
}

TEST_CASE("a late record of an upstream's former process does not undo its restart")
{
    fleet_state_fixture fixture;
    fixture.upstreams({make_record("u", 5, "1")}, start);
    fixture.upstreams({make_record("u", 6, "2 cold")}, start + 1s);
    fixture.upstreams({make_record("u", 7, "1")}, start + 2s);
    const auto upstream = fixture.view(start + 2s)->upstreams[0];
    CHECK(upstream.entry.start_number == '2');
    CHECK(upstream.cold_until == start + 3s);
    // A lower number that stays comes from an upstream whose clock was set back.
    fixture.upstreams({make_record("u", 8, "1 cold")}, start + 5s);
    CHECK(fixture.view(start + 5s)->upstreams[0].entry.start_number == '1');
}

TEST_CASE("a record that fails to decode does not change the view")
{
    fleet_state_fixture fixture;
    fixture.upstreams({make_record("u", 1, "1")}, start);
    fixture.upstreams({make_record("u", 2, "forged")}, start);
    CHECK(fixture.view(start)->upstreams.size() == 1);
}

TEST_CASE("an upstream is removed immediately while the platform is reachable")
{
    fleet_state_fixture fixture;
    fixture.upstreams({make_record("u", 1, "1")}, start);
    fixture.upstreams({make_record("u", 2, std::nullopt)}, start);
    CHECK(fixture.view(start)->upstreams.empty());
}

TEST_CASE(
    "upstreams whose entries expired in a platform outage stay usable until they can renew them")
{
    fleet_state_fixture fixture;
    fixture.upstreams({make_record("u", 1, "1"), make_record("v", 2, "1")}, start);
    fixture.state.on_platform_reachable(false, start + 1s);
    fixture.state.on_platform_reachable(true, start + 5s);
    fixture.upstreams({make_record("u", 3, std::nullopt), make_record("v", 4, std::nullopt)},
                      start + 5s);
    CHECK(fixture.view(start + 5s)->upstreams.size() == 2);
    fixture.upstreams({make_record("v", 5, "1")}, start + 6s);
    // Removals must take effect within 2 s here.
    const auto later = fixture.view(start + 7s);
    REQUIRE(later->upstreams.size() == 1);
    CHECK(later->upstreams[0].entry.name.value() == "v");
}

TEST_CASE("an entry that may only have expired is used for as long as a renewal takes, not longer")
{
    fleet_state_fixture fixture;
    routing::fleet_bounds bounds;
    bounds.leave_within = 4s;
    fixture.state.set_bounds(bounds);
    fixture.upstreams({make_record("u", 1, "1")}, start);
    fixture.state.on_platform_reachable(false, start + 1s);
    // Removed on the platform 1.2 s before this host learns of it.
    fixture.upstreams({make_record("u", 2, std::nullopt)}, start + 2s);
    CHECK(fixture.view(start + 4s)->upstreams.size() == 1);
    CHECK(fixture.view(start + 2s + 4s - 1200ms)->upstreams.empty());
}

TEST_CASE(
    "a key that is missing from a listing is removed and a late older record does not restore it")
{
    fleet_state_fixture fixture;
    fixture.upstreams({make_record("u", 1, "1"), make_record("v", 2, "1")}, start);
    fixture.state.on_listing(record_stream::upstreams, {make_record("v", 2, "1")},
                             record_position(9), start);
    REQUIRE(fixture.view(start)->upstreams.size() == 1);
    // A record from before the listing arrives late.
    fixture.upstreams({make_record("u", 1, "1")}, start);
    CHECK(fixture.view(start)->upstreams.size() == 1);
}

TEST_CASE("upstreams of a zone that returns to service are cold")
{
    fleet_state_fixture fixture;
    fixture.operators({make_record("config", 1, "1")}, start);
    fixture.upstreams({make_record("u", 1, "1")}, start);
    fixture.operators({make_record("a", 2, "{}")}, start);
    CHECK(fixture.view(start)->zones_out.contains(zone_name("a")));
    fixture.operators({make_record("a", 3, std::nullopt)}, start + 5s);
    const auto view = fixture.view(start + 5s);
    CHECK(view->zones_out.empty());
    CHECK(view->upstreams[0].cold_until == start + 8s);
}

TEST_CASE("replicas converge when batches of records arrive in random order")
{
    std::mt19937 random(11);
    for (int round = 0; round < 100; ++round)
    {
        keyed_mirror source;
        keyed_mirror copy;
        for (std::uint64_t position = 0; position < 60; ++position)
        {
            const auto key = "k" + std::to_string(random() % 7);
            const auto value = random() % 4 == 0 ? std::nullopt : std::optional(std::string("v"));
            source.apply(make_record(key, position, value));
            source.advance(record_position(position + 1));
            if (random() % 9 == 0)
            {
                auto batch = source.changes_since(copy.end()).records;
                std::shuffle(batch.begin(), batch.end(), random);
                for (const auto& item : batch)
                {
                    copy.apply(item);
                }
                copy.advance(source.end());
            }
        }
        for (const auto& item : source.changes_since(copy.end()).records)
        {
            copy.apply(item);
        }
        const auto left = source.changes_since(record_position(0)).records;
        const auto right = copy.changes_since(record_position(0)).records;
        REQUIRE(left.size() == right.size());
        for (std::size_t index = 0; index < left.size(); ++index)
        {
            REQUIRE(left[index].position == right[index].position);
            REQUIRE(left[index].value == right[index].value);
        }
    }
}

TEST_CASE("beacons with loads of 13 upstreams to 4 peers stay within 5 KB/s")
{
    constexpr double budget = 5'000;
    constexpr double beacons_per_second = 4 * 10;
    constexpr double packet_header_bytes = 28;
    host_beacon beacon;
    beacon.incarnation = 0xfedcba98;
    beacon.ends = {record_position(300), record_position(40'000)};
    beacon.change_ends = {record_position(290), record_position(39'000)};
    beacon.registry_age = 700ms;
    for (std::uint32_t number = 0; number < 13; ++number)
    {
        beacon.loads.push_back({0xfedcba98 + number, 12, false});
    }
    const auto size = static_cast<double>(encode_beacon(beacon).size());
    CHECK((size + packet_header_bytes) * beacons_per_second <= budget);
}

TEST_CASE("beacons round-trip through the codec, and damaged bytes do not crash it")
{
    host_beacon beacon;
    beacon.identity = {"h", "z"};
    beacon.incarnation = 7;
    beacon.ends = {record_position(3), record_position(4)};
    beacon.change_ends = {record_position(3), record_position(1)};
    beacon.loads = {{0xfedcba98, 2, true}};
    beacon.cached_prefixes = {{5, 0xfedcba9876543210, 700}};
    const auto bytes = encode_beacon(beacon);
    const auto read = decode_beacon(bytes);
    REQUIRE(read);
    CHECK(read->identity->zone == "z");
    CHECK(read->incarnation == 7);
    CHECK(read->ends[1] == record_position(4));
    CHECK(read->change_ends[0] == record_position(3));
    CHECK(read->change_ends[1] == record_position(1));
    REQUIRE(read->loads.size() == 1);
    CHECK(read->loads[0].upstream == 0xfedcba98);
    CHECK(read->loads[0].in_flight == 2);
    CHECK(read->loads[0].ejected);
    CHECK(read->cached_prefixes[0].upstream == 5);
    CHECK(read->cached_prefixes[0].chain_hash == 0xfedcba9876543210);
    CHECK(read->cached_prefixes[0].tokens == 700);
    std::mt19937 random(3);
    for (int round = 0; round < 5000; ++round)
    {
        auto damaged = bytes.substr(0, random() % (bytes.size() + 1));
        if (!damaged.empty())
        {
            damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
        }
        static_cast<void>(decode_beacon(damaged));
        static_cast<void>(decode_batch(damaged));
    }
    CHECK(!decode_beacon("noise"));
}
