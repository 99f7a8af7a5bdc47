#pragma once

// A router on loopback and responses of scripted upstreams, for tests of the data path.

#include "platform/http_adapter.hpp"
#include "scripted_peers.hpp"
#include "traffic/traffic_service.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace poplardrift::tests
{

using namespace std::chrono_literals;

inline const std::string seal = "Poplardrift-Runner-Seal: s\r\n";

inline auto ok_response(const std::string& body) -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + seal + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline const std::string error_response =
    "HTTP/1.1 500 Internal Server Error\r\n" + seal + "Content-Length: 4\r\n\r\noops";
inline const std::string declined_response =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Poplardrift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
inline const std::string stream_head = "HTTP/1.1 200 OK\r\n" + seal +
                                       "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n";

inline auto chunk(const std::string& bytes) -> std::string
{
    std::string out;
    http::append_chunk(out, bytes);
    return out;
}

inline auto event_text(int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
}

/// A router on loopback that serves one service with scripted upstreams.
class router final
{
public:
    using adjustment = std::function<void(routing::routing_configuration&, routing::fleet_view&)>;

    explicit router(const std::vector<boost::asio::ip::tcp::endpoint>& upstreams,
                    const adjustment& adjust = nullptr, std::size_t max_held_bytes = 6000)
        : caller_address(free_address()), status_address(free_address()),
          service(traffic::traffic_settings{zone_name("a"), this->caller_address,
                                            this->status_address, std::nullopt, max_held_bytes, 20},
                  this->adapter, this->log, this->mailbox)
    {
        REQUIRE(this->service.open());
        this->thread = std::thread([this] { this->service.run(); });
        if (!upstreams.empty())
        {
            this->service.set_view(this->make_view(upstreams, adjust));
            std::this_thread::sleep_for(20ms);
        }
    }
    ~router()
    {
        this->service.leave(300ms);
        this->thread.join();
    }
    router(const router&) = delete;
    auto operator=(const router&) -> router& = delete;

    auto fetch(const std::string& path, const std::string& extra = "",
               std::chrono::milliseconds limit = 3000ms) -> std::string
    {
        auto caller = connect_to(this->caller_address);
        caller.send(this->request_text(path, extra + "Connection: close\r\n"));
        return caller.read_to_end(limit);
    }
    auto request_text(const std::string& path, const std::string& extra = "") -> std::string
    {
        return "GET " + path +
               " HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: id-1\r\nX-Api-Key: k\r\n" + extra +
               "\r\n";
    }

    /// The fleet as the router sees it: one service with these upstreams, and four routes.
    static auto make_view(const std::vector<boost::asio::ip::tcp::endpoint>& upstreams,
                          const adjustment& adjust) -> std::shared_ptr<const routing::fleet_view>
    {
        auto configuration = std::make_shared<routing::routing_configuration>();
        configuration->version = routing::configuration_version(1);
        routing::service_rules service;
        service.name = "s";
        configuration->services.push_back(service);
        using routing::route_kind;
        configuration->routes = {make_route("safe", route_kind::idempotent, false),
                                 make_route("once", route_kind::non_idempotent, false),
                                 make_route("stream", route_kind::streaming, true),
                                 make_route("stream-once", route_kind::streaming, false)};
        configuration->workspaces = {{"w", std::nullopt}};
        configuration->limits.body_bytes = 4096;
        configuration->limits.head_bytes = 2048;
        configuration->index({{"k", 0}});
        auto view = std::make_shared<routing::fleet_view>();
        view->configuration = configuration;
        view->upstreams_known = true;
        view->bounds.retry_slack = 100.0;
        for (std::size_t number = 0; number < upstreams.size(); ++number)
        {
            routing::known_upstream known;
            known.entry.name = routing::upstream_name("u" + std::to_string(number));
            known.entry.service = "s";
            known.entry.address = upstreams[number];
            known.entry.zone = zone_name("a");
            known.usable_until = time_point::max();
            view->upstreams.push_back(known);
        }
        if (adjust)
        {
            adjust(*configuration, *view);
        }
        return view;
    }

    boost::asio::ip::tcp::endpoint caller_address;
    boost::asio::ip::tcp::endpoint status_address;
    platform::http_adapter adapter;
    decision_log log{"test", -1};
    traffic::load_mailbox mailbox;
    traffic::traffic_service service;

private:
    static auto make_route(const std::string& name, routing::route_kind kind, bool resumable)
        -> routing::route_rules
    {
        routing::route_rules route;
        route.name = name;
        route.host_name = "h";
        route.path_prefix = "/" + name + "/";
        route.kind = kind;
        route.resumable = resumable;
        route.timeout = 1500ms;
        route.objective = 150ms;
        route.event_gap = 150ms;
        route.max_attempts = 2;
        route.shares = {{0, 1.0}};
        return route;
    }

    std::thread thread;
};

/// Responds to each request of a connection with the same bytes.
inline auto respond_always(std::string response) -> scripted_server::script
{
    return [response = std::move(response)](peer_connection& peer)
    {
        while (!peer.read_request().empty())
        {
            peer.send(response);
        }
    };
}

/// Responds to the first request with `first` and to later ones with `later`, counted over all
/// servers that share `requests`. With `close_first` the connection closes after `first`.
inline auto respond_first_then(std::atomic<int>& requests, std::string first, std::string later,
                               bool close_first) -> scripted_server::script
{
    return [&requests, first = std::move(first), later = std::move(later),
            close_first](peer_connection& peer)
    {
        while (!peer.read_request().empty())
        {
            if (requests++ > 0)
            {
                peer.send(later);
                continue;
            }
            peer.send(first);
            if (close_first)
            {
                peer.close();
                return;
            }
        }
    };
}

inline auto status_line_of(const std::string& response) -> std::string
{
    return response.substr(0, 12);
}

} // namespace poplardrift::tests
