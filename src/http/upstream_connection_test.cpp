#include "http/upstream_connection.hpp"

#include "scripted_peers.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

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
    auto on_response_end() -> void override { this->is_complete = true; }
    auto on_response_failed(transport_failure why) -> void override { this->failure = why; }

    std::string body;
    bool is_complete = false;
    std::optional<transport_failure> failure;
};

/// Uploads a long body to a server that runs this script.
auto upload_to(const tests::scripted_server::script& serve, recorded_response& response) -> void
{
    tests::scripted_server server(serve);
    boost::asio::io_context io{1};
    const auto connection =
        std::make_shared<upstream_connection>(io, server.address(), connection_settings{1s, 2s});
    const auto head =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(upload_bytes) +
        "\r\n\r\n";
    connection->send({head, std::string(upload_bytes, 'x'), nullptr, false, "", ""}, &response);
    for (int rounds = 0; rounds < 400 && !response.is_complete && !response.failure; ++rounds)
    {
        io.run_for(10ms);
        io.restart();
    }
    connection->abandon();
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
