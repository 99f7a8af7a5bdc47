#pragma once

#include "http/byte_stream.hpp"
#include "http/message_reader.hpp"
#include "traffic/descriptor_budget.hpp"
#include "traffic/exchange.hpp"
#include "traffic/memory_budget.hpp"

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
    caller_session(traffic_service& service, boost::asio::ip::tcp::socket socket,
                   descriptor_budget::lease descriptor);

    auto start() -> void;
    /// Closes the connection now if no request is in progress, else after its response.
    auto close_when_idle() -> void;
    /// Ends the current request if its prompt may not be sent any more and has no output yet.
    auto on_quarantine_changed() -> void;
    /// Closes the connection at once and cancels a request in progress.
    auto abort() -> void;
    [[nodiscard]] auto is_idle() const -> bool;
    /// What would become free if the session was closed, and its workspace and caller. Empty while
    /// a request runs whose answer the caller does not hold up.
    [[nodiscard]] auto closable_holding() const -> memory_holding;
    [[nodiscard]] auto get_room() const -> const memory_reservation& { return this->room; }
    [[nodiscard]] auto get_caller_address() const -> const boost::asio::ip::address&
    {
        return this->caller_address;
    }
    /// Since when the session has done nothing for its caller; none while it runs a request, and
    /// none in its first moments.
    [[nodiscard]] auto inactive_since(time_point now) const -> std::optional<time_point>;
    /// Closes the session in favour of others. A request that is being read is refused.
    auto close_for_others(const char* reason) -> void;

private:
    auto on_bytes(std::string_view bytes) -> void override;
    auto on_closed(http::close_kind kind) -> void override;
    auto on_written() -> void override;

    auto begin_response(const http::response_head& head, std::optional<std::uint64_t> length)
        -> void override;
    auto write_body(std::string_view bytes) -> void override;
    auto end_response() -> void override;
    auto abort_response() -> void override;
    auto on_memory_changed() -> void override;
    [[nodiscard]] auto bytes_waiting() const -> std::size_t override;

    auto process_input() -> void;
    /// Counts what has been read for the workspace of its head.
    auto assign_room() -> void;
    /// Memory that counts for this session, beyond the share that each session has.
    [[nodiscard]] auto counted_bytes() const -> std::size_t;
    /// Adapts the reservation to what the session holds; false if there is no room.
    [[nodiscard]] auto update_room() -> bool;
    /// The same for a session that has a request running: without room it is closed, later in this
    /// turn of the event loop, as its exchange may be calling.
    auto update_room_or_abort() -> void;
    auto record_progress() -> void;
    [[nodiscard]] auto seconds_without_progress() const -> double;
    auto set_read_limit() -> void;
    /// Goes on with the next request, unless too many bytes of responses wait.
    auto continue_reading() -> void;
    auto start_exchange() -> void;
    auto reject_request(int status, const char* reason) -> void;
    auto arm_timer() -> void;
    auto on_timer() -> void;
    auto finish() -> void;

    traffic_service& service;
    std::shared_ptr<http::byte_stream> stream;
    http::request_reader reader;
    boost::asio::ip::address caller_address;
    memory_reservation room;
    std::shared_ptr<exchange> current;
    boost::asio::steady_timer timer;
    time_point message_started_at{};
    time_point idle_since{};
    time_point progress_at{};         ///< last time that the request or its response got on
    std::size_t body_at_progress = 0; ///< body bytes then
    bool waits_for_drain = false;     ///< the next request waits for the last responses
    bool is_aborting = false;
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
