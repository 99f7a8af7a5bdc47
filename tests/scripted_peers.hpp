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

/// What a peer read of one response.
struct received_response
{
    bool is_complete = false;
    int status = 0;
    http::header_list fields;
    std::string body; ///< what came of it
};

/// A blocking connection of a scripted peer.
class peer_connection final
{
public:
    explicit peer_connection(boost::asio::ip::tcp::socket socket);

    /// Reads one HTTP message with its body by Content-Length; empty when the connection ended.
    [[nodiscard]] auto read_request() -> std::string;
    /// Reads until the other side closes or `limit` has passed.
    [[nodiscard]] auto read_to_end(std::chrono::milliseconds limit) -> std::string;
    /// Reads until `text` has come; false when the connection ended or `limit` passed before.
    [[nodiscard]] auto read_until(const std::string& text, std::chrono::milliseconds limit) -> bool;
    /// Reads one response; it is incomplete when the connection ended or `limit` passed before.
    [[nodiscard]] auto read_response(std::chrono::milliseconds limit) -> received_response;
    [[nodiscard]] auto is_connected() const -> bool
    {
        boost::system::error_code error;
        static_cast<void>(this->socket.remote_endpoint(error));
        return !error;
    }
    auto send(const std::string& bytes) -> void;
    auto close() -> void;
    auto reset() -> void;
    /// All bytes read so far that no call has returned.
    [[nodiscard]] auto received() const -> const std::string& { return this->buffer; }
    /// True when the connection ended by a reset, not in order.
    [[nodiscard]] auto was_reset() const -> bool { return this->is_reset; }

private:
    [[nodiscard]] auto read_some(std::chrono::milliseconds limit) -> bool;

    boost::asio::ip::tcp::socket socket;
    std::string buffer;
    bool is_reset = false;
};

/// A server on a loopback port whose connections are served by a script, each on its own thread.
class scripted_server final
{
public:
    using script = std::function<void(peer_connection&)>;

    explicit scripted_server(script serve);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    auto operator=(const scripted_server&) -> scripted_server& = delete;

    [[nodiscard]] auto address() const -> boost::asio::ip::tcp::endpoint;
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

/// Connects to a loopback address.
[[nodiscard]] auto connect_to(const boost::asio::ip::tcp::endpoint& address) -> peer_connection;

/// A loopback port that nobody listens on.
[[nodiscard]] auto free_address() -> boost::asio::ip::tcp::endpoint;

} // namespace poplardrift::tests
