#include "traffic/status_session.hpp"

#include "net/clock.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace poplardrift::traffic
{

namespace
{

constexpr duration prober_ack_timeout = std::chrono::seconds(5);
constexpr duration close_linger = std::chrono::milliseconds(500);
/// Requests to these ports have no body.
constexpr http::reader_limits status_reader_limits{8'192, 1'024};
/// Most bytes read at once, and so the most that wait in a connection's buffer.
constexpr std::size_t read_bytes = 8'192;
/// Collectors read once in 60 s at the most seldom.
constexpr duration inactive_limit = std::chrono::seconds(90);
constexpr duration request_limit = std::chrono::seconds(5);
/// Unsent bytes for a peer that doesn't read, beyond which its next request waits.
constexpr std::size_t max_unsent_bytes = 65'536;

} // namespace

status_session::status_session(boost::asio::ip::tcp::socket socket, request_handler handler)
    : stream(std::make_shared<http::byte_stream>(std::move(socket), this)),
      reader(status_reader_limits), handler(std::move(handler))
{
}

auto status_session::start() -> void
{
    this->self_reference = this->shared_from_this();
    this->last_activity = boot_clock_now();
    this->stream->set_read_limit(read_bytes);
    this->stream->start(prober_ack_timeout);
}

auto status_session::on_bytes(std::string_view bytes) -> void
{
    const auto self = this->shared_from_this();
    this->last_activity = boot_clock_now();
    if (!this->reader.has_begun())
    {
        this->begun_at = this->last_activity;
    }
    this->reader.feed(bytes);
    if (!this->is_busy)
    {
        this->handle_next();
    }
}

auto status_session::handle_next() -> void
{
    if (this->reader.error() != http::read_error::none)
    {
        this->respond({400, "malformed request\n"}, false);
        return;
    }
    if (!this->reader.is_complete())
    {
        return;
    }
    const auto reply = this->handler(this->reader.head());
    const auto keep_alive = this->reader.head().keep_alive;
    this->reader.next(status_reader_limits);
    this->begun_at = this->last_activity;
    // Reading goes on when all requests received so far have been handled.
    this->is_busy = keep_alive;
    this->stream->set_reading(!keep_alive);
    this->respond(reply, keep_alive);
    if (this->is_busy)
    {
        this->continue_later();
    }
}

auto status_session::continue_later() -> void
{
    // Posted to the event loop, so that a peer with many requests does not hold up others.
    boost::asio::post(this->stream->get_executor(),
                      [self = this->shared_from_this()] { self->on_turn(); });
}

auto status_session::on_turn() -> void
{
    if (!this->stream->is_open() || !this->is_busy ||
        this->stream->bytes_waiting() > max_unsent_bytes)
    {
        return; // on_written continues
    }
    this->is_busy = false;
    this->stream->set_reading(true);
    this->handle_next();
}

auto status_session::on_written() -> void
{
    const auto self = this->shared_from_this();
    this->last_activity = boot_clock_now();
    this->on_turn();
}

auto status_session::respond(const status_response& reply, bool keep_alive) -> void
{
    auto out = "HTTP/1.1 " + std::to_string(reply.status) + " ";
    out.append(http::reason_phrase(reply.status));
    out.append("\r\n");
    http::append_field(out, "Content-Type", reply.content_type);
    http::append_field(out, "Content-Length", std::to_string(reply.text.size()));
    if (!keep_alive)
    {
        http::append_field(out, "Connection", "close");
    }
    out.append("\r\n");
    out.append(reply.text);
    this->stream->write(std::move(out));
    if (!keep_alive)
    {
        this->stream->close_after_writing(close_linger);
        this->self_reference = nullptr;
    }
}

auto status_session::on_closed(http::close_kind) -> void
{
    const auto self = std::exchange(this->self_reference, nullptr);
}

auto status_session::close() -> void
{
    const auto self = std::exchange(this->self_reference, nullptr);
    this->stream->close();
}

auto status_session_group::accept(boost::asio::ip::tcp::socket socket,
                                  status_session::request_handler handler, time_point now)
    -> std::optional<boost::asio::ip::address>
{
    std::optional<boost::asio::ip::address> closed;
    this->remove_closed();
    if (this->connections.size() >= this->max_connections)
    {
        const auto active_at = [](const connection& one)
        {
            const auto session = one.session.lock();
            return session ? session->active_at() : one.accepted_at;
        };
        const auto oldest = std::min_element(this->connections.begin(), this->connections.end(),
                                             [&](const connection& left, const connection& right)
                                             { return active_at(left) < active_at(right); });
        closed = oldest->peer;
        close(*oldest);
        this->connections.erase(oldest);
    }
    boost::system::error_code error;
    const auto peer = socket.remote_endpoint(error).address();
    const auto session = std::make_shared<status_session>(std::move(socket), std::move(handler));
    this->connections.push_back({session->get_stream(), session, peer, now});
    session->start();
    return closed;
}

auto status_session_group::close_inactive(time_point now) -> void
{
    for (const auto& one : this->connections)
    {
        const auto session = one.session.lock();
        if (!session)
        {
            continue; // lingers for a moment after its last response
        }
        const auto begun_at = session->request_begun_at();
        if (now - session->active_at() > inactive_limit ||
            (begun_at && now - *begun_at > request_limit))
        {
            session->close();
        }
    }
    this->remove_closed();
}

auto status_session_group::remove_closed() -> void
{
    std::erase_if(this->connections,
                  [](const connection& one)
                  {
                      const auto stream = one.stream.lock();
                      return !stream || !stream->is_open();
                  });
}

auto status_session_group::close(const connection& closed) -> void
{
    if (const auto session = closed.session.lock())
    {
        session->close();
    }
    else if (const auto stream = closed.stream.lock())
    {
        stream->close();
    }
}

} // namespace poplardrift::traffic
