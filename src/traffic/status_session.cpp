#include "traffic/status_session.hpp"

#include <utility>

namespace poplardrift::traffic
{

namespace
{

constexpr duration prober_silence = std::chrono::seconds(5);
constexpr duration close_linger = std::chrono::milliseconds(500);
constexpr http::reader_limits small_requests{8'192, 65'536};

} // namespace

status_session::status_session(boost::asio::ip::tcp::socket socket, answer_function answer)
    : stream(std::make_shared<http::byte_stream>(std::move(socket), this)), reader(small_requests),
      answer(std::move(answer))
{
}

auto status_session::start() -> void
{
    this->keep = this->shared_from_this();
    this->stream->start(prober_silence);
}

auto status_session::on_bytes(std::string_view bytes) -> void
{
    const auto self = this->shared_from_this();
    this->reader.feed(bytes);
    while (this->reader.error() == http::read_error::none && this->reader.is_complete())
    {
        const auto reply = this->answer(this->reader.head());
        const auto keep_alive = this->reader.head().keep_alive;
        this->respond(reply, keep_alive);
        if (!keep_alive)
        {
            return;
        }
        this->reader.next(small_requests);
    }
    if (this->reader.error() != http::read_error::none)
    {
        this->respond({400, "malformed request\n"}, false);
    }
}

auto status_session::respond(const status_answer& reply, bool keep_alive) -> void
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
        this->keep = nullptr;
    }
}

auto status_session::on_closed(http::close_kind) -> void
{
    const auto self = std::exchange(this->keep, nullptr);
}

} // namespace poplardrift::traffic
