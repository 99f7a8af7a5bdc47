#pragma once

#include "http/byte_stream.hpp"
#include "http/message_reader.hpp"

#include <functional>
#include <memory>
#include <string>

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
    bool is_busy = false; ///< the next request has to wait
    std::shared_ptr<status_session>
        self_reference; ///< keeps the session alive while it is connected
};

} // namespace poplardrift::traffic
