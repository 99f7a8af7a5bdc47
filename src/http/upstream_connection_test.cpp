#include "http/upstream_connection.hpp"

#include "scripted_peers.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace poplardrift;
using namespace poplardrift::http;
using namespace std::chrono_literals;

namespace
{

const std::string head_without_length = "HTTP/1.1 200 OK\r\n\r\n";
constexpr std::size_t part_bytes = 6000;
/// More than the sockets of both sides hold.
constexpr std::size_t upload_bytes = 32U << 20U;

class recorded_response final : public response_receiver
{
public:
    auto on_request_sent() -> void override {}
    auto on_response_head(const response_head&) -> void override {}
    auto on_response_body(std::string bytes) -> void override { this->body += bytes; }
    auto on_response_end() -> void override
    {
        this->is_complete = true;
        this->ended_at = std::chrono::steady_clock::now();
    }
    auto on_response_failed(transport_failure why) -> void override { this->failure = why; }

    std::string body;
    bool is_complete = false;
    std::chrono::steady_clock::time_point ended_at;
    std::optional<transport_failure> failure;
};

auto upload_head(std::size_t body_bytes) -> std::string
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) +
           "\r\n\r\n";
}

/// Uploads a long body to a server that runs this script.
auto upload_to(const tests::scripted_server::script& serve, recorded_response& response) -> void
{
    tests::scripted_server server(serve);
    boost::asio::io_context io{1};
    const auto connection =
        std::make_shared<upstream_connection>(io, server.address(), connection_settings{1s, 2s});
    connection->send(
        {upload_head(upload_bytes), std::string(upload_bytes, 'x'), nullptr, false, "", ""},
        &response);
    for (int rounds = 0; rounds < 400 && !response.is_complete && !response.failure; ++rounds)
    {
        io.run_for(10ms);
        io.restart();
    }
    connection->abandon();
}

constexpr int uploads_at_once = 24;
constexpr int upload_rounds = 16;

/// How uploads to a server that resets its connections ended.
struct upload_outcomes
{
    int complete = 0;
    int failed = 0;
};

/// Uploads to a server that responds without a length during the uploads and resets them.
auto upload_to_resetting_server(tests::response_end end) -> upload_outcomes
{
    constexpr std::size_t body_bytes = 4U << 20U;
    const auto body = std::make_shared<const std::string>(body_bytes, 'x');
    std::atomic<std::size_t> accepted{0};
    tests::scripted_server server(
        [&](tests::peer_connection& peer)
        {
            tests::respond_and_reset(peer, head_without_length + std::string(part_bytes, 'a'), end,
                                     body_bytes, accepted++);
        });
    upload_outcomes outcomes;
    for (int round = 0; round < upload_rounds; ++round)
    {
        boost::asio::io_context io{1};
        std::vector<recorded_response> responses(uploads_at_once);
        std::vector<std::shared_ptr<upstream_connection>> connections;
        for (auto& response : responses)
        {
            connections.push_back(std::make_shared<upstream_connection>(
                io, server.address(), connection_settings{1s, 2s}));
            connections.back()->send({upload_head(body_bytes), "", body, false, "", ""}, &response);
        }
        io.run_for(5s);
        for (const auto& response : responses)
        {
            outcomes.complete += response.is_complete ? 1 : 0;
            outcomes.failed += response.failure ? 1 : 0;
        }
    }
    return outcomes;
}

} // namespace

TEST_CASE("a response without a length that is reset while the request is still written is broken")
{
    // Guards against a reset that a write takes off the socket, so that the next read returns the
    // end of the stream (review/7).
    recorded_response response;
    upload_to(
        [](tests::peer_connection& peer)
        {
            static_cast<void>(peer.read_until("\r\n\r\n", 2000ms));
            peer.send(head_without_length + std::string(part_bytes, 'a'));
            std::this_thread::sleep_for(50ms);
            peer.reset();
        },
        response);
    CHECK_FALSE(response.is_complete);
    CHECK(response.failure == transport_failure::broken);
}

TEST_CASE("a response without a length that ends before the request has been written is complete")
{
    recorded_response response;
    upload_to(
        [](tests::peer_connection& peer)
        {
            static_cast<void>(peer.read_until("\r\n\r\n", 2000ms));
            peer.send(head_without_length + std::string(part_bytes, 'a'));
            std::this_thread::sleep_for(50ms);
            peer.shut_down_sending();
            std::this_thread::sleep_for(200ms);
            peer.reset(); // after the end of the response
        },
        response);
    CHECK(response.is_complete);
    CHECK(response.body.size() == part_bytes);
}

TEST_CASE("a long response that comes before the request has been written is delivered whole")
{
    // More than one read takes, and its sender does not wait for the rest of the request.
    constexpr std::size_t response_bytes = 200'000;
    recorded_response response;
    upload_to(
        [](tests::peer_connection& peer)
        {
            static_cast<void>(peer.read_until("\r\n\r\n", 2000ms));
            peer.send("HTTP/1.1 413 Content Too Large\r\nContent-Length: " +
                      std::to_string(response_bytes) + "\r\n\r\n" +
                      std::string(response_bytes, 'a'));
            std::this_thread::sleep_for(50ms);
            peer.reset();
        },
        response);
    CHECK(response.is_complete);
    CHECK(response.body.size() == response_bytes);
}

TEST_CASE("of many responses without a length that are reset in the same moment none is complete")
{
    const auto outcomes = upload_to_resetting_server(tests::response_end::reset);
    CHECK(outcomes.complete == 0);
    CHECK(outcomes.failed == uploads_at_once * upload_rounds);
}

TEST_CASE("of many responses without a length that end and are then reset all are complete")
{
    const auto outcomes = upload_to_resetting_server(tests::response_end::end_then_reset);
    CHECK(outcomes.complete == uploads_at_once * upload_rounds);
}

TEST_CASE("a response that ends in order is complete at once though its upstream reads no more")
{
    constexpr auto bound = 500ms; // the peer timeout of the connection is 2 s
    recorded_response response;
    std::chrono::steady_clock::time_point sent_at;
    upload_to(
        [&](tests::peer_connection& peer)
        {
            static_cast<void>(peer.read_until("\r\n\r\n", 2000ms));
            peer.send(head_without_length + std::string(part_bytes, 'a'));
            sent_at = std::chrono::steady_clock::now();
            peer.shut_down_sending();
            std::this_thread::sleep_for(1000ms); // neither reads nor closes
        },
        response);
    REQUIRE(response.is_complete);
    CHECK(response.body.size() == part_bytes);
    CHECK(response.ended_at - sent_at < bound);
}

TEST_CASE("a response with a length is complete at once though its upstream reads no more")
{
    constexpr auto bound = 500ms;
    recorded_response response;
    std::chrono::steady_clock::time_point sent_at;
    upload_to(
        [&](tests::peer_connection& peer)
        {
            static_cast<void>(peer.read_until("\r\n\r\n", 2000ms));
            sent_at = std::chrono::steady_clock::now();
            peer.send("HTTP/1.1 413 Content Too Large\r\nContent-Length: 4\r\n\r\nfull");
            std::this_thread::sleep_for(1000ms); // neither reads nor closes
        },
        response);
    REQUIRE(response.is_complete);
    CHECK(response.body == "full");
    CHECK(response.ended_at - sent_at < bound);
}
