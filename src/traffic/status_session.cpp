#include "traffic/status_session.hpp"

#include <utility>

#include <boost/asio/post.hpp>

namespace poplardrift::traffic
{

namespace
{

constexpr duration prober_ack_timeout = std::chrono::seconds(5);
constexpr duration close_linger = std::chrono::milliseconds(500);
constexpr http::reader_limits status_reader_limits{8'192, 65'536};
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
    this->stream->start(prober_ack_timeout);
}

auto status_session::on_bytes(std::string_view bytes) -> void
{
    const auto self = this->shared_from_this();
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

} // namespace poplardrift::traffic
