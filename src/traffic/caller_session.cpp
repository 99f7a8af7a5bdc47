#include "traffic/caller_session.hpp"

#include "net/clock.hpp"
#include "traffic/traffic_service.hpp"

#include <algorithm>
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
/// response has ended. Also the most that is read at once meanwhile.
constexpr std::size_t max_pipelined_bytes = 4096;
/// Most bytes read at once before a head is complete. Most heads are shorter; what a caller sends
/// beyond its head is held meanwhile.
constexpr std::size_t head_read_bytes = 4096;
constexpr std::size_t body_read_bytes = 65'536;
/// Unsent bytes of responses beyond which the next pipelined request waits.
constexpr std::size_t max_unsent_bytes = 65'536;
/// Memory for heads and buffers that each session has without asking for room. The number of
/// sessions is bounded accordingly (host_process.cpp).
constexpr std::size_t uncounted_bytes = 8192;
/// Reservations change in steps, so that ordinary requests seldom change them.
constexpr std::size_t reservation_step = 1024;
/// A body that grows by less than this makes no progress.
constexpr std::size_t min_progress_bytes = 1024;
/// Time after a connection has been accepted in which its first request is on its way. A planned
/// stop does not close it meanwhile.
constexpr duration fresh_period = 500ms;
/// Time after which a caller whose body found no room may come again.
constexpr duration refused_body_return = 1s;
constexpr duration timeout_check_interval = 500ms; ///< caller timeouts are whole seconds

auto address_of(const boost::asio::ip::tcp::socket& socket) -> boost::asio::ip::address
{
    boost::system::error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? boost::asio::ip::address() : endpoint.address();
}

/// Identifies the address in the memory budget.
auto to_number(const boost::asio::ip::address& address) -> std::uint32_t
{
    return address.is_v4() ? address.to_v4().to_uint() : 0;
}

} // namespace

caller_session::caller_session(traffic_service& service, boost::asio::ip::tcp::socket socket,
                               descriptor_budget::lease descriptor)
    : service(service), caller_address(address_of(socket)),
      stream(std::make_shared<http::byte_stream>(std::move(socket), this)),
      reader(service.get_reader_limits()),
      room(service.get_memory(), to_number(this->caller_address)), timer(service.get_io())
{
    this->stream->keep_until_closed(std::move(descriptor));
}

auto caller_session::start() -> void
{
    this->idle_since = boot_clock_now();
    this->progress_at = this->idle_since;
    this->stream->set_read_limit(head_read_bytes);
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
        this->record_progress();
    }
    this->has_received = true;
    this->reader.feed(bytes);
    if (this->current)
    {
        if (this->reader.bytes_ahead() > max_pipelined_bytes)
        {
            this->stream->set_reading(false);
        }
        this->update_room_or_abort();
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
    this->assign_room();
    // A body that would not fit is refused by its head, before the caller sends it. Only what has
    // been read is held: a length that is merely announced takes no room from others.
    const auto fits = [this]
    {
        const auto& fields = this->reader.head().fields;
        const auto announced = http::parse_number(fields.find("Content-Length").value_or(""));
        const auto wanted = this->counted_bytes() + announced.value_or(0);
        for (auto shortage = this->room.try_resize(wanted); shortage != room_shortage::none;
             shortage = this->room.try_resize(wanted))
        {
            if (!this->service.make_room(*this, {wanted, 0.0}, shortage))
            {
                return false;
            }
        }
        return true;
    };
    const auto is_beginning = this->reader.has_head() && !this->reader.is_complete() &&
                              this->reader.body_size() < min_progress_bytes;
    if ((is_beginning && !fits()) || !this->update_room())
    {
        this->reject_request(503, "too many bodies held");
        return;
    }
    if (this->reader.body_size() >= this->body_at_progress + min_progress_bytes)
    {
        this->record_progress();
    }
    this->set_read_limit();
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

auto caller_session::assign_room() -> void
{
    if (!this->reader.has_head())
    {
        return;
    }
    const auto shortage =
        this->room.try_assign(this->service.workspace_name_of(this->reader.head()));
    static_cast<void>(shortage); // without room the reservation is empty now and is made again
}

auto caller_session::counted_bytes() const -> std::size_t
{
    auto bytes = this->reader.body_memory();
    auto other = this->reader.other_memory() + this->stream->allocated_bytes();
    if (this->current)
    {
        bytes += this->current->body_memory();
        other += this->current->other_memory();
    }
    bytes += other - std::min(other, uncounted_bytes);
    return (bytes + reservation_step - 1) / reservation_step * reservation_step;
}

auto caller_session::update_room() -> bool
{
    const auto wanted = this->counted_bytes();
    while (wanted != this->room.get_bytes())
    {
        const auto shortage = this->room.try_resize(wanted);
        if (shortage != room_shortage::none &&
            !this->service.make_room(*this, {wanted, this->seconds_without_progress()}, shortage))
        {
            return false;
        }
    }
    return true;
}

auto caller_session::update_room_or_abort() -> void
{
    if (this->finished || this->is_aborting || this->update_room())
    {
        return;
    }
    this->is_aborting = true;
    boost::asio::post(this->service.get_io(),
                      [self = this->shared_from_this()]
                      {
                          if (!self->finished)
                          {
                              self->abort();
                          }
                      });
}

auto caller_session::on_memory_changed() -> void
{
    const auto self = this->shared_from_this();
    if (!this->finished && !this->is_aborting && !this->update_room())
    {
        this->abort();
    }
}

auto caller_session::seconds_without_progress() const -> double
{
    return to_seconds(boot_clock_now() - this->progress_at);
}

auto caller_session::record_progress() -> void
{
    this->progress_at = boot_clock_now();
    this->body_at_progress = this->reader.body_size();
}

auto caller_session::set_read_limit() -> void
{
    this->stream->set_read_limit(this->current             ? max_pipelined_bytes
                                 : this->reader.has_head() ? body_read_bytes
                                                           : head_read_bytes);
}

auto caller_session::closable_holding() const -> memory_holding
{
    const auto holds_up_answer = this->stream->bytes_waiting() > 0;
    if (this->current && !holds_up_answer)
    {
        return {};
    }
    return {this->room.get_bytes(), this->seconds_without_progress()};
}

auto caller_session::inactive_since(time_point now) const -> std::optional<time_point>
{
    const auto is_fresh = !this->has_received && now - this->idle_since < fresh_period;
    if (this->current || is_fresh || this->stream->bytes_waiting() > 0)
    {
        return std::nullopt;
    }
    return std::max(this->idle_since, this->progress_at);
}

auto caller_session::close_for_others(const char* reason) -> void
{
    const auto self = this->shared_from_this();
    if (this->is_idle() && this->stream->bytes_waiting() == 0)
    {
        this->stream->poll(); // a request that has just arrived is answered
    }
    if (this->finished || (this->current && this->stream->bytes_waiting() == 0))
    {
        return;
    }
    if (this->stream->bytes_waiting() > 0)
    {
        this->abort();
    }
    else if (this->is_idle())
    {
        this->finish();
    }
    else
    {
        this->reject_request(503, reason);
    }
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
    this->current = std::make_shared<exchange>(this->service, this, std::move(head),
                                               std::move(body), boot_clock_now());
    this->set_read_limit();
    this->current->start();
}

auto caller_session::reject_request(int status, const char* reason) -> void
{
    constexpr int service_unavailable = 503;
    const auto is_refusal = status == service_unavailable;
    this->service.get_log().write(
        is_refusal ? event_code::request_refused : event_code::request_invalid,
        {{"status", status}, {"reason", reason}, {"caller", this->caller_address.to_string()}});
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
    this->update_room_or_abort();
}

auto caller_session::write_body(std::string_view bytes) -> void
{
    if (bytes.empty() || this->bodiless || this->is_aborting)
    {
        return;
    }
    if (bytes.size() > uncounted_bytes)
    {
        // Room for the copy is taken before it is made.
        const auto wanted = this->room.get_bytes() + bytes.size();
        auto shortage = this->room.try_resize(wanted);
        while (shortage != room_shortage::none &&
               this->service.make_room(*this, {wanted, this->seconds_without_progress()}, shortage))
        {
            shortage = this->room.try_resize(wanted);
        }
        if (shortage != room_shortage::none)
        {
            this->is_aborting = true;
            boost::asio::post(this->service.get_io(),
                              [self = this->shared_from_this()] { self->abort(); });
            return;
        }
    }
    if (!this->chunked)
    {
        this->stream->write(std::string(bytes));
    }
    else
    {
        std::string chunk;
        chunk.reserve(bytes.size() + 16);
        http::append_chunk(chunk, bytes);
        this->stream->write(std::move(chunk));
    }
    this->update_room_or_abort();
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
    this->record_progress();
    // Posted to the event loop, so that a caller with many pipelined requests does not starve
    // others.
    boost::asio::post(this->service.get_io(), [self] { self->continue_reading(); });
}

auto caller_session::continue_reading() -> void
{
    if (this->finished || this->current)
    {
        return;
    }
    this->update_room_or_abort();
    this->waits_for_drain = this->stream->bytes_waiting() > max_unsent_bytes;
    if (this->waits_for_drain)
    {
        this->stream->set_reading(false);
        return;
    }
    this->set_read_limit();
    this->stream->set_reading(true);
    if (this->reader.has_begun())
    {
        this->is_reading_message = true;
        this->message_started_at = boot_clock_now();
        this->process_input();
    }
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
    const auto self = this->shared_from_this();
    this->record_progress();
    this->update_room_or_abort();
    if (this->current)
    {
        this->current->on_caller_drained();
    }
    else if (this->waits_for_drain)
    {
        this->continue_reading();
    }
}

auto caller_session::finish() -> void
{
    if (std::exchange(this->finished, true))
    {
        return;
    }
    this->timer.cancel();
    if (this->stream->is_open() && this->stream->bytes_waiting() > 0)
    {
        // The last bytes count until they have been written.
        auto kept = std::make_shared<memory_reservation>(std::move(this->room));
        static_cast<void>(kept->try_resize(std::min(kept->get_bytes(), this->counted_bytes())));
        this->service.on_lingering(this->stream, kept);
        this->stream->keep_until_written(std::move(kept));
    }
    else if (this->stream->is_open())
    {
        this->service.on_lingering(this->stream, nullptr);
    }
    this->room = {};
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
