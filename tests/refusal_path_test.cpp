// Statuses by which callers are promised that their request has not run.

#include "router_fixture.hpp"

#include <array>
#include <mutex>
#include <random>
#include <set>

using namespace poplardrift;
using namespace poplardrift::tests;

namespace
{

auto response_text(const std::string& status_line, const std::string& fields) -> std::string
{
    return "HTTP/1.1 " + status_line + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

auto status_of(const std::string& response) -> int
{
    const auto line = status_line_of(response);
    return line.size() == 12 ? std::atoi(line.substr(9).c_str()) : 0;
}

auto is_promise(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

const std::string not_executed = "Poplardrift-Not-Executed: 1\r\n";

/// What an upstream does with a request, and whether it has begun to run it.
struct behaviour
{
    std::string response; ///< empty: none
    bool runs = true;
    enum class ending : std::uint8_t
    {
        keep,
        close,
        reset,
        silence, ///< until the request's timeout has passed
    } end = ending::keep;
};

const std::array<behaviour, 16> behaviours = {{
    {ok_response("done")},
    {response_text("503 Service Unavailable", seal)},
    {response_text("429 Too Many Requests", seal)},
    {response_text("408 Request Timeout", seal)},
    {response_text("421 Misdirected Request", seal + "Poplardrift-Runner-Id: u0\r\n")},
    {response_text("500 Internal Server Error", seal)},
    {response_text("504 Gateway Timeout", seal)},
    {response_text("503 Service Unavailable", "")},
    {response_text("503 Service Unavailable", seal + "Retry-After: 1\r\n")},
    {"", true, behaviour::ending::close},
    {"", true, behaviour::ending::reset},
    {"HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 9\r\n\r\nhal", true, behaviour::ending::close},
    {"", true, behaviour::ending::silence},
    {response_text("503 Service Unavailable", not_executed), false},
    {response_text("429 Too Many Requests", seal + not_executed), false},
    {response_text("421 Misdirected Request", ""), false},
}};

} // namespace

// Guards against orders that are carried out twice, since an upstream's own 503 or 429 was taken as
// a refusal.
TEST_CASE("an upstream's status is no promise to the caller unless the upstream states it")
{
    const auto* const path = GENERATE("/once/x", "/stream-once/x", "/safe/x", "/stream/x");
    const auto* const status =
        GENERATE("503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout");
    CAPTURE(path, status);
    const auto has_run = respond_always(response_text(status, seal + "Retry-After: 1\r\n"));
    scripted_server one(has_run);
    scripted_server two(has_run);
    router host({one.address(), two.address()});
    const auto response = host.fetch(path);
    CHECK(status_line_of(response) == "HTTP/1.1 502");
    CHECK(response.find("Runner-Seal") == std::string::npos);
    CHECK(response.find("Retry-After") == std::string::npos);
}

TEST_CASE("an upstream's failure that promises nothing is forwarded as it is")
{
    const auto* const status = GENERATE("400 Bad Request", "404 Not Found", "409 Conflict",
                                        "500 Internal Server Error", "504 Gateway Timeout");
    CAPTURE(status);
    scripted_server upstream(respond_always(response_text(status, seal)));
    router host({upstream.address()});
    const auto response = host.fetch("/once/x");
    CHECK(response.starts_with(std::string("HTTP/1.1 ") + status));
    CHECK(response.find("Runner-Seal") != std::string::npos);
}

TEST_CASE("a 421 is a refusal only if it isn't by the upstream that was addressed")
{
    const auto ask = [](const std::string& fields)
    {
        scripted_server upstream(
            respond_always(response_text("421 Misdirected Request", seal + fields)));
        router host({upstream.address()});
        return status_line_of(host.fetch("/once/x"));
    };
    CHECK(ask("") == "HTTP/1.1 503");
    CHECK(ask("Poplardrift-Runner-Id: another\r\n") == "HTTP/1.1 503");
    CHECK(ask("Poplardrift-Runner-Id: u0\r\n") == "HTTP/1.1 502");
    CHECK(ask("Poplardrift-Runner-Id: u0\r\n" + not_executed) == "HTTP/1.1 503");
}

TEST_CASE("a request whose body is only partly written at its deadline is not called refused")
{
    scripted_server upstream(
        [](peer_connection& peer)
        {
            // Begins to run the request by its head, and reads no further.
            static_cast<void>(peer.await_bytes(1000ms));
            std::this_thread::sleep_for(2000ms);
        });
    router host(
        {upstream.address()},
        [](routing::routing_configuration& configuration, routing::fleet_view&)
        {
            configuration.limits.body_bytes = 32U << 20U;
            for (auto& route : configuration.routes)
            {
                route.timeout = 600ms;
            }
        },
        64U << 20U);
    auto caller = connect_to(host.caller_address);
    const std::string body(16U << 20U, 'x');
    std::thread sender(
        [&]
        {
            caller.send("POST /once/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: id-1\r\n"
                        "X-Api-Key: k\r\nConnection: close\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
        });
    sender.join();
    const auto status = status_line_of(caller.read_to_end(3000ms));
    CAPTURE(status);
    CHECK((status == "HTTP/1.1 504" || status == "HTTP/1.1 502"));
}

TEST_CASE("no caller is promised that a request hasn't run which an upstream may have begun")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    std::mutex mutex;
    std::mt19937 random(seed);
    std::set<std::string> begun;
    const auto serve = [&](peer_connection& peer)
    {
        for (auto request = peer.read_request(); !request.empty(); request = peer.read_request())
        {
            const std::string label = "Poplardrift-Attempt-Id: ";
            const auto at = request.find(label) + label.size();
            const auto id = request.substr(at, request.find("\r\n", at) - at);
            const behaviour* chosen = nullptr;
            {
                const std::lock_guard lock(mutex);
                chosen = &behaviours[random() % behaviours.size()];
                if (chosen->runs)
                {
                    begun.insert(id);
                }
            }
            if (chosen->end == behaviour::ending::silence)
            {
                std::this_thread::sleep_for(500ms);
                return;
            }
            peer.send(chosen->response);
            if (chosen->end == behaviour::ending::reset)
            {
                peer.reset();
            }
            if (chosen->end != behaviour::ending::keep)
            {
                peer.close();
                return;
            }
        }
    };
    scripted_server one(serve);
    scripted_server two(serve);
    scripted_server three(serve);
    router host({one.address(), two.address(), three.address()},
                [](routing::routing_configuration& configuration, routing::fleet_view&)
                {
                    for (auto& route : configuration.routes)
                    {
                        route.timeout = 400ms;
                        route.max_attempts = 3;
                    }
                });
    int promised = 0;
    for (int number = 0; number < 160; ++number)
    {
        static const std::array<std::string, 4> paths = {"/once/", "/safe/", "/stream/",
                                                         "/stream-once/"};
        const auto id = "id-" + std::to_string(number);
        auto caller = connect_to(host.caller_address);
        caller.send("GET " + paths[static_cast<std::size_t>(number) % paths.size()] +
                    "x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: " + id +
                    "\r\nX-Api-Key: k\r\nConnection: close\r\n\r\n");
        const auto status = status_of(caller.read_to_end(2000ms));
        const std::lock_guard lock(mutex);
        INFO(id << " got " << status);
        REQUIRE_FALSE((is_promise(status) && begun.contains(id)));
        promised += is_promise(status) ? 1 : 0;
    }
    CHECK(promised > 0);
}
