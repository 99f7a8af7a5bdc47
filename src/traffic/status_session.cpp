#include "traffic/status_session.hpp"

#include <utility>

namespace poplardrift::traffic
{

namespace
{

constexpr duration prober_ack_timeout = std::chrono::seconds(5);
constexpr duration close_linger = std::chrono::milliseconds(500);
constexpr http::reader_limits status_reader_limits{8'192, 65'536};

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
    while (this->reader.error() == http::read_error::none && this->reader.is_complete())
    {
        const auto reply = this->handler(this->reader.head());
        const auto keep_alive = this->reader.head().keep_alive;
        this->respond(reply, keep_alive);
        if (!keep_alive)
        {
            return;
        }
        this->reader.next(status_reader_limits);
    }
    if (this->reader.error() != http::read_error::none)
    {
        this->respond({400, "malformed request\n"}, false);
    }
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
