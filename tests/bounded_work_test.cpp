// Bytes without end, or very many requests at a time, from one peer of the router, while others use
// it. One traffic thread serves them all.

#include "router_fixture.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace poplardrift;
using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

/// A request is answered at the latest half a second after its route's timeout.
constexpr auto longest_answer_time = 1500ms + 500ms;

/// Longest time until a plain request is answered, of those sent one after the other until `done`.
auto longest_answer_until(router& host, const std::atomic<bool>& done) -> std::chrono::milliseconds
{
    std::chrono::steady_clock::duration longest{};
    do
    {
        const auto begin = std::chrono::steady_clock::now();
        CHECK(status_line_of(host.fetch("/safe/x", "", 20'000ms)) == "HTTP/1.1 200");
        longest = std::max(longest, std::chrono::steady_clock::now() - begin);
    } while (!done);
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
}

/// Answers a stream with these bytes, in chunks, until the connection ends, and all else at once.
auto respond_without_end(std::string line, std::atomic<std::size_t>& bytes_sent)
    -> scripted_server::script
{
    std::string bytes;
    while (bytes.size() < 16'384)
    {
        bytes += line;
    }
    return [bytes, part = chunk(bytes), &bytes_sent](peer_connection& peer)
    {
        for (auto request = peer.read_request(); !request.empty(); request = peer.read_request())
        {
            if (request.find("GET /stream") == std::string::npos)
            {
                peer.send(ok_response("done"));
                continue;
            }
            peer.send(stream_head);
            while (peer.send(part))
            {
                bytes_sent += bytes.size();
            }
            return;
        }
    };
}

} // namespace

TEST_CASE("an answer of line feeds without end holds up no other caller")
{
    const std::string line = GENERATE("\n", ":\n\n", "\r\n");
    std::atomic<std::size_t> bytes_sent{0};
    scripted_server upstream(respond_without_end(line, bytes_sent));
    router host({upstream.address(), upstream.address()});
    std::atomic<bool> done{false};
    auto endless = std::async(std::launch::async,
                              [&]
                              {
                                  const auto response = host.fetch("/stream-once/x", "", 20'000ms);
                                  done = true;
                                  return response;
                              });
    const auto longest = longest_answer_until(host, done);
    CAPTURE(line, longest.count());
    CHECK(longest <= longest_answer_time);
    CHECK_FALSE(endless.get().ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream of comments without end is ended long before its timeout")
{
    std::atomic<std::size_t> bytes_sent{0};
    scripted_server upstream(respond_without_end(": still here\n\n", bytes_sent));
    router host({upstream.address()});
    static_cast<void>(host.fetch("/stream-once/x", "", 20'000ms));
    // An event has at most 1 MiB; the rest is for the buffers of sockets.
    constexpr std::size_t max_bytes = 32U << 20U;
    CHECK(bytes_sent < max_bytes);
}

TEST_CASE("comments before the first event are no output of a stream")
{
    std::atomic<int> requests{0};
    scripted_server upstream(
        respond_first_then(requests, stream_head + chunk(": still here\n\n"), stream_head, true));
    router host({upstream.address()});
    CHECK(status_line_of(host.fetch("/stream-once/x")) == "HTTP/1.1 502");
}

TEST_CASE("very many status requests on one connection hold up no caller")
{
    scripted_server upstream(respond_always(ok_response("done")));
    const std::vector upstreams(400, upstream.address());
    router host(upstreams);
    auto operators = connect_to(host.status_address);
    std::string questions;
    constexpr int count = 2000;
    for (int number = 0; number < count; ++number)
    {
        questions += "GET /status HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    std::atomic<bool> done{false};
    auto asking = std::async(std::launch::async,
                             [&]
                             {
                                 operators.send(questions);
                                 std::this_thread::sleep_for(1s);
                                 done = true;
                             });
    const auto longest = longest_answer_until(host, done);
    operators.close();
    CAPTURE(longest.count());
    CHECK(longest <= 500ms);
}

TEST_CASE("bodies that are not complete count against the memory for bodies")
{
    scripted_server upstream(respond_always(ok_response("done")));
    router host({upstream.address()});
    const auto upload = [](std::size_t bytes)
    {
        return "POST /safe/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: i\r\nX-Api-Key: k\r\n"
               "Content-Length: " +
               std::to_string(bytes) + "\r\n\r\n";
    };
    {
        auto slow = connect_to(host.caller_address);
        slow.send(upload(4000) + "begun");
        std::this_thread::sleep_for(100ms);
        // Refused by its head alone, before the caller sends what there is no room for.
        auto other = connect_to(host.caller_address);
        other.send(upload(4000));
        const auto refusal = other.read_response(1000ms);
        CHECK(refusal.status == 503);
        CHECK(refusal.fields.find("Retry-After"));
        CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
    }
    std::this_thread::sleep_for(100ms);
    auto later = connect_to(host.caller_address);
    later.send(upload(4000) + std::string(4000, 'x'));
    CHECK(later.read_response(1000ms).status == 200);
}

TEST_CASE("a body in chunks is refused when it outgrows the memory for bodies")
{
    scripted_server upstream(respond_always(ok_response("done")));
    router host({upstream.address()});
    const std::string head = "POST /safe/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: i\r\n"
                             "X-Api-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto slow = connect_to(host.caller_address);
    slow.send(head + chunk(std::string(2500, 'x')));
    std::this_thread::sleep_for(100ms);
    auto other = connect_to(host.caller_address);
    other.send(head + chunk(std::string(2500, 'x')));
    CHECK(other.read_response(1000ms).status == 503);
}
