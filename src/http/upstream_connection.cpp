#include "http/upstream_connection.hpp"

#include "net/clock.hpp"

#include <utility>

namespace poplardrift::http
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

/// Maximum number of stale responses skipped for one request; with more, the request fails as
/// malformed.
constexpr int max_stale_responses = 3;

auto keep_alive_of(const response_head& head) -> std::optional<std::uint64_t>
{
    constexpr std::string_view label = "timeout=";
    const auto value = head.fields.find("Keep-Alive");
    if (!value || value->find(label) == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto text = value->substr(value->find(label) + label.size());
    return parse_number(text.substr(0, text.find_first_of(", ;")));
}

} // namespace

upstream_connection::upstream_connection(asio::io_context& io, endpoint to,
                                         connection_settings settings)
    : io(io), to(std::move(to)), settings(settings), timer(io)
{
}

auto upstream_connection::send(upstream_request next_request, response_receiver* next_receiver)
    -> void
{
    this->request = std::move(next_request);
    this->receiver = next_receiver;
    this->head_delivered = false;
    this->reusable = false;
    this->stale_responses = 0;
    if (this->stream)
    {
        this->transmit();
        return;
    }
    this->connect();
}

auto upstream_connection::connect() -> void
{
    this->connecting = std::make_shared<asio::ip::tcp::socket>(this->io);
    auto self = this->shared_from_this();
    this->timer.expires_after(this->settings.connect_timeout);
    this->timer.async_wait(
        [self](const error_code& error)
        {
            if (!error && self->connecting)
            {
                self->fail(transport_failure::not_connected);
            }
        });
    this->connecting->async_connect(this->to,
                                    [self, socket = this->connecting](const error_code& error)
                                    {
                                        if (!self->connecting)
                                        {
                                            return; // timed out or abandoned
                                        }
                                        self->timer.cancel();
                                        if (error)
                                        {
                                            self->fail(transport_failure::not_connected);
                                            return;
                                        }
                                        self->connecting.reset();
                                        self->established_at = boot_clock_now();
                                        self->stream = std::make_shared<byte_stream>(
                                            std::move(*socket), self.get());
                                        self->stream->start(self->settings.peer_timeout);
                                        self->transmit();
                                    });
}

auto upstream_connection::transmit() -> void
{
    this->reader.next(this->request.is_head_request);
    auto bytes = std::exchange(this->request.head, {});
    bytes.append(std::exchange(this->request.body, {}));
    this->stream->write(std::move(bytes));
    if (auto shared = std::exchange(this->request.shared_body, nullptr))
    {
        this->stream->write(std::move(shared));
    }
    if (this->receiver != nullptr)
    {
        this->receiver->on_request_sent();
    }
}

auto upstream_connection::on_bytes(std::string_view bytes) -> void
{
    const auto self = this->shared_from_this();
    if (this->receiver == nullptr)
    {
        // Unsolicited bytes: a second response, or garbage after a complete one.
        this->abandon();
        return;
    }
    this->reader.feed(bytes);
    this->deliver();
}

auto upstream_connection::is_expected_response() const -> bool
{
    if (this->request.echo_field.empty())
    {
        return true;
    }
    const auto echoed = this->reader.head().fields.find(this->request.echo_field);
    // Without the field, a response on a reused connection may be a late copy of an earlier one.
    return echoed ? *echoed == this->request.echo_value : !this->peer_echoes;
}

auto upstream_connection::skip_stale_response() -> bool
{
    ++this->stale_responses;
    this->reader.next(this->request.is_head_request);
    return this->stale_responses <= max_stale_responses;
}

auto upstream_connection::deliver() -> void
{
    while (this->receiver != nullptr)
    {
        if (this->reader.error() != read_error::none)
        {
            this->fail(transport_failure::malformed);
            return;
        }
        if (!this->reader.has_head())
        {
            return;
        }
        if (!this->head_delivered && !this->is_expected_response())
        {
            if (!this->reader.is_complete())
            {
                static_cast<void>(this->reader.take_body());
                return;
            }
            if (!this->skip_stale_response())
            {
                this->fail(transport_failure::malformed);
                return;
            }
            continue;
        }
        if (!this->head_delivered)
        {
            this->head_delivered = true;
            this->keep_alive = keep_alive_of(this->reader.head());
            this->receiver->on_response_head(this->reader.head());
            continue;
        }
        if (auto body = this->reader.take_body(); !body.empty())
        {
            this->receiver->on_response_body(std::move(body));
            continue;
        }
        if (this->reader.is_complete())
        {
            this->deliver_end();
        }
        return;
    }
}

auto upstream_connection::deliver_end() -> void
{
    ++this->completed_responses;
    const auto& head = this->reader.head();
    this->peer_echoes = this->peer_echoes || (!this->request.echo_field.empty() &&
                                              head.fields.find(this->request.echo_field));
    const auto written = this->stream && this->stream->bytes_waiting() == 0;
    // Not reusable if the response came before the whole request was written, as the rest of its
    // body is still being sent; if there are bytes ahead, which belong to no request; or after
    // stale responses, as the upstream's response order is unreliable.
    this->reusable = this->stream && this->stream->is_open() && written && head.keep_alive &&
                     head.framing != body_framing::until_close && this->reader.bytes_ahead() == 0 &&
                     this->stale_responses == 0;
    auto* const recipient = std::exchange(this->receiver, nullptr);
    if (!this->reusable)
    {
        this->abandon();
    }
    recipient->on_response_end();
}

auto upstream_connection::on_closed(close_kind kind) -> void
{
    const auto self = this->shared_from_this();
    this->ended = true;
    this->reusable = false;
    if (this->receiver == nullptr)
    {
        return;
    }
    if (kind == close_kind::end_of_stream)
    {
        this->reader.feed_end();
        if (this->reader.is_complete())
        {
            this->deliver();
        }
    }
    this->fail(kind == close_kind::peer_timeout ? transport_failure::peer_timeout
                                                : transport_failure::broken);
}

auto upstream_connection::fail(transport_failure failure) -> void
{
    auto* const recipient = std::exchange(this->receiver, nullptr);
    const auto self = this->shared_from_this();
    this->abandon();
    if (recipient != nullptr)
    {
        recipient->on_response_failed(failure);
    }
}

auto upstream_connection::abandon() -> void
{
    this->receiver = nullptr;
    this->ended = true;
    this->reusable = false;
    this->timer.cancel();
    if (this->connecting)
    {
        error_code ignored;
        auto socket = std::exchange(this->connecting, nullptr);
        socket->close(ignored);
    }
    if (this->stream)
    {
        this->stream->close();
    }
}

auto upstream_connection::set_reading(bool wanted) -> void
{
    if (this->stream)
    {
        this->stream->set_reading(wanted);
    }
}

auto upstream_connection::is_reusable() const -> bool
{
    return this->reusable && !this->ended;
}

} // namespace poplardrift::http
