// What a host does with the records of a store that came back from an older copy.

#include "fleet/fleet_state.hpp"
#include "fleet/peer_messages.hpp"
#include "fleet/text_record_decoder.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

using namespace poplardrift;
using namespace poplardrift::fleet;
using namespace std::chrono_literals;

namespace
{

const time_point start(1h);
constexpr store_era second_era(1);
constexpr store_era third_era(2);

/// Shared, because a log waits for its writer when it ends.
auto shared_log() -> decision_log&
{
    static decision_log log("test", -1);
    return log;
}

/// One host, and the view that its traffic thread has.
class restore_fixture
{
public:
    /// Applies a listing whose records are at consecutive offsets.
    auto list(record_stream stream, const std::vector<std::pair<std::string, std::string>>& records,
              store_era era, time_point now) -> void
    {
        std::vector<published_record> listed;
        for (const auto& [key, value] : records)
        {
            listed.push_back(make_record(key, listed.size(), value, era));
        }
        this->state.on_listing(stream, listed, record_position(listed.size(), era), now);
    }
    auto append(record_stream stream, const published_record& record, time_point now) -> void
    {
        this->state.on_records(stream, {record}, record.position.next(), now);
    }
    auto view(time_point now) -> const routing::fleet_view&
    {
        if (auto next = this->state.take_view(now))
        {
            this->last = next;
        }
        return *this->last;
    }
    auto has_upstream(const std::string& name, time_point now) -> bool
    {
        const auto& all = this->view(now).upstreams;
        return std::any_of(all.begin(), all.end(),
                           [&](const auto& known) { return known.entry.name.value() == name; });
    }
    auto version(time_point now) -> std::uint64_t
    {
        return this->view(now).configuration->version.value();
    }

    text_record_decoder decoder;
    fleet_state state{this->decoder, shared_log()};

private:
    std::shared_ptr<const routing::fleet_view> last = std::make_shared<routing::fleet_view>();
};

constexpr auto operators = record_stream::operators;
constexpr auto upstreams = record_stream::upstreams;

} // namespace

TEST_CASE("the configuration of an older copy is not applied, the next one written is")
{
    restore_fixture host;
    host.list(operators, {{"config", "1"}}, store_era(), start);
    host.append(operators, make_record("config", 90, "4"), start);
    host.list(operators, {{"config", "1"}}, second_era, start);
    CHECK(host.version(start) == 4);
    CHECK(host.version(start + 9s) == 4);
    host.append(operators, make_record("config", 1, "4", second_era), start + 9s);
    host.append(operators, make_record("config", 2, "5", second_era), start + 9s);
    CHECK(host.version(start + 9s) == 5);
}

TEST_CASE("an upstream that registers again is used, one missing 2 s after the restore is not")
{
    restore_fixture host;
    host.list(upstreams, {{"a", "1 5"}, {"b", "1 5"}, {"c", "1 5"}}, store_era(), start);
    host.list(upstreams, {{"c", "1 3"}}, second_era, start);
    CHECK(host.view(start + 1900ms).upstreams.size() == 3);
    host.append(upstreams, make_record("a", 1, "1 6", second_era), start + 1900ms);
    CHECK(host.has_upstream("a", start + 2s));
    CHECK(!host.has_upstream("b", start + 2s));
    CHECK(host.has_upstream("c", start + 2s));
}

TEST_CASE("an upstream that left or drains does not come back from the older copy")
{
    restore_fixture host;
    host.list(upstreams, {{"gone", "1 5"}, {"drains", "1 5"}, {"restarted", "1 5"}}, store_era(),
              start);
    host.append(upstreams, make_record("gone", 3, std::nullopt), start);
    host.append(upstreams, make_record("drains", 4, "1 6 leaving"), start);
    host.append(upstreams, make_record("restarted", 5, std::nullopt), start);
    CHECK(!host.has_upstream("gone", start));
    host.list(upstreams, {{"drains", "1 5"}, {"gone", "1 5"}, {"restarted", "2 1"}}, second_era,
              start + 9s);
    CHECK(!host.has_upstream("gone", start + 9s));
    CHECK(host.has_upstream("restarted", start + 9s));
    for (const auto& known : host.view(start + 9s).upstreams)
    {
        CHECK(known.entry.leaving == (known.entry.name.value() == "drains"));
    }
    host.append(upstreams, make_record("gone", 3, "1 6", second_era), start + 10s);
    CHECK(host.has_upstream("gone", start + 10s));
}

TEST_CASE("a zone's state of an older copy takes effect only if it is not written again")
{
    restore_fixture host;
    host.list(operators, {{"kept-out", "{}"}, {"returned", "{}"}}, store_era(), start);
    host.append(operators, make_record("returned", 5, std::nullopt), start);
    host.append(operators, make_record("rewritten", 6, "{}"), start);
    host.append(operators, make_record("dropped", 7, "{}"), start);
    host.list(operators, {{"kept-out", "{}"}, {"returned", "{}"}}, second_era, start + 1s);
    const std::set<zone_name> before = {zone_name("dropped"), zone_name("kept-out"),
                                        zone_name("rewritten")};
    CHECK(host.view(start + 1s).zones_out == before);
    host.append(operators, make_record("rewritten", 2, "{}", second_era), start + 2s);
    host.append(operators, make_record("returned", 3, std::nullopt, second_era), start + 2s);
    CHECK(host.view(start + 2s).zones_out == before);
    CHECK(host.view(start + 3s).zones_out ==
          std::set<zone_name>{zone_name("kept-out"), zone_name("rewritten")});
}

TEST_CASE("a second restore within the recovery from the first one starts it again")
{
    restore_fixture host;
    host.list(operators, {{"z", "{}"}}, store_era(), start);
    host.list(upstreams, {{"a", "1 5"}}, store_era(), start);
    host.list(operators, {}, second_era, start + 1s);
    host.list(upstreams, {}, second_era, start + 1s);
    host.list(operators, {}, third_era, start + 2500ms);
    host.list(upstreams, {}, third_era, start + 2500ms);
    CHECK(host.has_upstream("a", start + 4s));
    CHECK(host.view(start + 4s).zones_out.size() == 1);
    CHECK(!host.has_upstream("a", start + 4500ms));
    CHECK(host.view(start + 4500ms).zones_out.empty());
    // The first record of the empty stream is applied.
    host.append(upstreams, make_record("a", 0, "1 6", third_era), start + 5s);
    CHECK(host.has_upstream("a", start + 5s));
}

TEST_CASE("records, listings and positions of an earlier era change nothing")
{
    restore_fixture host;
    host.list(operators, {{"config", "1"}}, second_era, start);
    host.append(operators, make_record("config", 900, "9"), start);
    host.list(operators, {{"a", "{}"}, {"b", "{}"}, {"config", "8"}}, store_era(), start);
    host.state.on_peer_position(operators, record_position(0), record_position(900));
    CHECK(host.version(start) == 1);
    CHECK(host.view(start).zones_out.empty());
    CHECK(host.state.mirror_of(operators).end() == record_position(1, second_era));
    // Records of a later era are taken from a listing only.
    host.append(operators, make_record("config", 0, "9", third_era), start);
    host.state.on_peer_position(operators, record_position(0, third_era),
                                record_position(5, third_era));
    CHECK(host.version(start) == 1);
    CHECK(host.state.mirror_of(operators).end() == record_position(1, second_era));
}

TEST_CASE("hosts that exchange records after restores end with what the store holds")
{
    std::mt19937 random(17);
    for (int round = 0; round < 300; ++round)
    {
        std::vector<published_record> store;
        std::vector<published_record> copy;
        store_era era;
        std::uint64_t sequence = 0;
        std::vector<std::unique_ptr<restore_fixture>> hosts;
        for (int number = 0; number < 4; ++number)
        {
            hosts.push_back(std::make_unique<restore_fixture>());
        }
        const auto write = [&](const std::string& key)
        {
            const auto value = random() % 4 == 0 ? std::optional<std::string>()
                                                 : std::optional("1 " + std::to_string(++sequence));
            store.push_back(make_record(key, store.size(), value, era));
        };
        const auto read_store = [&](restore_fixture& host, time_point now)
        {
            std::map<std::string, published_record> newest;
            for (const auto& record : store)
            {
                newest[record.key] = record;
            }
            std::vector<published_record> listed;
            for (const auto& [key, record] : newest)
            {
                if (record.value)
                {
                    listed.push_back(record);
                }
            }
            host.state.on_listing(upstreams, listed, record_position(store.size(), era), now);
        };
        auto now = start;
        for (int step = 0; step < 60; ++step)
        {
            now += 100ms;
            write("u" + std::to_string(random() % 5));
            if (random() % 10 == 0)
            {
                copy = store;
            }
            if (random() % 20 == 0)
            {
                store = copy;
                era = store_era(era.value() + 1);
                for (auto& record : store)
                {
                    record.position = record_position(record.position.offset(), era);
                }
                copy = store;
            }
            auto& host = *hosts[random() % hosts.size()];
            const auto& source = hosts[random() % hosts.size()]->state.mirror_of(upstreams);
            if (random() % 3 == 0)
            {
                read_store(host, now);
            }
            else if (source.is_complete())
            {
                host.state.on_changes(upstreams,
                                      source.changes_since(host.state.mirror_of(upstreams).end()),
                                      source.end(), now);
            }
        }
        for (int number = 0; number < 5; ++number)
        {
            // Upstreams write again what was lost.
            store.push_back(make_record("u" + std::to_string(number), store.size(),
                                        "1 " + std::to_string(++sequence), era));
        }
        store.push_back(make_record("u0", store.size(), std::nullopt, era));
        read_store(*hosts[0], now);
        for (auto& host : hosts)
        {
            const auto& source = hosts[0]->state.mirror_of(upstreams);
            host->state.on_changes(upstreams,
                                   source.changes_since(host->state.mirror_of(upstreams).end()),
                                   source.end(), now);
            INFO("round " << round);
            REQUIRE(host->view(now + 3s).upstreams.size() == 4);
            REQUIRE(!host->has_upstream("u0", now + 3s));
        }
    }
}

TEST_CASE("positions keep their era in messages between hosts")
{
    const auto first = record_position(7, second_era);
    const auto second = record_position(9, third_era);
    for (const auto& ends : {std::array{record_position(3), record_position(4)},
                             std::array{first, record_position(4, second_era)},
                             std::array{first, second}, std::array{record_position(3), second}})
    {
        host_beacon beacon;
        beacon.ends = ends;
        beacon.change_ends = {record_position(2, ends[0].era()), ends[1]};
        const auto read_beacon = decode_beacon(encode_beacon(beacon));
        REQUIRE(read_beacon);
        CHECK(read_beacon->ends == beacon.ends);
        CHECK(read_beacon->change_ends == beacon.change_ends);
        record_batch batch;
        batch.ends = ends;
        batch.changes[1].records = {make_record("k", 1, "v", ends[1].era())};
        const auto read_batch = decode_batch(encode_batch(batch));
        REQUIRE(read_batch);
        CHECK(read_batch->ends == batch.ends);
        CHECK(read_batch->changes[1].records[0].position == record_position(1, ends[1].era()));
    }
}

TEST_CASE("beacons of a restored store stay within 5 KB/s with 13 upstreams and 4 peers")
{
    constexpr double budget = 5'000;
    constexpr double beacons_per_second = 4 * 10;
    constexpr double packet_header_bytes = 28;
    host_beacon beacon;
    beacon.incarnation = 0xfedcba98;
    beacon.ends = {record_position(300, second_era), record_position(40'000, second_era)};
    beacon.change_ends = {record_position(290, second_era), record_position(39'000, second_era)};
    beacon.registry_age = 700ms;
    for (std::uint32_t number = 0; number < 13; ++number)
    {
        beacon.loads.push_back({0xfedcba98 + number, 12, false});
    }
    const auto size = static_cast<double>(encode_beacon(beacon).size());
    CHECK((size + packet_header_bytes) * beacons_per_second <= budget);
}
