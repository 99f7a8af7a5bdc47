#pragma once

#include "http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace poplardrift::tests
{

/// One response as read by a peer; may be incomplete.
struct received_response
{
    bool is_complete = false;
    int status = 0;
    http::header_list fields;
    std::string body; ///< the part received
};

/// A blocking TCP connection of a scripted peer. One thread.
class peer_connection final
{
public:
    explicit peer_connection(boost::asio::ip::tcp::socket socket);

    /// Reads one HTTP message whose body length is given by Content-Length; empty when the
    /// connection ended or nothing arrived for 5 s.
    [[nodiscard]] auto read_request() -> std::string;
    /// Reads until the other side closes or `limit` has passed, and returns all unread bytes.
    [[nodiscard]] auto read_to_end(std::chrono::milliseconds limit) -> std::string;
    /// Reads until `text` has arrived; false when the connection ended first or nothing arrived for
    /// `limit`.
    [[nodiscard]] auto read_until(const std::string& text, std::chrono::milliseconds limit) -> bool;
    /// Waits until unread bytes have arrived, without reading them.
    [[nodiscard]] auto await_bytes(std::chrono::milliseconds limit) -> bool;
    /// Reads until `count` bytes have arrived in all; false when the connection ended first or
    /// nothing arrived for `limit`.
    [[nodiscard]] auto read_bytes(std::size_t count, std::chrono::milliseconds limit) -> bool;
    /// Reads one response; it is incomplete when the connection ended or `limit` passed first.
    [[nodiscard]] auto read_response(std::chrono::milliseconds limit) -> received_response;
    [[nodiscard]] auto is_connected() const -> bool
    {
        boost::system::error_code error;
        static_cast<void>(this->socket.remote_endpoint(error));
        return !error;
    }
    /// False when the connection has ended.
    auto send(const std::string& bytes) -> bool;
    auto close() -> void;
    /// Ends the sending side only.
    auto shut_down_sending() -> void;
    /// Closes the connection with a TCP reset.
    auto reset() -> void;
    /// Bytes read so far and not yet returned by a call.
    [[nodiscard]] auto received() const -> const std::string& { return this->buffer; }
    /// True when the connection ended by a TCP reset, not by an orderly close.
    [[nodiscard]] auto was_reset() const -> bool { return this->is_reset; }

private:
    [[nodiscard]] auto read_some(std::chrono::milliseconds limit) -> bool;

    boost::asio::ip::tcp::socket socket;
    std::string buffer;
    bool is_reset = false;
};

/// A server on a loopback port that runs a script for each connection, on a thread of its own.
class scripted_server final
{
public:
    using script = std::function<void(peer_connection&)>;

    explicit scripted_server(script serve);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    auto operator=(const scripted_server&) -> scripted_server& = delete;

    [[nodiscard]] auto address() const -> boost::asio::ip::tcp::endpoint;
    /// Number of connections accepted so far.
    [[nodiscard]] auto connections() const -> int { return this->accepted; }

private:
    auto run() -> void;

    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor;
    script serve;
    std::atomic<bool> stopping{false};
    std::atomic<int> accepted{0};
    std::vector<std::thread> threads;
    std::thread accept_thread;
};

/// How respond_and_reset ends a response.
enum class response_end : std::uint8_t
{
    reset,          ///< by the reset
    end_then_reset, ///< by the end of the sending side, before the reset
};

/// Waits for a request, reads a part of it, sends a response and resets the connection. Over
/// consecutive numbers the part is nothing, 64 KB, half and nearly all of `request_bytes`, and the
/// reset comes at once to 190 us later: it meets the reads and writes of the other side at any
/// point of their order.
auto respond_and_reset(peer_connection& peer, const std::string& response, response_end end,
                       std::size_t request_bytes, std::size_t number) -> void;

/// Connects to a loopback address; the connection is not open if that fails.
[[nodiscard]] auto connect_to(const boost::asio::ip::tcp::endpoint& address) -> peer_connection;

/// Returns a loopback address without a listener. Its port is kept from sockets that ask for any
/// port, in this process and in others, until 64 later addresses have been asked for.
[[nodiscard]] auto free_address() -> boost::asio::ip::tcp::endpoint;

} // namespace poplardrift::tests
