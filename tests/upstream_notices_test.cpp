// Upstreams that say in their responses that they leave or want a pause, played over sockets.

#include "router_fixture.hpp"

#include <catch2/catch.hpp>

#include <atomic>

using namespace poplardrift;
using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

const std::string leaving_response =
    "HTTP/1.1 200 OK\r\n" + seal + "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok";

auto pause_response(const std::string& seconds) -> std::string
{
    return "HTTP/1.1 503 Service Unavailable\r\nPoplardrift-Not-Executed: 1\r\nRetry-After: " +
           seconds + "\r\nContent-Length: 0\r\n\r\n";
}

/// An upstream that answers all requests alike and counts them.
struct counted_upstream
{
    using clock = std::chrono::steady_clock;

    explicit counted_upstream(std::string response)
        : response(std::move(response)), server(
                                             [this](peer_connection& peer)
                                             {
                                                 while (!peer.read_request().empty())
                                                 {
                                                     this->count_request();
                                                     peer.send(this->response);
                                                 }
                                             })
    {
    }
    /// Notes the time between the first request and the second. The pause that the response to the
    /// first one asks for begins later than that.
    auto count_request() -> void
    {
        const auto now = clock::now();
        if (this->requests == 0)
        {
            this->first_at = now;
        }
        if (this->requests == 1)
        {
            this->until_second = now - this->first_at.load();
        }
        ++this->requests; // last: the test reads the times once it sees the number
    }
    /// The first request was followed by no other one within this time. How long the test itself
    /// took, on a busy machine, does not matter.
    [[nodiscard]] auto had_rest_of(std::chrono::milliseconds length) const -> bool
    {
        return this->requests == 1 || (this->requests > 1 && this->until_second.load() >= length);
    }

    std::string response;
    std::atomic<int> requests{0};
    std::atomic<clock::time_point> first_at{};
    std::atomic<clock::duration> until_second{};
    scripted_server server;
};

} // namespace

TEST_CASE("an upstream whose response says that it leaves gets no further request")
{
    counted_upstream leaving(leaving_response);
    counted_upstream sound(ok_response("ok"));
    router host({leaving.server.address(), sound.server.address()});
    for (int number = 0; number < 40; ++number)
    {
        CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
    }
    CHECK(leaving.requests == 1);
    // The registry still calls it ready, and an entry that is written again changes nothing.
    host.service.set_view(
        router::make_view({leaving.server.address(), sound.server.address()}, nullptr));
    for (int number = 0; number < 10; ++number)
    {
        CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
    }
    CHECK(leaving.requests == 1);
}

TEST_CASE("a new start of an upstream that left is used, under the same name and address")
{
    counted_upstream upstream(leaving_response);
    router host({upstream.server.address()});
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 503");
    host.service.set_view(router::make_view({upstream.server.address()},
                                            [](auto&, routing::fleet_view& view)
                                            { view.upstreams[0].entry.start_number = 9; }));
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
}

TEST_CASE("a caller's or a trailer's word that a server leaves goes no further")
{
    std::string seen;
    counted_upstream other(ok_response("ok"));
    scripted_server upstream(
        [&](peer_connection& peer)
        {
            while (true)
            {
                const auto request = peer.read_request();
                if (request.empty())
                {
                    return;
                }
                seen = request;
                peer.send("HTTP/1.1 200 OK\r\n" + seal +
                          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nServer-Leaving: "
                          "1\r\n\r\n");
            }
        });
    router host({upstream.address()});
    CHECK(status_line_of(host.fetch("/safe/x", "Server-Leaving: 1\r\n")) == "HTTP/1.1 200");
    CHECK(seen.find("Server-Leaving") == std::string::npos);
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
}

TEST_CASE("an upstream that wants a pause gets nothing until its end and is used again after it")
{
    counted_upstream paused(pause_response("0.8"));
    counted_upstream sound(ok_response("ok"));
    router host({paused.server.address(), sound.server.address()});
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 700ms)
    {
        CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 200");
    }
    CHECK(paused.had_rest_of(800ms));
    std::this_thread::sleep_for(500ms);
    paused.response = ok_response("ok");
    for (int number = 0; number < 60; ++number)
    {
        CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 200");
    }
    CHECK(paused.requests > 1);
}

TEST_CASE("when all upstreams are paused a request is refused at once until the first pause ends")
{
    counted_upstream first(pause_response("2"));
    counted_upstream second(pause_response("3.5"));
    router host({first.server.address(), second.server.address()});
    CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 503");
    CHECK(first.requests + second.requests == 2);
    const auto begin = std::chrono::steady_clock::now();
    const auto response = host.fetch("/once/x");
    CHECK(std::chrono::steady_clock::now() - begin < 100ms);
    CHECK(status_line_of(response) == "HTTP/1.1 503");
    const std::string label = "Retry-After: ";
    const auto at = response.find(label);
    REQUIRE(at != std::string::npos);
    const auto wait = std::stod(response.substr(at + label.size()));
    CHECK(wait > 1.5);
    CHECK(wait < 3.2); // the shorter pause, spread over hosts and callers
    CHECK(first.requests + second.requests == 2);
}

TEST_CASE("a pause is no fault of an upstream")
{
    counted_upstream paused(pause_response("0.2"));
    counted_upstream sound(ok_response("ok"));
    router host({paused.server.address(), sound.server.address()});
    for (int number = 0; number < 6; ++number)
    {
        CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
        std::this_thread::sleep_for(300ms);
    }
    auto status = connect_to(host.status_address);
    status.send("GET /status HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto page = status.read_to_end(1000ms);
    CHECK(paused.requests >= 2);
    CHECK(page.find("\"ejected\":true") == std::string::npos);
    CHECK(page.find("\"failure_share\":0.1") == std::string::npos);
}

TEST_CASE("a pause that a new start asks for before the registry shows it holds afterwards")
{
    counted_upstream paused(pause_response("1"));
    counted_upstream sound(ok_response("ok"));
    router host({paused.server.address(), sound.server.address()});
    while (paused.requests == 0)
    {
        CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 200");
    }
    host.service.set_view(router::make_view({paused.server.address(), sound.server.address()},
                                            [](auto&, routing::fleet_view& view)
                                            { view.upstreams[0].entry.start_number = 9; }));
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - begin < 700ms)
    {
        CHECK(status_line_of(host.fetch("/once/x")) == "HTTP/1.1 200");
    }
    CHECK(paused.had_rest_of(1000ms));
}
