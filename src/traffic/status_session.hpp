#pragma once

#include "http/byte_stream.hpp"
#include "http/message_reader.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplardrift::traffic
{

/// Response to a status request.
struct status_response
{
    int status = 404;
    std::string text;
    std::string content_type = "text/plain";
};

/// Connection of a health prober, a metrics collector or another host: handles small GET requests,
/// one in each turn of the thread's event loop.
class status_session final : public http::stream_listener,
                             public std::enable_shared_from_this<status_session>
{
public:
    using request_handler = std::function<status_response(const http::request_head&)>;

    status_session(boost::asio::ip::tcp::socket socket, request_handler handler);

    auto start() -> void;
    /// Closes the connection at once.
    auto close() -> void;
    [[nodiscard]] auto get_stream() const -> const std::shared_ptr<http::byte_stream>&
    {
        return this->stream;
    }
    /// When bytes last arrived or were written.
    [[nodiscard]] auto active_at() const -> time_point { return this->last_activity; }
    /// When the first bytes of an incomplete request arrived; empty if there are none.
    [[nodiscard]] auto request_begun_at() const -> std::optional<time_point>
    {
        return this->reader.has_begun() && !this->is_busy ? std::optional(this->begun_at)
                                                          : std::nullopt;
    }

private:
    auto on_bytes(std::string_view bytes) -> void override;
    auto on_closed(http::close_kind kind) -> void override;
    auto on_written() -> void override;
    /// Handles the request that has been received, if it is complete.
    auto handle_next() -> void;
    auto continue_later() -> void;
    /// Goes on with the next request unless too many bytes of responses wait.
    auto on_turn() -> void;
    auto respond(const status_response& reply, bool keep_alive) -> void;

    std::shared_ptr<http::byte_stream> stream;
    http::request_reader reader;
    request_handler handler;
    time_point last_activity{};
    time_point begun_at{}; ///< first bytes of the request that is being read
    bool is_busy = false;  ///< the next request has to wait
    std::shared_ptr<status_session>
        self_reference; ///< keeps the session alive while it is connected
};

/// The connections to one or several ports for status or peers. They have a part of the process's
/// descriptors and memory of their own, so that callers cannot take it: when all are in use, a new
/// one replaces the one that has been inactive for longest. One thread.
class status_session_group final
{
public:
    explicit status_session_group(std::size_t max_connections) : max_connections(max_connections) {}

    /// Starts a session. Returns the address of the peer whose connection was closed for it, if
    /// any.
    auto accept(boost::asio::ip::tcp::socket socket, status_session::request_handler handler,
                time_point now) -> std::optional<boost::asio::ip::address>;
    /// Closes connections that have been silent for long, and those that do not end a request.
    auto close_inactive(time_point now) -> void;
    [[nodiscard]] auto count() const -> std::size_t { return this->connections.size(); }

private:
    struct connection
    {
        std::weak_ptr<http::byte_stream> stream; ///< open for longer than the session
        std::weak_ptr<status_session> session;
        boost::asio::ip::address peer;
        time_point accepted_at;
    };

    auto remove_closed() -> void;
    static auto close(const connection& closed) -> void;

    std::size_t max_connections;
    std::vector<connection> connections;
};

} // namespace poplardrift::traffic
