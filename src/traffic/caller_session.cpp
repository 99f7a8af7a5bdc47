#include "traffic/caller_session.hpp"

#include "net/clock.hpp"
#include "traffic/traffic_service.hpp"

#include <utility>

namespace poplardrift::traffic
{

namespace
{

using namespace std::chrono_literals;

/// A caller that acknowledges no data for this long counts as disconnected.
constexpr duration caller_ack_timeout = 8s;
/// Time for a caller to receive the end of its last response before the connection is closed.
constexpr duration close_linger = 1s;
/// Limit of buffered bytes of pipelined requests; beyond it reading pauses until the current
/// response has ended.
constexpr std::size_t max_pipelined_bytes = 65'536;
/// Time after a connection has been accepted in which its first request is on its way. A planned
/// stop does not close it meanwhile.
constexpr duration fresh_period = 500ms;
/// Time after which a caller whose body found no room may come again.
constexpr duration refused_body_return = 1s;
constexpr duration timeout_check_interval = 500ms; ///< caller timeouts are whole seconds

} // namespace

caller_session::caller_session(traffic_service& service, boost::asio::ip::tcp::socket socket)
    : service(service), stream(std::make_shared<http::byte_stream>(std::move(socket), this)),
      reader(service.get_reader_limits()), timer(service.get_io())
{
}

auto caller_session::start() -> void
{
    this->idle_since = boot_clock_now();
    this->stream->start(caller_ack_timeout);
    this->arm_timer();
}

auto caller_session::is_idle() const -> bool
{
    return !this->current && !this->reader.has_begun();
}

auto caller_session::close_when_idle() -> void
{
    const auto self = this->shared_from_this();
    this->closing = true;
    if (this->is_idle())
    {
        this->stream->poll(); // a request that has just arrived is answered
    }
    const auto is_fresh = !this->has_received && boot_clock_now() - this->idle_since < fresh_period;
    if (!this->finished && this->is_idle() && !is_fresh)
    {
        this->finish();
    }
}

auto caller_session::abort() -> void
{
    const auto self = this->shared_from_this();
    if (this->current)
    {
        std::exchange(this->current, nullptr)->on_caller_gone();
    }
    this->stream->close();
    this->finish();
}

auto caller_session::on_bytes(std::string_view bytes) -> void
{
    const auto self = this->shared_from_this();
    if (!this->current && !this->is_reading_message)
    {
        this->is_reading_message = true;
        this->message_started_at = boot_clock_now();
    }
    this->has_received = true;
    this->reader.feed(bytes);
    if (this->current)
    {
        if (this->reader.bytes_ahead() > max_pipelined_bytes)
        {
            this->stream->set_reading(false);
        }
        return;
    }
    this->process_input();
}

auto caller_session::process_input() -> void
{
    switch (this->reader.error())
    {
    case http::read_error::none:
        break;
    case http::read_error::head_too_large:
        this->reject_request(431, "head too large");
        return;
    case http::read_error::body_too_large:
        this->reject_request(413, "body too large");
        return;
    case http::read_error::unsupported_coding:
        this->reject_request(501, "unknown transfer coding");
        return;
    case http::read_error::malformed:
        this->reject_request(400, "malformed request");
        return;
    }
    if (this->reader.has_head() && !this->reserve_body())
    {
        this->reject_request(503, "too many bodies held");
        return;
    }
    if (this->reader.is_complete())
    {
        this->start_exchange();
        return;
    }
    if (this->reader.has_head() && this->reader.head().expects_continue && !this->continue_sent)
    {
        this->continue_sent = true;
        this->stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

auto caller_session::reserve_body() -> bool
{
    const auto bytes = this->reader.body_size();
    if (bytes == 0)
    {
        return true;
    }
    if (!this->body_room.is_open())
    {
        this->body_room = this->service.open_body_reservation(this->reader.head());
    }
    return this->body_room.try_grow_to(bytes);
}

auto caller_session::start_exchange() -> void
{
    this->is_reading_message = false;
    this->continue_sent = false;
    auto head = this->reader.head();
    this->keep_alive = head.keep_alive;
    this->reads_chunks = head.reads_chunks;
    this->bodiless = head.method == "HEAD";
    auto body = this->reader.take_body();
    this->reader.next(this->service.get_reader_limits());
    this->current =
        std::make_shared<exchange>(this->service, this, std::move(head), std::move(body),
                                   std::exchange(this->body_room, {}), boot_clock_now());
    this->current->start();
}

auto caller_session::reject_request(int status, const char* reason) -> void
{
    constexpr int service_unavailable = 503;
    const auto is_refusal = status == service_unavailable;
    this->service.get_log().write(is_refusal ? event_code::request_refused
                                             : event_code::request_invalid,
                                  {{"status", status}, {"reason", reason}});
    this->closing = true;
    this->bodiless = false;
    http::response_head head;
    head.status = status;
    head.reason = http::reason_phrase(status);
    head.fields.add("Content-Type", "text/plain");
    if (is_refusal)
    {
        head.fields.add("Retry-After", std::to_string(refused_body_return / 1s));
    }
    const auto text = std::string(reason) + "\n";
    this->begin_response(head, text.size());
    this->write_body(text);
    this->finish();
}

auto caller_session::begin_response(const http::response_head& head,
                                    std::optional<std::uint64_t> length) -> void
{
    std::string out;
    out.reserve(512);
    out.append("HTTP/1.1 ");
    out.append(std::to_string(head.status));
    out.push_back(' ');
    out.append(head.reason.empty() ? http::reason_phrase(head.status) : head.reason);
    out.append("\r\n");
    const http::hop_by_hop_fields dropped(head.fields);
    for (const auto& field : head.fields)
    {
        if (!dropped.contains(field.name))
        {
            http::append_field(out, field.name, field.value);
        }
    }
    const auto is_unbounded = !length && !this->bodiless;
    this->chunked = is_unbounded && this->reads_chunks;
    this->ends_by_close = is_unbounded && !this->reads_chunks;
    if (this->service.is_leaving() || !this->keep_alive || this->ends_by_close)
    {
        this->closing = true;
    }
    if (this->closing)
    {
        http::append_field(out, "Connection", "close");
    }
    else if (!this->reads_chunks)
    {
        http::append_field(out, "Connection", "keep-alive"); // not the default of HTTP/1.0
    }
    if (this->chunked)
    {
        http::append_field(out, "Transfer-Encoding", "chunked");
    }
    else if (length && !(this->bodiless && *length == 0))
    {
        http::append_field(out, "Content-Length", std::to_string(*length));
    }
    out.append("\r\n");
    this->stream->write(std::move(out));
}

auto caller_session::write_body(std::string_view bytes) -> void
{
    if (bytes.empty() || this->bodiless)
    {
        return;
    }
    if (!this->chunked)
    {
        this->stream->write(std::string(bytes));
        return;
    }
    std::string chunk;
    chunk.reserve(bytes.size() + 16);
    http::append_chunk(chunk, bytes);
    this->stream->write(std::move(chunk));
}

auto caller_session::end_response() -> void
{
    if (this->chunked)
    {
        this->stream->write(std::string(http::last_chunk));
    }
    const auto self = this->shared_from_this();
    const auto ended = std::exchange(this->current, nullptr);
    this->idle_since = boot_clock_now();
    if (this->closing)
    {
        this->finish();
        return;
    }
    // Posted to the event loop, so that a caller with many pipelined requests does not starve
    // others.
    boost::asio::post(this->service.get_io(),
                      [self]
                      {
                          if (!self->finished && !self->current)
                          {
                              self->stream->set_reading(true);
                              if (self->reader.has_begun())
                              {
                                  self->is_reading_message = true;
                                  self->message_started_at = boot_clock_now();
                                  self->process_input();
                              }
                          }
                      });
}

auto caller_session::abort_response() -> void
{
    const auto self = this->shared_from_this();
    const auto ended = std::exchange(this->current, nullptr);
    if (this->ends_by_close)
    {
        this->stream->reset();
    }
    this->finish();
}

auto caller_session::bytes_waiting() const -> std::size_t
{
    return this->stream->bytes_waiting();
}

auto caller_session::on_closed(http::close_kind) -> void
{
    const auto self = this->shared_from_this();
    if (this->current)
    {
        std::exchange(this->current, nullptr)->on_caller_gone();
    }
    this->finish();
}

auto caller_session::on_quarantine_changed() -> void
{
    if (const auto exchanged = this->current)
    {
        exchanged->on_quarantine_changed();
    }
}

auto caller_session::on_written() -> void
{
    if (this->current)
    {
        this->current->on_caller_drained();
    }
}

auto caller_session::finish() -> void
{
    if (std::exchange(this->finished, true))
    {
        return;
    }
    this->timer.cancel();
    this->stream->close_after_writing(close_linger);
    this->service.on_session_ended(this->shared_from_this());
}

auto caller_session::arm_timer() -> void
{
    this->timer.expires_after(timeout_check_interval);
    this->timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code& error)
        {
            if (!error && !self->finished)
            {
                self->on_timer();
            }
        });
}

auto caller_session::on_timer() -> void
{
    const auto now = boot_clock_now();
    const auto limits = this->service.get_caller_limits();
    const auto idle_limit =
        this->closing ? std::min<duration>(fresh_period, limits.idle_timeout) : limits.idle_timeout;
    if (this->is_idle() && now - this->idle_since > idle_limit)
    {
        this->finish();
        return;
    }
    if (!this->current && this->is_reading_message &&
        now - this->message_started_at >
            (this->reader.has_head() ? limits.idle_timeout : limits.head_timeout))
    {
        this->reject_request(408, "request too slow");
        return;
    }
    this->arm_timer();
}

} // namespace poplardrift::traffic
