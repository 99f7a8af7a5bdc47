#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/byte_stream.hpp"
#include "http/message_reader.hpp"

#include <memory>
#include <optional>
#include <string>

namespace poplardrift::http
{

using endpoint = boost::asio::ip::tcp::endpoint;

/// Why a request got no complete response.
enum class transport_failure : std::uint8_t
{
    not_connected, ///< connecting failed; the request was not sent
    broken,        ///< the connection broke after the request may have been sent, in part or whole
    peer_timeout,  ///< as broken, since the upstream acknowledged nothing for too long
    malformed,     ///< the received bytes are not a valid response to the request
};

/// Receives the response to one request. Callbacks run on the connection's thread. Unless the
/// request is abandoned, the last callback is either on_response_end or on_response_failed.
class response_receiver
{
public:
    response_receiver() = default;
    response_receiver(const response_receiver&) = delete;
    auto operator=(const response_receiver&) -> response_receiver& = delete;
    virtual ~response_receiver() = default;

    /// The connection is established and the request has been queued for writing.
    virtual auto on_request_sent() -> void = 0;
    virtual auto on_response_head(const response_head& head) -> void = 0;
    virtual auto on_response_body(std::string bytes) -> void = 0;
    virtual auto on_response_end() -> void = 0;
    virtual auto on_response_failed(transport_failure failure) -> void = 0;
};

/// A request ready to be sent.
struct upstream_request
{
    std::string head; ///< request line and header fields, including the blank line
    std::string body;
    std::shared_ptr<const std::string> shared_body; ///< follows `body`; may be null
    bool is_head_request = false;
    /// A response with another value than `echo_value` in this field belongs to an earlier request.
    /// Responses without the field are accepted.
    std::string echo_field;
    std::string echo_value;
};

/// Settings of connections to upstreams.
struct connection_settings
{
    duration connect_timeout;
    duration peer_timeout; ///< a connection without acknowledgments for this long is broken
};

/// One connection to an upstream, with one request at a time. Stale responses to earlier requests
/// are skipped. Bytes received while no request is pending close the connection.
class upstream_connection final : public stream_listener,
                                  public std::enable_shared_from_this<upstream_connection>
{
public:
    upstream_connection(boost::asio::io_context& io, endpoint to, connection_settings settings);

    /// Connects if needed and sends the request. The connection must be new or idle.
    auto send(upstream_request request, response_receiver* receiver) -> void;
    /// Keeps an object as long as the connection, such as its share of the process's descriptors.
    auto keep(std::shared_ptr<void> object) -> void { this->kept = std::move(object); }
    /// Drops the request and closes the connection. The receiver is not called again.
    auto abandon() -> void;
    /// Pauses or resumes reading the response.
    auto set_reading(bool wanted) -> void;

    /// True when another request may be sent on this connection.
    [[nodiscard]] auto is_reusable() const -> bool;
    /// True when this connection has completed a response.
    [[nodiscard]] auto was_used() const -> bool { return this->completed_responses > 0; }
    /// When the connection was established; time_point{} before that.
    [[nodiscard]] auto get_established_at() const -> time_point { return this->established_at; }
    /// Idle timeout from the upstream's Keep-Alive header, in seconds, if it sent one.
    [[nodiscard]] auto keep_alive_seconds() const -> std::optional<std::uint64_t>
    {
        return this->keep_alive;
    }

private:
    auto on_bytes(std::string_view bytes) -> void override;
    auto on_closed(close_kind kind) -> void override;
    auto on_written() -> void override {}
    auto connect() -> void;
    auto transmit() -> void;
    auto deliver() -> void;
    auto deliver_end() -> void;
    auto is_expected_response() const -> bool;
    auto skip_stale_response() -> bool;
    auto fail(transport_failure failure) -> void;

    boost::asio::io_context& io;
    endpoint to;
    connection_settings settings;
    boost::asio::steady_timer timer;
    std::shared_ptr<boost::asio::ip::tcp::socket> connecting;
    std::shared_ptr<byte_stream> stream;
    response_reader reader;
    upstream_request request;
    std::shared_ptr<void> kept;
    response_receiver* receiver = nullptr;
    std::optional<std::uint64_t> keep_alive;
    std::uint64_t completed_responses = 0;
    time_point established_at{};
    int stale_responses = 0;
    bool peer_echoes = false; ///< an earlier response on this connection carried the echo field
    bool head_delivered = false;
    bool reusable = false;
    bool ended = false; ///< no further request may use this connection
};

} // namespace poplardrift::http
