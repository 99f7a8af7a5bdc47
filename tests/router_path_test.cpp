#include "platform/http_adapter.hpp"
#include "scripted_peers.hpp"
#include "traffic/traffic_service.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace poplardrift;
using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

const std::string seal = "Poplardrift-Runner-Seal: s\r\n";

auto whole_answer(const std::string& body) -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + seal + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

const std::string failure_answer =
    "HTTP/1.1 500 Internal Server Error\r\n" + seal + "Content-Length: 4\r\n\r\noops";
const std::string declined_answer = "HTTP/1.1 503 Service Unavailable\r\n"
                                    "Poplardrift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string stream_head = "HTTP/1.1 200 OK\r\n" + seal +
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

auto chunk(const std::string& bytes) -> std::string
{
    std::string out;
    http::append_chunk(out, bytes);
    return out;
}

auto event_text(int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
}

/// A router on loopback with one service of scripted upstreams.
class router final
{
public:
    explicit router(const std::vector<boost::asio::ip::tcp::endpoint>& upstreams)
        : caller_address(free_address()), status_address(free_address()),
          service(traffic::traffic_settings{zone_name("a"), this->caller_address,
                                            this->status_address, std::nullopt, 6000, 20},
                  this->adapter, this->log, this->mailbox)
    {
        REQUIRE(this->service.open());
        this->thread = std::thread([this] { this->service.run(); });
        if (!upstreams.empty())
        {
            this->service.set_view(this->make_view(upstreams));
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

    auto ask(const std::string& path, const std::string& extra = "",
             std::chrono::milliseconds limit = 3000ms) -> std::string
    {
        auto caller = connect_to(this->caller_address);
        caller.send(this->request(path, extra + "Connection: close\r\n"));
        return caller.read_to_end(limit);
    }
    auto request(const std::string& path, const std::string& extra = "") -> std::string
    {
        return "GET " + path +
               " HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: id-1\r\nX-Api-Key: k\r\n" + extra +
               "\r\n";
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

    static auto make_view(const std::vector<boost::asio::ip::tcp::endpoint>& upstreams)
        -> std::shared_ptr<const routing::fleet_view>
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
        return view;
    }

    std::thread thread;
};

/// Answers each request of a connection with the same bytes.
auto always(std::string answer) -> scripted_server::script
{
    return [answer = std::move(answer)](peer_connection& peer)
    {
        while (!peer.read_request().empty())
        {
            peer.send(answer);
        }
    };
}

/// Counts requests over all servers that share the counter; the first gets `first`, the rest
/// `later`.
auto first_then(std::atomic<int>& requests, std::string first, std::string later, bool close_first)
    -> scripted_server::script
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

auto status_of(const std::string& answer) -> std::string
{
    return answer.substr(0, 12);
}

} // namespace

TEST_CASE("a whole answer passes unchanged, with its mark")
{
    scripted_server upstream(always(whole_answer("hello")));
    router it({upstream.address()});
    const auto answer = it.ask("/safe/x");
    CHECK(status_of(answer) == "HTTP/1.1 200");
    CHECK(answer.find(seal) != std::string::npos);
    CHECK(answer.substr(answer.size() - 5) == "hello");
}

TEST_CASE("without a configuration nothing is known: 503, never 401 or 404")
{
    router it({});
    CHECK(status_of(it.ask("/safe/x")) == "HTTP/1.1 503");
    auto prober = connect_to(it.status_address);
    prober.send("GET /-/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(status_of(prober.read_to_end(1000ms)) == "HTTP/1.1 503");
}

TEST_CASE("unknown routes and keys are refused")
{
    scripted_server upstream(always(whole_answer("hello")));
    router it({upstream.address()});
    CHECK(status_of(it.ask("/nowhere/x")) == "HTTP/1.1 404");
    auto caller = connect_to(it.caller_address);
    caller.send("GET /safe/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: i\r\nX-Api-Key: no\r\n"
                "Connection: close\r\n\r\n");
    CHECK(status_of(caller.read_to_end(1000ms)) == "HTTP/1.1 401");
    CHECK(upstream.connections() == 0);
}

TEST_CASE("what may be repeated is repeated after a failure, what may not is not")
{
    for (const auto& first :
         {failure_answer,
          std::string("HTTP/1.1 200 OK\r\n") + seal + "Content-Length: 9\r\n\r\nhal",
          std::string("noise that is no answer\r\n\r\n"), std::string()})
    {
        std::atomic<int> requests{0};
        scripted_server one(first_then(requests, first, whole_answer("again"), true));
        scripted_server two(first_then(requests, first, whole_answer("again"), true));
        router it({one.address(), two.address()});
        const auto safe = it.ask("/safe/x");
        CHECK(status_of(safe) == "HTTP/1.1 200");
        CHECK(safe.find("again") != std::string::npos);
        CHECK(requests == 2);

        requests = 0;
        const auto once = it.ask("/once/x");
        CHECK(requests == 1);
        // It may have run: neither a success nor a promise that it has not.
        CHECK((status_of(once) == "HTTP/1.1 502" || status_of(once) == "HTTP/1.1 500"));
    }
}

TEST_CASE("a request that was declined goes elsewhere, and is refused truthfully when all decline")
{
    scripted_server full(always(declined_answer));
    {
        scripted_server free_one(always(whole_answer("ran")));
        router it({full.address(), free_one.address()});
        for (int round = 0; round < 4; ++round)
        {
            CHECK(status_of(it.ask("/once/x")) == "HTTP/1.1 200");
        }
    }
    router it({full.address()});
    const auto refused = it.ask("/once/x");
    CHECK(status_of(refused) == "HTTP/1.1 503");
    CHECK(refused.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a success without the upstream's mark is not passed on")
{
    scripted_server upstream(always("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"));
    router it({upstream.address()});
    CHECK(status_of(it.ask("/once/x")) == "HTTP/1.1 502");
}

TEST_CASE(
    "an answer to another request is passed over, and bytes after an answer end the connection")
{
    const auto foreign = "HTTP/1.1 200 OK\r\nPoplardrift-Attempt-Id: old\r\n" + seal +
                         "Content-Length: 5\r\n\r\nwrong";
    scripted_server upstream(always(foreign + whole_answer("right")));
    router it({upstream.address()});
    CHECK(it.ask("/once/x").find("right") != std::string::npos);

    scripted_server doubled(always(whole_answer("one") + whole_answer("two")));
    router other({doubled.address()});
    CHECK(other.ask("/once/x").find("one") != std::string::npos);
    CHECK(other.ask("/once/x").find("one") != std::string::npos);
    CHECK(doubled.connections() == 2);
}

TEST_CASE(
    "an answer without a length counts when its connection ends in order, not when it is reset")
{
    const auto unframed = "HTTP/1.1 200 OK\r\n" + seal + "\r\nall of it";
    scripted_server orderly(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(unframed);
            peer.close();
        });
    router it({orderly.address()});
    CHECK(it.ask("/once/x").find("all of it") != std::string::npos);

    scripted_server reset(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(unframed);
            std::this_thread::sleep_for(50ms);
            peer.reset();
        });
    router other({reset.address()});
    CHECK(status_of(other.ask("/once/x")) == "HTTP/1.1 502");
}

TEST_CASE("an upstream that cannot be reached costs no attempt")
{
    scripted_server upstream(always(whole_answer("hello")));
    router it({free_address(), free_address(), upstream.address()});
    for (int round = 0; round < 5; ++round)
    {
        CHECK(status_of(it.ask("/once/x")) == "HTTP/1.1 200");
    }
}

TEST_CASE("an upstream that says nothing is left for another when the request may be repeated")
{
    std::atomic<int> requests{0};
    const auto hang_first = [&](peer_connection& peer)
    {
        while (!peer.read_request().empty())
        {
            if (requests++ > 0)
            {
                peer.send(whole_answer("second"));
            }
        }
    };
    scripted_server one(hang_first);
    scripted_server two(hang_first);
    router it({one.address(), two.address()});
    CHECK(it.ask("/safe/x").find("second") != std::string::npos);
    requests = 0;
    const auto before = std::chrono::steady_clock::now();
    CHECK(status_of(it.ask("/once/x")) == "HTTP/1.1 504");
    const auto took = std::chrono::steady_clock::now() - before;
    CHECK(requests == 1);
    CHECK(took > 1400ms);
    CHECK(took < 2000ms);
}

TEST_CASE("a stream that breaks goes on at another upstream, unseen by the caller")
{
    std::atomic<int> requests{0};
    std::atomic<bool> resumed_in_place{false};
    const auto serve = [&](peer_connection& peer)
    {
        for (auto request = peer.read_request(); !request.empty(); request = peer.read_request())
        {
            peer.send(stream_head);
            if (requests++ == 0)
            {
                peer.send(chunk(event_text(1)) + chunk(event_text(2)) + chunk("id: 3\nda"));
                std::this_thread::sleep_for(50ms);
                peer.reset();
                return;
            }
            resumed_in_place = request.find("Last-Event-Id: 2\r\n") != std::string::npos;
            peer.send(chunk(event_text(3)) + chunk(event_text(4)) + std::string(http::last_chunk));
        }
    };
    scripted_server one(serve);
    scripted_server two(serve);
    router it({one.address(), two.address()});
    const auto answer = it.ask("/stream/x");
    CHECK(resumed_in_place);
    for (int number = 1; number <= 4; ++number)
    {
        const auto first = answer.find("data: e" + std::to_string(number) + "\n");
        CHECK(first != std::string::npos);
        CHECK(answer.find("data: e" + std::to_string(number) + "\n", first + 1) ==
              std::string::npos);
    }
    CHECK(answer.substr(answer.size() - http::last_chunk.size()) == http::last_chunk);
}

TEST_CASE("a stream that may run once ends visibly broken, without part of an event")
{
    scripted_server upstream(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(stream_head + chunk(event_text(1)) + chunk("id: 2\nda"));
            std::this_thread::sleep_for(50ms);
            peer.reset();
        });
    router it({upstream.address()});
    const auto answer = it.ask("/stream-once/x");
    CHECK(answer.find("data: e1") != std::string::npos);
    CHECK(answer.find("id: 2") == std::string::npos);
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE("a caller of HTTP/1.0 gets a stream without chunks, and sees when it breaks")
{
    std::atomic<bool> breaks{false};
    scripted_server upstream(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(stream_head + chunk(event_text(1)));
            if (breaks)
            {
                std::this_thread::sleep_for(50ms);
                peer.reset();
                return;
            }
            peer.send(std::string(http::last_chunk));
        });
    router it({upstream.address()});
    for (const auto is_broken : {false, true})
    {
        breaks = is_broken;
        auto caller = connect_to(it.caller_address);
        caller.send("GET /stream-once/x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n"
                    "Poplardrift-Attempt-Id: id-1\r\nX-Api-Key: k\r\n\r\n");
        const auto answer = caller.read_to_end(2000ms);
        CHECK(answer.find("\r\n\r\n" + event_text(1)) != std::string::npos);
        CHECK(answer.find("Transfer-Encoding") == std::string::npos);
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(caller.was_reset() == is_broken);
    }
}

TEST_CASE("events are forwarded as they come")
{
    std::promise<void> go_on;
    auto gate = go_on.get_future();
    scripted_server upstream(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(stream_head + chunk(event_text(1)));
            gate.wait();
            peer.send(chunk(event_text(2)) + std::string(http::last_chunk));
        });
    router it({upstream.address()});
    auto caller = connect_to(it.caller_address);
    caller.send(it.request("/stream-once/x"));
    CHECK(caller.read_until("data: e1", 1000ms));
    go_on.set_value();
    CHECK(caller.read_until("data: e2", 1000ms));
}

TEST_CASE("a caller that leaves is passed on to the upstream at once")
{
    std::promise<std::chrono::steady_clock::time_point> closed;
    scripted_server upstream(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            static_cast<void>(peer.read_to_end(3000ms));
            closed.set_value(std::chrono::steady_clock::now());
        });
    router it({upstream.address()});
    auto caller = connect_to(it.caller_address);
    caller.send(it.request("/once/x"));
    std::this_thread::sleep_for(100ms);
    const auto left = std::chrono::steady_clock::now();
    caller.close();
    CHECK(closed.get_future().get() - left < 200ms);
}

TEST_CASE("operators see what a host believes, and where a request would go")
{
    scripted_server upstream([](peer_connection&) {});
    router it({upstream.address(), free_address()});
    const auto ask = [&](const std::string& path)
    {
        auto operators = connect_to(it.status_address);
        operators.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        return nlohmann::json::parse(operators.read_response(1000ms).body);
    };
    const auto status = ask("/status");
    CHECK(status["ready"] == true);
    CHECK(status["configuration"]["version"] == 1);
    REQUIRE(status["upstreams"].size() == 2);
    CHECK(status["upstreams"][0]["name"] == "u0");
    CHECK(status["upstreams"][0]["ejected"] == false);

    const auto explained = ask("/explain/safe/x");
    CHECK(explained["outcome"] == "placed");
    CHECK(explained["service"] == "s");
    REQUIRE(explained["candidates"].size() == 2);
    CHECK(explained["candidates"][0]["verdict"] == "none");
    CHECK(explained["candidates"][0].contains("cost_ms"));
    CHECK(ask("/explain/nowhere")["outcome"] == "no route");
}

TEST_CASE("requests on a kept connection are answered in order")
{
    scripted_server upstream(
        [](peer_connection& peer)
        {
            for (auto request = peer.read_request(); !request.empty();
                 request = peer.read_request())
            {
                peer.send(whole_answer(request.substr(0, request.find(" HTTP"))));
            }
        });
    router it({upstream.address()});
    auto caller = connect_to(it.caller_address);
    caller.send(it.request("/safe/1") + it.request("/safe/2") + it.request("/safe/3"));
    CHECK(caller.read_until("GET /safe/3", 2000ms));
    const auto& all = caller.received();
    CHECK(all.find("GET /safe/1") < all.find("GET /safe/2"));
    CHECK(all.find("GET /safe/2") < all.find("GET /safe/3"));
}

TEST_CASE("malformed and oversized requests are refused, and others go on")
{
    scripted_server upstream(always(whole_answer("hello")));
    router it({upstream.address()});
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: "
         "chunked\r\n\r\n",
         "HTTP/1.1 400"},
        {"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n", "HTTP/1.1 413"},
        {"GET /once/x HTTP/1.1\r\nHost: h\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
         "HTTP/1.1 431"},
        {"GET /once/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: k\r\n\r\n", "HTTP/1.1 400"},
    };
    for (const auto& [bytes, status] : cases)
    {
        auto caller = connect_to(it.caller_address);
        caller.send(bytes);
        CHECK(caller.read_until(status, 1000ms));
    }
    CHECK(upstream.connections() == 0);
    CHECK(status_of(it.ask("/safe/x")) == "HTTP/1.1 200");
}

TEST_CASE("a planned stop finishes what was begun, and is not ready meanwhile")
{
    scripted_server upstream(
        [](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            std::this_thread::sleep_for(400ms);
            peer.send(whole_answer("finished"));
        });
    router it({upstream.address()});
    auto caller = connect_to(it.caller_address);
    caller.send(it.request("/once/x"));
    std::this_thread::sleep_for(50ms);
    it.service.leave(1500ms);
    std::this_thread::sleep_for(50ms);
    auto prober = connect_to(it.status_address);
    prober.send("GET /-/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(status_of(prober.read_to_end(500ms)) == "HTTP/1.1 503");
    const auto answer = caller.read_to_end(1500ms);
    CHECK(answer.find("finished") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
}

TEST_CASE("bodies beyond the host's memory are refused, and taken again when others have gone")
{
    std::promise<void> go_on;
    const auto gate = go_on.get_future().share();
    scripted_server upstream(
        [gate](peer_connection& peer)
        {
            while (!peer.read_request().empty())
            {
                gate.wait();
                peer.send(whole_answer("done"));
            }
        });
    router it({upstream.address()});
    const auto post =
        "POST /safe/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: i\r\nX-Api-Key: k\r\n"
        "Connection: close\r\nContent-Length: 4000\r\n\r\n" +
        std::string(4000, 'x');
    auto first = connect_to(it.caller_address);
    first.send(post);
    std::this_thread::sleep_for(50ms);
    auto second = connect_to(it.caller_address);
    second.send(post);
    CHECK(status_of(second.read_to_end(1000ms)) == "HTTP/1.1 503");
    go_on.set_value();
    CHECK(status_of(first.read_to_end(2000ms)) == "HTTP/1.1 200");
    auto third = connect_to(it.caller_address);
    third.send(post);
    CHECK(status_of(third.read_to_end(2000ms)) == "HTTP/1.1 200");
}

TEST_CASE("connections beyond the host's descriptors are closed unread")
{
    scripted_server upstream(always(whole_answer("hello")));
    router it({upstream.address()});
    std::vector<peer_connection> callers;
    for (int number = 0; number < 20; ++number)
    {
        callers.push_back(connect_to(it.caller_address));
    }
    std::this_thread::sleep_for(50ms);
    auto beyond = connect_to(it.caller_address);
    CHECK(beyond.read_to_end(1000ms).empty());
    callers.front().send(it.request("/safe/x"));
    CHECK(callers.front().read_until("hello", 1000ms));
}
