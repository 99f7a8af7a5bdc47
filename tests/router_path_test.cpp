#include "router_fixture.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace poplardrift;
using namespace poplardrift::tests;
using namespace std::chrono_literals;

TEST_CASE("a complete response is forwarded unchanged, including its seal")
{
    scripted_server upstream(respond_always(ok_response("hello")));
    router host({upstream.address()});
    const auto response = host.fetch("/safe/x");
    CHECK(status_line_of(response) == "HTTP/1.1 200");
    CHECK(response.find(seal) != std::string::npos);
    CHECK(response.substr(response.size() - 5) == "hello");
}

TEST_CASE("without a configuration requests and readiness probes get 503, not 401 or 404")
{
    router host({});
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 503");
    auto prober = connect_to(host.status_address);
    prober.send("GET /-/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(status_line_of(prober.read_to_end(1000ms)) == "HTTP/1.1 503");
}

TEST_CASE(
    "unknown routes get 404 and unknown workspace keys 401, without a connection to an upstream")
{
    scripted_server upstream(respond_always(ok_response("hello")));
    router host({upstream.address()});
    CHECK(status_line_of(host.fetch("/nowhere/x")) == "HTTP/1.1 404");
    auto caller = connect_to(host.caller_address);
    caller.send("GET /safe/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: i\r\nX-Api-Key: no\r\n"
                "Connection: close\r\n\r\n");
    CHECK(status_line_of(caller.read_to_end(1000ms)) == "HTTP/1.1 401");
    CHECK(upstream.connections() == 0);
}

TEST_CASE("after a failed send only a repeatable request is sent again")
{
    for (const auto& first :
         {error_response,
          std::string("HTTP/1.1 200 OK\r\n") + seal + "Content-Length: 9\r\n\r\nhal",
          std::string("noise that is no answer\r\n\r\n"), std::string()})
    {
        std::atomic<int> requests{0};
        scripted_server one(respond_first_then(requests, first, ok_response("again"), true));
        scripted_server two(respond_first_then(requests, first, ok_response("again"), true));
        router host({one.address(), two.address()});
        const auto safe = host.fetch("/safe/x");
        CHECK(status_line_of(safe) == "HTTP/1.1 200");
        CHECK(safe.find("again") != std::string::npos);
        CHECK(requests == 2);

        requests = 0;
        const auto once = host.fetch("/once/x");
        CHECK(requests == 1);
        // The request may have run: the status must claim neither success nor that it has not run.
        CHECK((status_line_of(once) == "HTTP/1.1 502" || status_line_of(once) == "HTTP/1.1 500"));
    }
}

TEST_CASE("a response with an invalid status is no answer: the request is sent again if it may be")
{
    // Guards against status 000 of an upstream in trouble reaching the caller.
    for (const auto* const status : {"000", "099", "600"})
    {
        const auto invalid = std::string("HTTP/1.1 ") + status + " Unknown\r\n" + seal +
                             "Content-Length: 4\r\n\r\noops";
        std::atomic<int> requests{0};
        scripted_server one(respond_first_then(requests, invalid, ok_response("again"), true));
        scripted_server two(respond_first_then(requests, invalid, ok_response("again"), true));
        router host({one.address(), two.address()});
        CAPTURE(status);
        CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
        CHECK(requests == 2);
        requests = 0;
        CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 502");
        CHECK(requests == 1);
        requests = 0;
        CHECK(status_line_of(host.fetch("/stream-once/x")) == "HTTP/1.1 502");
        CHECK(requests == 1);
    }
}

TEST_CASE("a response with an invalid field name is no answer")
{
    // Guards against passing on such a line, or a body that another framing would have.
    for (const auto* const line :
         {" Content-Length: 2", "\tX-Note: a", "Content-Length : 2", "X\x01Note: a"})
    {
        CAPTURE(line);
        const auto plain = "HTTP/1.1 200 OK\r\n" + seal + line + "\r\n\r\nhello";
        const auto stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + seal + line +
                            "\r\n\r\n" + event_text(1) + event_text(2);
        const auto respond_and_close = [](const std::string& response)
        {
            return [=](peer_connection& peer)
            {
                static_cast<void>(peer.read_request());
                peer.send(response);
                peer.close();
            };
        };
        scripted_server plain_server(respond_and_close(plain));
        router host({plain_server.address()});
        CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 502");
        scripted_server stream_server(respond_and_close(stream));
        router other({stream_server.address()});
        CHECK(status_line_of(other.fetch("/stream-once/x")) == "HTTP/1.1 502");
    }
}

TEST_CASE("a declined request is sent to another upstream, and gets 503 when all upstreams decline")
{
    scripted_server full(respond_always(declined_response));
    {
        scripted_server accepting(respond_always(ok_response("ran")));
        router host({full.address(), accepting.address()});
        for (int round = 0; round < 4; ++round)
        {
            CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 200");
        }
    }
    router host({full.address()});
    const auto refused = host.fetch("/once/x");
    CHECK(status_line_of(refused) == "HTTP/1.1 503");
    CHECK(refused.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("a success response without the upstream's seal is not forwarded")
{
    scripted_server upstream(respond_always("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"));
    router host({upstream.address()});
    CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 502");
}

TEST_CASE(
    "a response with another attempt id is skipped, and excess bytes prevent connection reuse")
{
    const auto stale_response = "HTTP/1.1 200 OK\r\nPoplardrift-Attempt-Id: old\r\n" + seal +
                                "Content-Length: 5\r\n\r\nwrong";
    scripted_server upstream(respond_always(stale_response + ok_response("right")));
    router host({upstream.address()});
    CHECK(host.fetch("/once/x").find("right") != std::string::npos);

    scripted_server duplicating_server(respond_always(ok_response("one") + ok_response("two")));
    router other({duplicating_server.address()});
    CHECK(other.fetch("/once/x").find("one") != std::string::npos);
    CHECK(other.fetch("/once/x").find("one") != std::string::npos);
    CHECK(duplicating_server.connections() == 2);
}

TEST_CASE("a response without a length is complete after an orderly close, not after a reset")
{
    const auto response_without_length = "HTTP/1.1 200 OK\r\n" + seal + "\r\nall of it";
    scripted_server closing_server(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(response_without_length);
            peer.close();
        });
    router host({closing_server.address()});
    CHECK(host.fetch("/once/x").find("all of it") != std::string::npos);

    scripted_server resetting_server(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(response_without_length);
            std::this_thread::sleep_for(50ms);
            peer.reset();
        });
    router other({resetting_server.address()});
    CHECK(status_line_of(other.fetch("/once/x")) == "HTTP/1.1 502");
}

TEST_CASE("simultaneous requests stay within the cold limit while connections are established")
{
    std::atomic<int> requests{0};
    scripted_server upstream(
        [&](peer_connection& peer)
        {
            while (!peer.read_request().empty())
            {
                ++requests;
                std::this_thread::sleep_for(200ms);
                peer.send(ok_response("done"));
            }
        });
    router host({upstream.address()},
                [](routing::routing_configuration& configuration, routing::fleet_view& view)
                {
                    configuration.services[0].cold_requests_per_second = 5.0; // 4 of which are used
                    view.upstreams[0].cold_until = time_point::max();
                });
    std::vector<std::future<std::string>> responses;
    for (int number = 0; number < 16; ++number)
    {
        responses.push_back(std::async(std::launch::async, [&] { return host.fetch("/once/x"); }));
    }
    auto served = 0;
    for (auto& response : responses)
    {
        served += status_line_of(response.get()) == "HTTP/1.1 200" ? 1 : 0;
    }
    CHECK(requests <= 5);
    CHECK(served == requests);
    CHECK(served >= 4);
}

TEST_CASE("a request that cannot be served is refused at once, and told when to return")
{
    router host({free_address()},
                [](routing::routing_configuration& configuration, routing::fleet_view& view)
                {
                    for (auto& route : configuration.routes)
                    {
                        route.objective = 8s; // an eighth of it is the longest wait
                    }
                    view.upstreams[0].entry.leaving = true;
                });
    const auto before = std::chrono::steady_clock::now();
    const auto response = host.fetch("/once/x");
    CHECK(status_line_of(response) == "HTTP/1.1 503");
    CHECK(response.find("Retry-After: 0.") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - before < 500ms);

    const auto hopeless = host.fetch("/once/x", "Poplardrift-Deadline-Ms: 20\r\n");
    CHECK(status_line_of(hopeless) == "HTTP/1.1 503");
}

TEST_CASE("a failed connection attempt does not count as a send")
{
    scripted_server upstream(respond_always(ok_response("hello")));
    router host({free_address(), free_address(), upstream.address()});
    for (int round = 0; round < 5; ++round)
    {
        CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 200");
    }
}

TEST_CASE(
    "a repeatable request moves to another upstream after the progress timeout, others time out")
{
    std::atomic<int> requests{0};
    const auto ignore_first_request = [&](peer_connection& peer)
    {
        while (!peer.read_request().empty())
        {
            if (requests++ > 0)
            {
                peer.send(ok_response("second"));
            }
        }
    };
    scripted_server one(ignore_first_request);
    scripted_server two(ignore_first_request);
    router host({one.address(), two.address()});
    CHECK(host.fetch("/safe/x").find("second") != std::string::npos);
    requests = 0;
    const auto before = std::chrono::steady_clock::now();
    CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 504");
    const auto elapsed = std::chrono::steady_clock::now() - before;
    CHECK(requests == 1);
    CHECK(elapsed > 1400ms);
    CHECK(elapsed < 2000ms);
}

TEST_CASE(
    "a broken resumable stream resumes at another upstream without missing or repeated events")
{
    std::atomic<int> requests{0};
    std::atomic<bool> resumed_after_last_event{false};
    const auto serve_stream = [&](peer_connection& peer)
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
            resumed_after_last_event = request.find("Last-Event-Id: 2\r\n") != std::string::npos;
            peer.send(chunk(event_text(3)) + chunk(event_text(4)) + std::string(http::last_chunk));
        }
    };
    scripted_server one(serve_stream);
    scripted_server two(serve_stream);
    router host({one.address(), two.address()});
    const auto response = host.fetch("/stream/x");
    CHECK(resumed_after_last_event);
    for (int number = 1; number <= 4; ++number)
    {
        const auto first = response.find("data: e" + std::to_string(number) + "\n");
        CHECK(first != std::string::npos);
        CHECK(response.find("data: e" + std::to_string(number) + "\n", first + 1) ==
              std::string::npos);
    }
    CHECK(response.substr(response.size() - http::last_chunk.size()) == http::last_chunk);
}

TEST_CASE(
    "a broken stream that is not resumable ends without its last chunk and without a partial event")
{
    scripted_server upstream(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(stream_head + chunk(event_text(1)) + chunk("id: 2\nda"));
            std::this_thread::sleep_for(50ms);
            peer.reset();
        });
    router host({upstream.address()});
    const auto response = host.fetch("/stream-once/x");
    CHECK(response.find("data: e1") != std::string::npos);
    CHECK(response.find("id: 2") == std::string::npos);
    CHECK(response.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE("an HTTP/1.0 caller gets a stream without chunks, and a reset when the stream breaks")
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
    router host({upstream.address()});
    for (const auto is_broken : {false, true})
    {
        breaks = is_broken;
        auto caller = connect_to(host.caller_address);
        caller.send("GET /stream-once/x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n"
                    "Poplardrift-Attempt-Id: id-1\r\nX-Api-Key: k\r\n\r\n");
        const auto response = caller.read_to_end(2000ms);
        CHECK(response.find("\r\n\r\n" + event_text(1)) != std::string::npos);
        CHECK(response.find("Transfer-Encoding") == std::string::npos);
        CHECK(response.find("Connection: close") != std::string::npos);
        CHECK(caller.was_reset() == is_broken);
    }
}

TEST_CASE("events are forwarded as they arrive")
{
    std::promise<void> release;
    auto released = release.get_future();
    scripted_server upstream(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(stream_head + chunk(event_text(1)));
            released.wait();
            peer.send(chunk(event_text(2)) + std::string(http::last_chunk));
        });
    router host({upstream.address()});
    auto caller = connect_to(host.caller_address);
    caller.send(host.request_text("/stream-once/x"));
    CHECK(caller.read_until("data: e1", 1000ms));
    release.set_value();
    CHECK(caller.read_until("data: e2", 1000ms));
}

TEST_CASE("the upstream connection closes within 200 ms of the caller's disconnect")
{
    std::promise<std::chrono::steady_clock::time_point> closed;
    scripted_server upstream(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            static_cast<void>(peer.read_to_end(3000ms));
            closed.set_value(std::chrono::steady_clock::now());
        });
    router host({upstream.address()});
    auto caller = connect_to(host.caller_address);
    caller.send(host.request_text("/once/x"));
    std::this_thread::sleep_for(100ms);
    const auto closed_at = std::chrono::steady_clock::now();
    caller.close();
    CHECK(closed.get_future().get() - closed_at < 200ms);
}

TEST_CASE("the status page shows the upstreams' state, the explain page the placement of a request")
{
    scripted_server upstream([](peer_connection&) {});
    router host({upstream.address(), free_address()});
    const auto read_page = [&](const std::string& path)
    {
        auto operators = connect_to(host.status_address);
        operators.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        return nlohmann::json::parse(operators.read_response(1000ms).body);
    };
    const auto status = read_page("/status");
    CHECK(status["ready"] == true);
    CHECK(status["configuration"]["version"] == 1);
    REQUIRE(status["upstreams"].size() == 2);
    CHECK(status["upstreams"][0]["name"] == "u0");
    CHECK(status["upstreams"][0]["ejected"] == false);

    const auto explained = read_page("/explain/safe/x");
    CHECK(explained["outcome"] == "placed");
    CHECK(explained["service"] == "s");
    REQUIRE(explained["candidates"].size() == 2);
    CHECK(explained["candidates"][0]["verdict"] == "none");
    CHECK(explained["candidates"][0].contains("cost_ms"));
    CHECK(read_page("/explain/nowhere")["outcome"] == "no route");
}

TEST_CASE("pipelined requests get their responses in order")
{
    scripted_server upstream(
        [](peer_connection& peer)
        {
            for (auto request = peer.read_request(); !request.empty();
                 request = peer.read_request())
            {
                peer.send(ok_response(request.substr(0, request.find(" HTTP"))));
            }
        });
    router host({upstream.address()});
    auto caller = connect_to(host.caller_address);
    caller.send(host.request_text("/safe/1") + host.request_text("/safe/2") +
                host.request_text("/safe/3"));
    CHECK(caller.read_until("GET /safe/3", 2000ms));
    const auto& all = caller.received();
    CHECK(all.find("GET /safe/1") < all.find("GET /safe/2"));
    CHECK(all.find("GET /safe/2") < all.find("GET /safe/3"));
}

TEST_CASE("malformed and oversized requests are rejected without affecting later requests")
{
    scripted_server upstream(respond_always(ok_response("hello")));
    router host({upstream.address()});
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
        auto caller = connect_to(host.caller_address);
        caller.send(bytes);
        CHECK(caller.read_until(status, 1000ms));
    }
    CHECK(upstream.connections() == 0);
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
}

TEST_CASE("a graceful stop completes requests in progress and fails readiness probes meanwhile")
{
    scripted_server upstream(
        [](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            std::this_thread::sleep_for(400ms);
            peer.send(ok_response("finished"));
        });
    router host({upstream.address()});
    auto caller = connect_to(host.caller_address);
    caller.send(host.request_text("/once/x"));
    std::this_thread::sleep_for(50ms);
    host.service.leave(1500ms);
    std::this_thread::sleep_for(50ms);
    auto prober = connect_to(host.status_address);
    prober.send("GET /-/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(status_line_of(prober.read_to_end(500ms)) == "HTTP/1.1 503");
    const auto response = caller.read_to_end(1500ms);
    CHECK(response.find("finished") != std::string::npos);
    CHECK(response.find("Connection: close") != std::string::npos);
}

TEST_CASE("requests over the limit of held body bytes get 503 until earlier bodies are released")
{
    std::promise<void> release;
    const auto released = release.get_future().share();
    scripted_server upstream(
        [released](peer_connection& peer)
        {
            while (!peer.read_request().empty())
            {
                released.wait();
                peer.send(ok_response("done"));
            }
        });
    router host({upstream.address()});
    const auto post =
        "POST /safe/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: i\r\nX-Api-Key: k\r\n"
        "Connection: close\r\nContent-Length: 4000\r\n\r\n" +
        std::string(4000, 'x');
    auto first = connect_to(host.caller_address);
    first.send(post);
    std::this_thread::sleep_for(50ms);
    auto second = connect_to(host.caller_address);
    second.send(post);
    CHECK(status_line_of(second.read_to_end(1000ms)) == "HTTP/1.1 503");
    release.set_value();
    CHECK(status_line_of(first.read_to_end(2000ms)) == "HTTP/1.1 200");
    auto third = connect_to(host.caller_address);
    third.send(post);
    CHECK(status_line_of(third.read_to_end(2000ms)) == "HTTP/1.1 200");
}

TEST_CASE("connections over the session limit are closed without reading")
{
    scripted_server upstream(respond_always(ok_response("hello")));
    router host({upstream.address()});
    std::vector<peer_connection> callers;
    for (int number = 0; number < 20; ++number)
    {
        callers.push_back(connect_to(host.caller_address));
    }
    std::this_thread::sleep_for(50ms);
    auto excess_caller = connect_to(host.caller_address);
    CHECK(excess_caller.read_to_end(1000ms).empty());
    callers.front().send(host.request_text("/safe/x"));
    CHECK(callers.front().read_until("hello", 1000ms));
}

TEST_CASE("bytes that are no text, in names from outside, do not end the process when an operator "
          "opens a page")
{
    scripted_server upstream(respond_always(ok_response("hello")));
    router host({upstream.address()},
                [](routing::routing_configuration&, routing::fleet_view& view)
                {
                    view.upstreams.front().entry.name = routing::upstream_name("\xff\xfe");
                    view.zones_out.insert(zone_name("\xc3"));
                });
    for (const std::string page : {"/status", "/explain/safe/x", "/metrics"})
    {
        auto caller = connect_to(host.status_address);
        caller.send("GET " + page +
                    " HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: i\r\nX-Api-Key: k\r\n"
                    "Connection: close\r\n\r\n");
        CAPTURE(page);
        CHECK(status_line_of(caller.read_to_end(2000ms)) == "HTTP/1.1 200");
    }
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
}
