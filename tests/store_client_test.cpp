#include "fleet/keyed_mirror.hpp"
#include "platform/host_directory.hpp"
#include "platform/topic_follower.hpp"
#include "scripted_peers.hpp"
#include "store_stand_in.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace poplardrift::platform;
using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

/// A topic_follower that applies a topic of the store stand-in to a mirror.
struct follower_fixture
{
    explicit follower_fixture(const follower_settings& settings = {"keyed.op", 200ms, 10ms, 0ns,
                                                                   0ns},
                              bool is_designated_reader = true)
    {
        follower_listener listener;
        listener.is_designated_reader = [is_designated_reader] { return is_designated_reader; };
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
        listener.on_relisted = [this] { ++this->relist_count; };
        listener.mirrored_position = [this] { return this->mirror.end(); };
        this->follower.emplace(this->io, this->address(), settings, std::move(listener));
    }

    auto address() -> boost::asio::ip::tcp::endpoint
    {
        return {boost::asio::ip::address_v4::loopback(), this->store.port()};
    }
    /// Runs the io_context until the condition holds; false if it does not within 3 s.
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
    int relist_count = 0;
    std::optional<topic_follower> follower;
};

} // namespace

TEST_CASE("a follower reads all pages of the listing, then receives changes")
{
    follower_fixture fixture;
    for (int number = 0; number < 8; ++number)
    {
        fixture.store.put("keyed.op", "k" + std::to_string(number), "v" + std::to_string(number));
    }
    fixture.follower->start();
    CHECK(fixture.run_until([&] { return fixture.value_of("k7") == "v7"; }));
    CHECK(fixture.value_of("k0") == std::optional<std::string>("v0"));
    fixture.store.put("keyed.op", "k0", "new");
    CHECK(fixture.run_until([&] { return fixture.value_of("k0") == "new"; }));
    fixture.store.put("keyed.op", "k1", std::nullopt);
    CHECK(fixture.run_until([&] { return !fixture.value_of("k1"); }));
    CHECK(fixture.mirror.end() == fleet::record_position(10));
}

TEST_CASE("after records expired unread, a new listing yields the changes and removals")
{
    follower_fixture fixture;
    fixture.store.put("keyed.op", "kept", "1");
    fixture.store.put("keyed.op", "dropped", "1");
    fixture.follower->start();
    REQUIRE(fixture.run_until([&] { return fixture.value_of("dropped").has_value(); }));
    fixture.store.set_down(true);
    REQUIRE(fixture.run_until([&] { return !fixture.reachable; }));
    fixture.store.put("keyed.op", "dropped", std::nullopt);
    fixture.store.put("keyed.op", "kept", "2");
    fixture.store.expire("keyed.op");
    fixture.store.set_down(false);
    CHECK(fixture.run_until(
        [&] { return fixture.value_of("kept") == "2" && !fixture.value_of("dropped"); }));
    CHECK(fixture.relist_count == 1);
    CHECK(fixture.reachable);
}

TEST_CASE("a change appended while a listing is answered is received")
{
    follower_fixture fixture;
    fixture.store.put("keyed.op", "config", "6");
    fixture.store.append_during_next_listing("config", "8");
    fixture.follower->start();
    CHECK(fixture.run_until([&] { return fixture.value_of("config") == "8"; }));
}

TEST_CASE("a change appended between the pages of a listing is received")
{
    follower_fixture fixture;
    for (int number = 0; number < 6; ++number)
    {
        fixture.store.put("keyed.op", "k" + std::to_string(number), "old");
    }
    fixture.store.append_between_pages({{"k0", std::nullopt}, {"k1", "new"}, {"k5", "new"}});
    fixture.follower->start();
    REQUIRE(fixture.run_until([&] { return fixture.value_of("k5") == "new"; }));
    CHECK(fixture.run_until(
        [&] { return fixture.value_of("k1") == "new" && !fixture.value_of("k0"); }));
}

TEST_CASE("the directory reports more hosts than fit on one page")
{
    follower_fixture fixture;
    for (int number = 1; number <= 8; ++number)
    {
        fixture.store.put("keyed.poplardrift-hosts", "h" + std::to_string(number),
                          "127.0.0." + std::to_string(number));
    }
    std::vector<boost::asio::ip::address_v4> reported_hosts;
    host_directory directory(
        fixture.io, fixture.address(), "h9", boost::asio::ip::make_address_v4("127.0.0.9"),
        [&](const auto& hosts) { reported_hosts = hosts; }, [] { return 1.0; });
    directory.start();
    CHECK(fixture.run_until([&] { return reported_hosts.size() == 9; }));
}

TEST_CASE("a follower of a topic whose records have all expired receives new records")
{
    follower_fixture fixture;
    fixture.store.put("keyed.op", "a", "1");
    fixture.store.put("keyed.op", "a", std::nullopt);
    fixture.store.expire("keyed.op");
    fixture.follower->start();
    REQUIRE(fixture.run_until([&] { return fixture.mirror.is_complete(); }));
    fixture.store.put("keyed.op", "b", "2");
    CHECK(fixture.run_until([&] { return fixture.value_of("b") == "2"; }));
    CHECK(fixture.store.calls() < 40);
}

TEST_CASE(
    "during an outage the follower makes few calls, and it reports the store reachable after it")
{
    follower_fixture fixture;
    fixture.store.set_down(true);
    fixture.follower->start();
    fixture.io.run_for(1s);
    fixture.io.restart();
    CHECK(!fixture.reachable);
    CHECK(fixture.store.calls() < 8);
    fixture.store.set_down(false);
    CHECK(fixture.run_until([&] { return fixture.reachable; }));
}

TEST_CASE("a host for which others read notices the end of an outage without waiting for a change")
{
    follower_fixture fixture({"keyed.op", 200ms, 10ms, 8s, 0ns}, false);
    fixture.follower->start();
    REQUIRE(fixture.run_until([&] { return fixture.reachable; }));
    fixture.store.set_down(true);
    fixture.store.put("keyed.op", "a", "1"); // ends the read that is waiting
    REQUIRE(fixture.run_until([&] { return !fixture.reachable; }));
    fixture.store.set_down(false);
    CHECK(fixture.run_until([&] { return fixture.reachable; }));
}

// Guards against configurations that are acknowledged after a restore and never applied.
TEST_CASE("records written after the store came back from an older copy are received")
{
    follower_fixture fixture;
    fixture.store.put("keyed.op", "config", "1");
    fixture.store.put("keyed.op", "kept", "1");
    fixture.follower->start();
    REQUIRE(fixture.run_until([&] { return fixture.value_of("kept") == "1"; }));
    fixture.store.take_copy();
    for (const auto* const value : {"2", "3", "4"})
    {
        fixture.store.put("keyed.op", "config", value);
    }
    fixture.store.put("keyed.op", "lost", "1");
    REQUIRE(fixture.run_until([&] { return fixture.value_of("lost") == "1"; }));
    fixture.store.restore();
    fixture.store.put("keyed.op", "config", "4 again"); // at the offset that "2" had
    CHECK(fixture.run_until(
        [&] { return fixture.value_of("config") == "4 again" && !fixture.value_of("lost"); }));
    CHECK(fixture.value_of("kept") == "1");
    fixture.store.put("keyed.op", "config", "5");
    CHECK(fixture.run_until([&] { return fixture.value_of("config") == "5"; }));
}

// Guards against reads and listings in a loop while positions lie beyond the end.
TEST_CASE("a follower of a restored store makes few calls, whether it states an era or not")
{
    const auto* const stated = GENERATE("1", "");
    follower_fixture fixture;
    fixture.store.take_copy();
    fixture.store.put("keyed.op", "config", "1");
    fixture.follower->start();
    REQUIRE(fixture.run_until([&] { return fixture.value_of("config") == "1"; }));
    fixture.store.state_era(stated);
    fixture.store.restore();
    const auto calls_before = fixture.store.calls();
    fixture.io.run_for(2s);
    fixture.io.restart();
    CAPTURE(stated);
    CHECK(fixture.store.calls() - calls_before <= 30);
}

TEST_CASE("a restore costs a host at most a few more calls than an outage of the same length")
{
    const auto count_calls = [](bool restores)
    {
        follower_fixture fixture;
        fixture.store.put("keyed.op", "config", "1");
        fixture.follower->start();
        REQUIRE(fixture.run_until([&] { return fixture.value_of("config") == "1"; }));
        fixture.store.take_copy();
        fixture.store.put("keyed.op", "config", "2");
        REQUIRE(fixture.run_until([&] { return fixture.value_of("config") == "2"; }));
        const auto calls_before = fixture.store.calls();
        fixture.store.set_down(true);
        fixture.io.run_for(1s);
        fixture.io.restart();
        if (restores)
        {
            fixture.store.restore();
        }
        fixture.store.set_down(false);
        fixture.io.run_for(2s);
        fixture.io.restart();
        return fixture.store.calls() - calls_before;
    };
    const auto after_outage = count_calls(false);
    const auto after_restore = count_calls(true);
    CAPTURE(after_outage, after_restore);
    CHECK(after_restore <= after_outage + 5);
}

TEST_CASE("a listing that a restore crosses holds no record of the former era")
{
    follower_fixture fixture;
    for (int number = 0; number < 4; ++number)
    {
        fixture.store.put("keyed.op", "k" + std::to_string(number), "kept");
    }
    fixture.store.take_copy();
    fixture.store.put("keyed.op", "a", "lost"); // on the first page
    fixture.store.restore_between_pages();
    fixture.follower->start();
    REQUIRE(fixture.run_until([&] { return fixture.mirror.is_complete(); }));
    CHECK(!fixture.value_of("a"));
    CHECK(fixture.value_of("k3") == "kept");
    CHECK(fixture.mirror.end().era() == fleet::store_era(1));
}

TEST_CASE("answers of an earlier era, or without a valid one, change nothing")
{
    const auto* const stated = GENERATE("", "1", "-2", "2x", "99999999999999999999", "1048576");
    CAPTURE(stated);
    follower_fixture fixture;
    fixture.store.restore();
    fixture.store.restore();
    fixture.store.put("keyed.op", "config", "1");
    fixture.follower->start();
    REQUIRE(fixture.run_until([&] { return fixture.value_of("config") == "1"; }));
    fixture.store.state_era(stated);
    fixture.store.put("keyed.op", "config", "2");
    REQUIRE(fixture.run_until([&] { return !fixture.reachable; }));
    CHECK(fixture.value_of("config") == "1");
    const auto calls_before = fixture.store.calls();
    fixture.io.run_for(1s);
    fixture.io.restart();
    CHECK(fixture.store.calls() - calls_before <= 8);
    fixture.store.state_era(std::nullopt);
    CHECK(fixture.run_until([&] { return fixture.value_of("config") == "2"; }));
}

TEST_CASE("the directory reports hosts that registered earlier and the host itself")
{
    store_stand_in store;
    boost::asio::io_context io{1};
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::address_v4::loopback(),
                                                 store.port());
    std::vector<boost::asio::ip::address_v4> seen_by_second;
    const auto first_address = boost::asio::ip::make_address_v4("10.1.0.1");
    const auto second_address = boost::asio::ip::make_address_v4("10.1.0.2");
    host_directory first(
        io, address, "one", first_address, [](const auto&) {}, [] { return 1.0; });
    first.start();
    io.run_for(200ms);
    io.restart();
    host_directory second(
        io, address, "two", second_address, [&](const auto& hosts) { seen_by_second = hosts; },
        [] { return 1.0; });
    second.start();
    io.run_for(200ms);
    CHECK(seen_by_second ==
          std::vector<boost::asio::ip::address_v4>{first_address, second_address});
}

TEST_CASE("a response of the store without end fails its call and is not held in memory")
{
    std::atomic<std::size_t> bytes_sent{0};
    scripted_server endless(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            const std::string bytes(65'536, 'x');
            std::string part;
            http::append_chunk(part, bytes);
            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (peer.send(part))
            {
                bytes_sent += bytes.size();
            }
        });
    boost::asio::io_context io{1};
    store_connection connection(io, endless.address());
    std::optional<bool> has_response;
    connection.call("GET", "/x", "", 10s,
                    [&](const std::optional<store_response>& response)
                    { has_response = response.has_value(); });
    // A page of records has at most 1 MiB; this leaves room for its encoding and the sockets.
    constexpr std::size_t max_bytes = 32U << 20U;
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!has_response && bytes_sent < max_bytes && std::chrono::steady_clock::now() < end)
    {
        io.run_for(10ms);
        io.restart();
    }
    CHECK(has_response == false);
    CHECK(bytes_sent < max_bytes);
}

TEST_CASE("a response of the store that breaks HTTP fails its call")
{
    const auto has_response_to = [](const std::string& bytes, bool resets)
    {
        scripted_server store(
            [&](peer_connection& peer)
            {
                static_cast<void>(peer.read_request());
                peer.send(bytes);
                if (resets)
                {
                    std::this_thread::sleep_for(20ms);
                    peer.reset();
                }
                peer.close();
            });
        boost::asio::io_context io{1};
        store_connection connection(io, store.address());
        std::optional<bool> has_response;
        connection.call("POST", "/x", "record", 2s,
                        [&](const std::optional<store_response>& response)
                        { has_response = response.has_value(); });
        const auto end = std::chrono::steady_clock::now() + 3s;
        while (!has_response && std::chrono::steady_clock::now() < end)
        {
            io.run_for(10ms);
            io.restart();
        }
        return has_response;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 2\r\n\r\n{}";
    for (const auto& bytes :
         {"HTTP/1.1 000 Unknown\r\n" + body, ok + " X: a\r\n" + body, ok + "X\x01: a\r\n" + body,
          ok + "X : a\r\n" + body, ok + "Content-Length: 9\r\n\r\n{}",
          ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"})
    {
        CAPTURE(bytes);
        CHECK(has_response_to(bytes, false) == false);
    }
    CHECK(has_response_to(ok + "\r\n{}", true) == false);
    CHECK(has_response_to(ok + "\r\n{}", false) == true);
    CHECK(has_response_to(ok + body, false) == true);
}
