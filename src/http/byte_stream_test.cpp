#include "http/byte_stream.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <poll.h>
#include <unistd.h>

#include <optional>
#include <string>

using namespace poplardrift::http;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// More than the sockets of both sides hold.
constexpr std::size_t upload_bytes = 32U << 20U;

class recorded_events final : public stream_listener
{
public:
    auto on_bytes(std::string_view bytes) -> void override { this->received += bytes; }
    auto on_closed(close_kind kind) -> void override { this->closed = kind; }
    auto on_written() -> void override {}

    std::string received;
    std::optional<close_kind> closed;
};

/// A stream and the socket of its peer. The handlers of the stream's operations run only in
/// run_until, so a test decides what happens on the socket before them.
class connected_stream final
{
public:
    connected_stream()
    {
        tcp::acceptor acceptor(this->io, {asio::ip::address_v4::loopback(), 0});
        tcp::socket socket(this->io);
        socket.connect(acceptor.local_endpoint());
        acceptor.accept(this->peer);
        this->descriptor = ::dup(socket.native_handle());
        this->stream = std::make_shared<byte_stream>(std::move(socket), &this->events);
        this->stream->start(2s);
    }
    ~connected_stream()
    {
        this->stream->close();
        ::close(this->descriptor);
    }
    connected_stream(const connected_stream&) = delete;
    auto operator=(const connected_stream&) -> connected_stream& = delete;

    auto send_from_peer(const std::string& bytes) -> void
    {
        asio::write(this->peer, asio::buffer(bytes));
    }
    auto reset_from_peer() -> void
    {
        this->peer.set_option(asio::socket_base::linger(true, 0));
        this->peer.close();
        this->await_on_socket(POLLHUP);
    }
    auto end_from_peer() -> void
    {
        this->peer.shutdown(tcp::socket::shutdown_send);
        this->await_on_socket(POLLRDHUP);
    }
    /// Reads all that has arrived, up to the end of the stream, before any handler runs.
    auto read_to_end_before_handlers() -> void
    {
        constexpr int more_than_needed = 8;
        for (int reads = 0; reads < more_than_needed; ++reads)
        {
            this->stream->poll();
        }
    }
    /// Runs handlers until the stream is closed or `limit` has passed.
    auto run_until_closed(std::chrono::milliseconds limit) -> void
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!this->events.closed && std::chrono::steady_clock::now() < end)
        {
            this->io.run_for(5ms);
            this->io.restart();
        }
    }

    asio::io_context io{1};
    tcp::socket peer{this->io};
    recorded_events events;
    std::shared_ptr<byte_stream> stream;

private:
    auto await_on_socket(short condition) -> void
    {
        pollfd state{this->descriptor, condition, 0};
        while ((state.revents & condition) == 0)
        {
            REQUIRE(::poll(&state, 1, 2000) == 1);
        }
    }

    int descriptor = -1; ///< of the stream's socket, without its handlers
};

} // namespace

TEST_CASE(
    "a reset that a write has taken is not the end of the stream for a read before its report")
{
    // Guards against the end of the stream that reads return once a write has taken the reset off
    // the socket, while the handler of that write has not run yet (issue 60).
    connected_stream connection;
    connection.send_from_peer("part");
    connection.reset_from_peer();
    connection.stream->write(std::string("request")); // takes the reset; its handler is queued
    connection.read_to_end_before_handlers();
    CHECK(connection.events.received == "part");
    CHECK_FALSE(connection.events.closed);
    connection.run_until_closed(1000ms);
    CHECK(connection.events.closed == close_kind::broken);
}

TEST_CASE("an end of the stream before a reset stays an end for a read before the write's report")
{
    connected_stream connection;
    connection.send_from_peer("whole");
    connection.end_from_peer();
    connection.reset_from_peer();
    connection.stream->write(std::string("request"));
    connection.read_to_end_before_handlers();
    connection.run_until_closed(1000ms);
    CHECK(connection.events.received == "whole");
    CHECK(connection.events.closed == close_kind::end_of_stream);
}

TEST_CASE("the end of the stream is reported at once though the peer reads no more")
{
    connected_stream connection;
    connection.stream->write(std::string(upload_bytes, 'x'));
    connection.send_from_peer("whole");
    connection.end_from_peer();
    connection.read_to_end_before_handlers();
    CHECK(connection.events.received == "whole");
    CHECK(connection.events.closed == close_kind::end_of_stream);
}
