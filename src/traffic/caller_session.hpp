#pragma once

#include "http/byte_stream.hpp"
#include "http/message_reader.hpp"
#include "traffic/exchange.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace poplardrift::traffic
{

class traffic_service;

/// A caller's connection: reads requests, handles them one at a time and writes their responses.
/// Detects that the caller disconnects while a request is in progress. Traffic thread.
class caller_session final : public http::stream_listener,
                             public response_sink,
                             public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(traffic_service& service, boost::asio::ip::tcp::socket socket);

    auto start() -> void;
    /// Closes the connection now if no request is in progress, else after its response.
    auto close_when_idle() -> void;
    /// Ends the current request if its prompt may not be sent any more and has no output yet.
    auto on_quarantine_changed() -> void;
    /// Closes the connection at once and cancels a request in progress.
    auto abort() -> void;
    [[nodiscard]] auto is_idle() const -> bool;

private:
    auto on_bytes(std::string_view bytes) -> void override;
    auto on_closed(http::close_kind kind) -> void override;
    auto on_written() -> void override;

    auto begin_response(const http::response_head& head, std::optional<std::uint64_t> length)
        -> void override;
    auto write_body(std::string_view bytes) -> void override;
    auto end_response() -> void override;
    auto abort_response() -> void override;
    [[nodiscard]] auto bytes_waiting() const -> std::size_t override;

    auto process_input() -> void;
    /// Room in memory for the body of the request whose head has been read; false if there is none.
    [[nodiscard]] auto reserve_body() -> bool;
    auto start_exchange() -> void;
    auto reject_request(int status, const char* reason) -> void;
    auto arm_timer() -> void;
    auto on_timer() -> void;
    auto finish() -> void;

    traffic_service& service;
    std::shared_ptr<http::byte_stream> stream;
    http::request_reader reader;
    body_reservation body_room; ///< of the request that is being read
    std::shared_ptr<exchange> current;
    boost::asio::steady_timer timer;
    time_point message_started_at{};
    time_point idle_since{};
    bool has_received = false; ///< any byte of a request
    time_point head_began{};
    bool is_reading_message = false;
    bool chunked = false;
    bool reads_chunks = true;   ///< the caller's protocol version supports chunked encoding
    bool ends_by_close = false; ///< closing the connection marks the end of the response
    bool bodiless = false;
    bool continue_sent = false;
    bool keep_alive = true; ///< requested by the caller for the current request
    bool closing = false;   ///< no further request is read after the current one
    bool finished = false;
};

} // namespace poplardrift::traffic
