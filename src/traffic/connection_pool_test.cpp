#include "traffic/connection_pool.hpp"

#include "net/clock.hpp"
#include "scripted_peers.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace poplardrift;
using namespace poplardrift::traffic;
using namespace std::chrono_literals;

namespace
{

class ignored_response final : public http::response_receiver
{
public:
    auto on_request_sent() -> void override {}
    auto on_response_head(const http::response_head&) -> void override {}
    auto on_response_body(std::string) -> void override {}
    auto on_response_end() -> void override { this->has_ended = true; }
    auto on_response_failed(http::transport_failure) -> void override {}
    bool has_ended = false;
};

} // namespace

TEST_CASE(
    "a connection to a former upstream is not taken for one to another whose state lies at the "
    "same address")
{
    tests::scripted_server server(
        [](tests::peer_connection& peer)
        {
            while (!peer.read_request().empty())
            {
                peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        });
    boost::asio::io_context io{1};
    const auto connection = std::make_shared<http::upstream_connection>(
        io, server.address(), http::connection_settings{1s, 1s});
    ignored_response receiver;
    connection->send({"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "", nullptr, false, "", ""}, &receiver);
    for (int rounds = 0; rounds < 200 && !receiver.has_ended; ++rounds)
    {
        io.run_for(10ms);
        io.restart();
    }
    REQUIRE(connection->is_reusable());

    connection_pool pool;
    const auto now = boot_clock_now();
    std::optional<routing::upstream_state> state(std::in_place, 0U);
    const auto* const address = &*state;
    pool.put_back(state->id, connection, now);
    state.emplace(0U);
    REQUIRE(&*state == address);
    CHECK(pool.take(state->id, now, 1s) == nullptr);
    pool.close_expired(now + 60s);
    CHECK_FALSE(connection->is_reusable());
}
