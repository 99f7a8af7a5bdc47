// Many streams of events through the router's data path in one process: events a second, processor
// time of the traffic thread, and the delay that the router adds. Upstream and callers have threads
// of their own.

#include "net/clock.hpp"
#include "platform/http_adapter.hpp"
#include "traffic/traffic_service.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <pthread.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <thread>

using namespace poplardrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr auto event_gap = 40ms; ///< 25 tokens a second, as letter 1 has it
constexpr auto warm_up = 3s;
constexpr auto measured_time = 8s;
constexpr std::string_view stamp_mark = "t=";

struct tally
{
    std::atomic<std::uint64_t> events{0};
    std::atomic<bool> is_measuring{false};
    std::atomic<bool> is_over{false};
    std::vector<std::int64_t> delays_ns; ///< callers' thread only
};

auto now_ns() -> std::int64_t
{
    return std::chrono::steady_clock::now().time_since_epoch().count();
}

/// Sends events until the run is over.
auto serve_stream(tcp::socket socket, tally& counts) -> asio::awaitable<void>
{
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", token);
    const std::string head =
        "HTTP/1.1 200 OK\r\nPoplardrift-Runner-Seal: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(head), token);
    asio::steady_timer timer(socket.get_executor());
    timer.expires_after(std::chrono::milliseconds(std::rand() % event_gap.count()));
    for (auto number = 1; !error && !counts.is_over; ++number)
    {
        co_await timer.async_wait(token);
        std::string event = "id: " + std::to_string(number) + "\ndata: {\"" +
                            std::string(stamp_mark) + std::to_string(now_ns()) +
                            "\",\"text\":\"a token of text\"}\n\n";
        std::string chunk;
        http::append_chunk(chunk, event);
        co_await asio::async_write(socket, asio::buffer(chunk), token);
        timer.expires_at(timer.expiry() + event_gap);
    }
}

auto accept_streams(tcp::acceptor& acceptor, tally& counts) -> asio::awaitable<void>
{
    while (true)
    {
        error_code error;
        auto socket =
            co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            co_return;
        }
        socket.set_option(tcp::no_delay(true));
        asio::co_spawn(acceptor.get_executor(), serve_stream(std::move(socket), counts),
                       asio::detached);
    }
}

auto take_events(std::string_view bytes, tally& counts) -> void
{
    const auto now = now_ns();
    for (auto at = bytes.find(stamp_mark); at != std::string_view::npos;
         at = bytes.find(stamp_mark, at + 1))
    {
        std::int64_t sent = 0;
        const auto* const begin = bytes.data() + at + stamp_mark.size();
        std::from_chars(begin, bytes.data() + bytes.size(), sent);
        if (counts.is_measuring)
        {
            ++counts.events;
            counts.delays_ns.push_back(now - sent);
        }
    }
}

auto read_stream(asio::io_context& io, tcp::endpoint router, int number, tally& counts)
    -> asio::awaitable<void>
{
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    tcp::socket socket(io);
    co_await socket.async_connect(router, token);
    const auto request =
        "GET /stream/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: " + std::to_string(number) +
        "\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(request), token);
    std::array<char, 16'384> bytes{};
    while (!error && !counts.is_over)
    {
        const auto count = co_await socket.async_read_some(asio::buffer(bytes), token);
        take_events({bytes.data(), count}, counts);
    }
}

auto make_view(const tcp::endpoint& upstream) -> std::shared_ptr<const routing::fleet_view>
{
    auto configuration = std::make_shared<routing::routing_configuration>();
    routing::service_rules service;
    service.name = "s";
    configuration->services.push_back(service);
    routing::route_rules route;
    route.name = "stream";
    route.host_name = "h";
    route.path_prefix = "/stream/";
    route.kind = routing::route_kind::streaming;
    route.resumable = true;
    route.timeout = 60s;
    route.objective = 300ms;
    route.event_gap = 1s;
    route.max_attempts = 2;
    route.shares = {{0, 1.0}};
    configuration->routes = {route};
    configuration->index({});
    auto view = std::make_shared<routing::fleet_view>();
    view->configuration = configuration;
    view->upstreams_known = true;
    routing::known_upstream known;
    known.entry.name = routing::upstream_name("u");
    known.entry.service = "s";
    known.entry.address = upstream;
    known.entry.zone = zone_name("a");
    known.usable_until = time_point::max();
    view->upstreams.push_back(known);
    return view;
}

auto free_address() -> tcp::endpoint
{
    asio::io_context io;
    return tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0}).local_endpoint();
}

/// Processor time that a thread has used.
auto seconds_used(std::thread& thread) -> double
{
    clockid_t clock{};
    timespec used{};
    ::pthread_getcpuclockid(thread.native_handle(), &clock);
    ::clock_gettime(clock, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

auto percentile_ms(std::vector<std::int64_t>& sorted, double part) -> double
{
    const auto index = static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
    return static_cast<double>(sorted[index]) * 1e-6;
}

auto run(int streams) -> void
{
    tally counts;
    asio::io_context upstream_io{1};
    tcp::acceptor acceptor(upstream_io, {asio::ip::address_v4::loopback(), 0});
    acceptor.listen(4096);
    asio::co_spawn(upstream_io, accept_streams(acceptor, counts), asio::detached);
    std::thread upstream_thread([&] { upstream_io.run(); });

    platform::http_adapter adapter;
    decision_log log("bench", -1);
    traffic::load_board board;
    const auto address = free_address();
    traffic::traffic_service service(
        {zone_name("a"), address, free_address(), std::nullopt, 64'000'000, 20'000}, adapter, log,
        board);
    if (!service.open())
    {
        std::cerr << "cannot listen\n";
        std::exit(EXIT_FAILURE);
    }
    std::thread traffic_thread([&] { service.run(); });
    service.set_view(make_view(acceptor.local_endpoint()));
    std::this_thread::sleep_for(100ms);

    asio::io_context caller_io{1};
    for (auto number = 0; number < streams; ++number)
    {
        asio::co_spawn(caller_io, read_stream(caller_io, address, number, counts), asio::detached);
    }
    std::thread caller_thread([&] { caller_io.run(); });

    std::this_thread::sleep_for(warm_up);
    const auto before = seconds_used(traffic_thread);
    counts.is_measuring = true;
    std::this_thread::sleep_for(measured_time);
    counts.is_measuring = false;
    const auto used = seconds_used(traffic_thread) - before;

    counts.is_over = true;
    caller_thread.join();
    service.leave(500ms);
    traffic_thread.join();
    upstream_io.stop();
    upstream_thread.join();

    auto& delays = counts.delays_ns;
    std::sort(delays.begin(), delays.end());
    if (delays.empty())
    {
        std::cout << streams << " streams: no event came through\n";
        return;
    }
    const auto seconds = to_seconds(measured_time);
    const auto events = static_cast<double>(counts.events) / seconds;
    std::cout << streams << " streams: " << static_cast<int>(events) << " events/s, traffic thread "
              << used / seconds << " cores, " << used / static_cast<double>(counts.events) * 1e6
              << " us an event, delay p50 " << percentile_ms(delays, 0.5) << " ms, p99 "
              << percentile_ms(delays, 0.99) << " ms\n";
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto sizes =
        arguments.empty() ? std::vector<std::string>{"100", "500", "1550"} : arguments;
    for (const auto& size : sizes)
    {
        run(std::stoi(size));
    }
    return EXIT_SUCCESS;
}
