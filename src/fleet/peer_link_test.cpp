#include "fleet/peer_link.hpp"
#include "fleet/text_record_decoder.hpp"
#include "net/clock.hpp"
#include "scripted_peers.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

using namespace poplardrift;
using namespace poplardrift::fleet;
using namespace std::chrono_literals;

namespace
{

/// All hosts use the same port.
auto peer_port() -> std::uint16_t
{
    static const auto port = tests::free_address().port();
    return port;
}

auto address_of(int number) -> boost::asio::ip::address_v4
{
    return boost::asio::ip::make_address_v4("127.77.0." + std::to_string(number));
}

/// One host of a small fleet on loopback; host 1 is its seed.
class test_host final
{
public:
    test_host(boost::asio::io_context& io, int number, std::uint32_t incarnation,
              const std::string& zone = "")
    {
        REQUIRE(::pipe2(this->pipe_ends.data(), O_NONBLOCK) == 0);
        this->log.emplace("h" + std::to_string(number), this->pipe_ends[1]);
        this->state.emplace(this->decoder, *this->log);
        peer_settings settings;
        settings.host = "h" + std::to_string(number);
        settings.zone = zone_name(zone.empty() ? "z" + std::to_string(number) : zone);
        settings.incarnation = incarnation;
        settings.address = address_of(number);
        settings.port = peer_port();
        settings.seeds = {address_of(1)};
        this->link.emplace(io, settings, *this->state, this->mailbox, *this->log, [] {});
        REQUIRE(this->link->open());
    }
    ~test_host()
    {
        this->link.reset();
        this->log.reset();
        ::close(this->pipe_ends[0]);
        ::close(this->pipe_ends[1]);
    }
    test_host(const test_host&) = delete;
    auto operator=(const test_host&) -> test_host& = delete;

    /// Requests in flight at an upstream that other hosts have reported to this one.
    auto remote_load(std::uint32_t upstream) -> std::uint32_t
    {
        static_cast<void>(this->mailbox.get_remote_loads(this->version, this->others));
        for (const auto& load : this->others)
        {
            if (load.upstream == upstream)
            {
                return load.in_flight;
            }
        }
        return 0;
    }
    /// True when the log has reported this state of a peer since the last match.
    auto has_logged(const std::string& peer, const std::string& peer_state) -> bool
    {
        std::array<char, 65'536> buffer{};
        const auto count = ::read(this->pipe_ends[0], buffer.data(), buffer.size());
        this->text.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        const auto at = this->text.find(R"("peer":")" + peer + R"(","state":")" + peer_state);
        if (at == std::string::npos)
        {
            return false;
        }
        this->text.erase(0, at + 1);
        return true;
    }

    text_record_decoder decoder;
    std::array<int, 2> pipe_ends{};
    std::optional<decision_log> log;
    std::optional<fleet_state> state;
    traffic::load_mailbox mailbox;
    std::optional<peer_link> link;

private:
    std::uint64_t version = 0;
    std::vector<traffic::upstream_load> others;
    std::string text;
};

/// Ticks the hosts until the condition holds; false when it does not within 4 s.
auto run_until(boost::asio::io_context& io, const std::vector<test_host*>& hosts,
               const std::function<bool()>& condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + 4s;
    auto holds = condition();
    while (!holds && std::chrono::steady_clock::now() < end)
    {
        for (auto* const host : hosts)
        {
            host->link->tick(boot_clock_now());
        }
        io.restart();
        io.run_for(20ms);
        holds = condition();
    }
    return holds;
}

} // namespace

TEST_CASE("hosts discover each other, exchange loads, and log and drop the loads of a silent host")
{
    boost::asio::io_context io{1};
    test_host first(io, 1, 10);
    test_host second(io, 2, 20);
    second.mailbox.set_local_loads({{7, 3, false}});
    CHECK(run_until(io, {&first, &second}, [&] { return first.remote_load(7) == 3; }));
    CHECK(run_until(io, {&first, &second}, [&] { return first.has_logged("h2", "alive"); }));
    CHECK(first.link->hosts_at(boot_clock_now()).count == 2);
    CHECK(run_until(io, {&first}, [&] { return first.remote_load(7) == 0; }));
    CHECK(run_until(io, {&first}, [&] { return first.has_logged("h2", "silent"); }));
}

TEST_CASE("a silent host that had no requests in flight is logged")
{
    boost::asio::io_context io{1};
    test_host first(io, 1, 10);
    test_host second(io, 2, 20);
    REQUIRE(run_until(io, {&first, &second}, [&] { return first.has_logged("h2", "alive"); }));
    CHECK(run_until(io, {&first}, [&] { return first.has_logged("h2", "silent"); }));
}

TEST_CASE("beacons of a restarted host are accepted within 900 ms under its new incarnation")
{
    boost::asio::io_context io{1};
    test_host first(io, 1, 10);
    std::optional<test_host> second(std::in_place, io, 2, 20U);
    REQUIRE(run_until(io, {&first, &*second}, [&] { return first.has_logged("h2", "alive"); }));
    second.reset();
    io.restart();
    io.run_for(20ms);
    second.emplace(io, 2, 21U);
    second->mailbox.set_local_loads({{7, 4, false}});
    const auto began = std::chrono::steady_clock::now();
    CHECK(run_until(io, {&first, &*second}, [&] { return first.remote_load(7) == 4; }));
    first.mailbox.set_local_loads({{8, 5, false}});
    CHECK(run_until(io, {&first, &*second}, [&] { return second->remote_load(8) == 5; }));
    CHECK(std::chrono::steady_clock::now() - began < 900ms);
}

TEST_CASE("hosts of a large fleet sum the loads of all zones once each")
{
    boost::asio::io_context io{1};
    std::vector<std::unique_ptr<test_host>> fleet;
    std::vector<test_host*> hosts;
    std::vector<boost::asio::ip::address_v4> addresses;
    constexpr int host_count = 45;
    for (int number = 1; number <= host_count; ++number)
    {
        const std::string zone(1, static_cast<char>('a' + number % 3));
        fleet.push_back(std::make_unique<test_host>(io, number, 10U, zone));
        hosts.push_back(fleet.back().get());
        addresses.push_back(address_of(number));
    }
    for (auto* const host : hosts)
    {
        host->link->add_known_hosts(addresses, boot_clock_now());
        host->mailbox.set_local_loads({{7, 1, false}});
    }
    const auto all_sum_to = [&](std::uint32_t sum)
    {
        return [&hosts, sum]
        {
            return std::all_of(hosts.begin(), hosts.end(),
                               [sum](auto* host) { return host->remote_load(7) == sum; });
        };
    };
    CHECK(run_until(io, hosts, all_sum_to(host_count - 1)));
    // Each zone has its own two readers of the registry.
    const auto now = boot_clock_now();
    for (auto* const host : hosts)
    {
        host->link->on_registry_read(now);
    }
    const auto count_readers = [&]
    {
        return std::count_if(hosts.begin(), hosts.end(),
                             [](auto* host) { return host->link->is_reader(boot_clock_now()); });
    };
    CHECK(run_until(io, hosts, [&] { return count_readers() == 6; }));
}

TEST_CASE("a host whose messages cannot be decoded still counts among those that share the limits")
{
    boost::asio::io_context io{1};
    test_host first(io, 1, 10);
    first.link->add_known_hosts({address_of(2)}, boot_clock_now() - 60s);
    CHECK(first.link->hosts_at(boot_clock_now()).others.empty());
    boost::asio::ip::udp::socket other(io, {address_of(2), peer_port()});
    const std::string message = "of another version";
    other.send_to(boost::asio::buffer(message), {address_of(1), peer_port()});
    CHECK(run_until(io, {&first},
                    [&] { return first.link->hosts_at(boot_clock_now()).others.size() == 1; }));
}

TEST_CASE("a fetch whose answer comes as its time is up ends once")
{
    boost::asio::io_context io{1};
    test_host first(io, 1, 10);
    test_host second(io, 2, 20);
    REQUIRE(run_until(io, {&first, &second}, [&] { return first.has_logged("h2", "alive"); }));
    std::uint64_t position = 0;
    // Each round stops the loop somewhere between the fetch's start and its end for longer than its
    // timeout, so that the answer and the timer are both ready when the loop goes on.
    for (int steps = 2; steps <= 24; steps += 2)
    {
        ++position;
        const published_record record{"k", record_position(position), "v"};
        second.state->on_records(record_stream::operators, {record}, record_position(position + 1),
                                 boot_clock_now());
        second.link->tick(boot_clock_now());
        io.restart();
        io.run_for(180ms);
        first.link->tick(boot_clock_now());
        for (int step = 0; step < steps; ++step)
        {
            io.restart();
            io.poll_one();
        }
        std::this_thread::sleep_for(520ms);
        io.restart();
        io.run_for(20ms);
    }
    CHECK(run_until(io, {&first, &second},
                    [&]
                    {
                        return first.state->mirror_of(record_stream::operators).end() ==
                               second.state->mirror_of(record_stream::operators).end();
                    }));
}

TEST_CASE("a host that cannot reach the store takes its restored records from a peer")
{
    boost::asio::io_context io{1};
    test_host first(io, 1, 10);
    test_host second(io, 2, 20);
    const auto list =
        [](test_host& host, std::vector<published_record> records, record_position end)
    {
        host.state->on_listing(record_stream::operators, std::move(records), end, boot_clock_now());
        host.state->on_listing(record_stream::upstreams, {}, record_position(0, end.era()),
                               boot_clock_now());
    };
    const auto version_of = [](test_host& host)
    { return host.state->mirror_of(record_stream::operators).find("config").value.value_or(""); };
    list(first, {make_record("config", 90, "4"), make_record("lost", 91, "{}")},
         record_position(92));
    list(second, {make_record("config", 90, "4"), make_record("lost", 91, "{}")},
         record_position(92));
    REQUIRE(run_until(io, {&first, &second}, [&] { return first.has_logged("h2", "alive"); }));
    list(second, {make_record("config", 3, "5", store_era(1))}, record_position(4, store_era(1)));
    CHECK(run_until(io, {&first, &second}, [&] { return version_of(first) == "5"; }));
    CHECK(!first.state->mirror_of(record_stream::operators).find("lost").value);
    // The host that was behind has carried nothing back.
    CHECK(!second.state->mirror_of(record_stream::operators).find("lost").value);
}
