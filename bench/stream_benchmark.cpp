// Many streams of events through the router's data path in one process: events a second, processor
// time of the traffic thread, and the delay that the router adds. Upstream and callers have threads
// of their own.

#include "net/clock.hpp"
#include "platform/http_adapter.hpp"
#include "traffic/traffic_service.hpp"

#include <boost/asio/steady_timer.hpp>

#include <pthread.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <memory>
#include <thread>

using namespace poplardrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto event_gap = 40ms; ///< 25 tokens a second, as letter 1 has it
constexpr auto warm_up = 3s;
constexpr auto measured_time = 8s;
constexpr duration silence_limit = 8s;
constexpr std::string_view stamp_mark = "t=";

struct tally
{
    std::atomic<std::uint64_t> events{0};
    std::atomic<bool> is_measuring{false};
    std::vector<std::int64_t> delays_ns; ///< callers' thread only
};

auto now_ns() -> std::int64_t
{
    return std::chrono::steady_clock::now().time_since_epoch().count();
}

/// One connection of the upstream: sends events from the request on until the connection ends.
class event_source final : public http::stream_listener,
                           public std::enable_shared_from_this<event_source>
{
public:
    event_source(asio::io_context& io, tcp::socket socket, int number)
        : stream(std::make_shared<http::byte_stream>(std::move(socket), this)), timer(io),
          number(number)
    {
    }

    auto start() -> void
    {
        this->keep = this->shared_from_this();
        this->stream->start(silence_limit);
    }

private:
    auto on_bytes(std::string_view) -> void override
    {
        if (std::exchange(this->has_begun, true))
        {
            return;
        }
        this->stream->write("HTTP/1.1 200 OK\r\nPoplardrift-Runner-Seal: s\r\n"
                            "Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
        // Streams are spread over the gap.
        this->timer.expires_after(std::chrono::milliseconds(this->number % event_gap.count()));
        this->send_next();
    }
    auto on_closed(http::close_kind) -> void override
    {
        this->timer.cancel();
        this->keep = nullptr;
    }
    auto on_written() -> void override {}

    auto send_next() -> void
    {
        this->timer.async_wait(
            [self = this->shared_from_this()](const boost::system::error_code& error)
            {
                if (error || !self->keep)
                {
                    return;
                }
                const auto event = "id: " + std::to_string(++self->events) + "\ndata: {\"" +
                                   std::string(stamp_mark) + std::to_string(now_ns()) +
                                   "\",\"text\":\"a token of text\"}\n\n";
                std::string chunk;
                http::append_chunk(chunk, event);
                self->stream->write(std::move(chunk));
                self->timer.expires_at(self->timer.expiry() + event_gap);
                self->send_next();
            });
    }

    std::shared_ptr<http::byte_stream> stream;
    asio::steady_timer timer;
    int number;
    int events = 0;
    bool has_begun = false;
    std::shared_ptr<event_source> keep; ///< the source owns itself while it is connected
};

/// One caller: reads a stream and notes the delay of its events.
class event_sink final : public http::stream_listener
{
public:
    event_sink(asio::io_context& io, const tcp::endpoint& router, int number, tally& counts)
        : counts(counts)
    {
        tcp::socket socket(io);
        socket.connect(router);
        this->stream = std::make_shared<http::byte_stream>(std::move(socket), this);
        this->stream->start(silence_limit);
        this->stream->write("GET /stream/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: " +
                            std::to_string(number) + "\r\n\r\n");
    }

private:
    auto on_bytes(std::string_view bytes) -> void override
    {
        const auto now = now_ns();
        for (auto at = bytes.find(stamp_mark); at != std::string_view::npos;
             at = bytes.find(stamp_mark, at + 1))
        {
            std::int64_t sent = 0;
            const auto* const begin = bytes.data() + at + stamp_mark.size();
            std::from_chars(begin, bytes.data() + bytes.size(), sent);
            if (this->counts.is_measuring)
            {
                ++this->counts.events;
                this->counts.delays_ns.push_back(now - sent);
            }
        }
    }
    auto on_closed(http::close_kind) -> void override {}
    auto on_written() -> void override {}

    std::shared_ptr<http::byte_stream> stream;
    tally& counts;
};

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
    const auto upstream_address = free_address();
    auto accepted = 0;
    const auto upstream = std::make_shared<http::listener>(
        upstream_io, [&](tcp::socket socket)
        { std::make_shared<event_source>(upstream_io, std::move(socket), accepted++)->start(); });
    if (!upstream->open(upstream_address))
    {
        std::cerr << "cannot listen\n";
        std::exit(EXIT_FAILURE);
    }
    std::thread upstream_thread([&] { upstream_io.run(); });

    platform::http_adapter adapter;
    decision_log log("bench", -1);
    traffic::load_mailbox board;
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
    service.set_view(make_view(upstream_address));
    std::this_thread::sleep_for(100ms);

    asio::io_context caller_io{1};
    std::vector<std::unique_ptr<event_sink>> sinks;
    sinks.reserve(static_cast<std::size_t>(streams));
    for (auto number = 0; number < streams; ++number)
    {
        sinks.push_back(std::make_unique<event_sink>(caller_io, address, number, counts));
    }
    std::thread caller_thread([&] { caller_io.run(); });

    std::this_thread::sleep_for(warm_up);
    const auto before = seconds_used(traffic_thread);
    counts.is_measuring = true;
    std::this_thread::sleep_for(measured_time);
    counts.is_measuring = false;
    const auto used = seconds_used(traffic_thread) - before;

    caller_io.stop();
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
