#include "fleet/keyed_mirror.hpp"
#include "platform/host_directory.hpp"
#include "platform/topic_follower.hpp"
#include "store_stand_in.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace poplardrift::platform;
using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

/// Follows a topic of the stand-in into a mirror.
struct setting
{
    setting()
    {
        follower_listener listener;
        listener.on_records = [this](const auto& records, auto end)
        {
            for (const auto& record : records)
            {
                this->mirror.apply(record);
            }
            this->mirror.advance(end);
        };
        listener.on_listing = [this](const auto& records, auto end)
        { static_cast<void>(this->mirror.apply_listing(records, end)); };
        listener.on_reachable = [this](bool is_reachable) { this->reachable = is_reachable; };
        listener.on_relisted = [this] { ++this->listed_anew; };
        this->follower.emplace(this->io, this->address(),
                               follower_settings{"keyed.op", 200ms, 10ms, 0ns, 0ns},
                               std::move(listener));
    }

    auto address() -> boost::asio::ip::tcp::endpoint
    {
        return {boost::asio::ip::address_v4::loopback(), this->store.port()};
    }
    /// Runs until the condition holds; false when it does not within 3 s.
    auto run_until(const std::function<bool()>& condition) -> bool
    {
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            this->io.run_for(10ms);
            this->io.restart();
        }
        return condition();
    }
    auto value_of(const std::string& key) -> std::optional<std::string>
    {
        for (const auto& record : this->mirror.changes_since(fleet::record_position(0)).records)
        {
            if (record.key == key)
            {
                return record.value;
            }
        }
        return std::nullopt;
    }

    store_stand_in store;
    boost::asio::io_context io{1};
    fleet::keyed_mirror mirror;
    bool reachable = false;
    int listed_anew = 0;
    std::optional<topic_follower> follower;
};

} // namespace

TEST_CASE("a follower lists all pages, then hears of changes")
{
    setting it;
    for (int number = 0; number < 8; ++number)
    {
        it.store.put("keyed.op", "k" + std::to_string(number), "v" + std::to_string(number));
    }
    it.follower->start();
    CHECK(it.run_until([&] { return it.value_of("k7") == "v7"; }));
    CHECK(it.value_of("k0") == std::optional<std::string>("v0"));
    it.store.put("keyed.op", "k0", "new");
    CHECK(it.run_until([&] { return it.value_of("k0") == "new"; }));
    it.store.put("keyed.op", "k1", std::nullopt);
    CHECK(it.run_until([&] { return !it.value_of("k1"); }));
    CHECK(it.mirror.end() == fleet::record_position(10));
}

TEST_CASE("records that expired unread, removals among them, are found by listing again")
{
    setting it;
    it.store.put("keyed.op", "kept", "1");
    it.store.put("keyed.op", "dropped", "1");
    it.follower->start();
    REQUIRE(it.run_until([&] { return it.value_of("dropped").has_value(); }));
    it.store.set_down(true);
    REQUIRE(it.run_until([&] { return !it.reachable; }));
    it.store.put("keyed.op", "dropped", std::nullopt);
    it.store.put("keyed.op", "kept", "2");
    it.store.expire("keyed.op");
    it.store.set_down(false);
    CHECK(it.run_until([&] { return it.value_of("kept") == "2" && !it.value_of("dropped"); }));
    CHECK(it.listed_anew == 1);
    CHECK(it.reachable);
}

TEST_CASE("a change that overtakes a listing is not missed")
{
    setting it;
    it.store.put("keyed.op", "config", "6");
    it.store.overtake_next_listing("config", "8");
    it.follower->start();
    CHECK(it.run_until([&] { return it.value_of("config") == "8"; }));
}

TEST_CASE("a change between the pages of a listing is not missed")
{
    setting it;
    for (int number = 0; number < 6; ++number)
    {
        it.store.put("keyed.op", "k" + std::to_string(number), "old");
    }
    it.store.change_between_pages({{"k0", std::nullopt}, {"k1", "new"}, {"k5", "new"}});
    it.follower->start();
    REQUIRE(it.run_until([&] { return it.value_of("k5") == "new"; }));
    CHECK(it.run_until([&] { return it.value_of("k1") == "new" && !it.value_of("k0"); }));
}

TEST_CASE("a host hears of more hosts than fit a page of the directory")
{
    setting it;
    for (int number = 1; number <= 8; ++number)
    {
        it.store.put("keyed.poplardrift-hosts", "h" + std::to_string(number),
                     "127.0.0." + std::to_string(number));
    }
    std::vector<boost::asio::ip::address_v4> heard;
    host_directory directory(it.io, it.address(), "h9",
                             boost::asio::ip::make_address_v4("127.0.0.9"),
                             [&](const auto& hosts) { heard = hosts; });
    directory.start();
    CHECK(it.run_until([&] { return heard.size() == 9; }));
}

TEST_CASE("a topic whose records have all expired is followed on")
{
    setting it;
    it.store.put("keyed.op", "a", "1");
    it.store.put("keyed.op", "a", std::nullopt);
    it.store.expire("keyed.op");
    it.follower->start();
    REQUIRE(it.run_until([&] { return it.mirror.is_complete(); }));
    it.store.put("keyed.op", "b", "2");
    CHECK(it.run_until([&] { return it.value_of("b") == "2"; }));
    CHECK(it.store.calls() < 40);
}

TEST_CASE("an outage is told once it ends, and calls are few meanwhile")
{
    setting it;
    it.store.set_down(true);
    it.follower->start();
    it.io.run_for(1s);
    it.io.restart();
    CHECK(!it.reachable);
    CHECK(it.store.calls() < 8);
    it.store.set_down(false);
    CHECK(it.run_until([&] { return it.reachable; }));
}

TEST_CASE("hosts find each other in the directory")
{
    store_stand_in store;
    boost::asio::io_context io{1};
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::address_v4::loopback(),
                                                 store.port());
    std::vector<boost::asio::ip::address_v4> seen_by_second;
    const auto first_address = boost::asio::ip::make_address_v4("10.1.0.1");
    const auto second_address = boost::asio::ip::make_address_v4("10.1.0.2");
    host_directory first(io, address, "one", first_address, [](const auto&) {});
    first.start();
    io.run_for(200ms);
    io.restart();
    host_directory second(io, address, "two", second_address,
                          [&](const auto& hosts) { seen_by_second = hosts; });
    second.start();
    io.run_for(200ms);
    CHECK(seen_by_second ==
          std::vector<boost::asio::ip::address_v4>{first_address, second_address});
}
