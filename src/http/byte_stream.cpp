#include "http/byte_stream.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdlib>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace poplardrift::http
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t read_buffer_bytes = 65'536; ///< maximum size of one read
constexpr int keep_alive_probes = 3; ///< unanswered probes before the connection counts as broken

auto read_buffer() -> std::array<char, read_buffer_bytes>&
{
    thread_local std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

auto set_option(int socket, int level, int name, int value) -> void
{
    // Failure is harmless: without the option, the callers' timeouts still apply.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof value));
}

auto to_close_kind(const error_code& error) -> close_kind
{
    const auto is_timeout =
        error == asio::error::timed_out || error == asio::error::host_unreachable;
    return is_timeout ? close_kind::peer_timeout : close_kind::broken;
}

auto set_peer_timeout(int socket, duration limit) -> void
{
    const auto milliseconds =
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    const auto seconds = std::max(1, milliseconds / 1000 / keep_alive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

/// True if the peer has ended its sending side and the connection is otherwise intact. After a
/// reset or another error the connection is closed (TCP_CLOSE), even if the peer had ended its side
/// before.
auto is_half_closed_by_peer(int socket) -> bool
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace

byte_stream::byte_stream(asio::ip::tcp::socket socket, stream_listener* listener)
    : socket(std::move(socket)), listener(listener)
{
}

auto byte_stream::start(duration peer_timeout) -> void
{
    error_code ignored;
    this->socket.non_blocking(true, ignored);
    set_option(this->socket.native_handle(), IPPROTO_TCP, TCP_NODELAY, 1);
    set_peer_timeout(this->socket.native_handle(), peer_timeout);
    this->wait_readable();
}

auto byte_stream::wait_readable() -> void
{
    if (this->read_pending || !this->reading || this->end_awaits_write || !this->socket.is_open())
    {
        return;
    }
    this->read_pending = true;
    this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                            [self = this->shared_from_this()](const error_code& error)
                            {
                                self->read_pending = false;
                                if (!error && self->reading)
                                {
                                    static_cast<void>(self->read_available());
                                }
                            });
}

auto byte_stream::read_available() -> bool
{
    if (!this->socket.is_open())
    {
        return false;
    }
    error_code error;
    auto& buffer = read_buffer();
    const auto count = this->socket.read_some(asio::buffer(buffer, this->read_limit), error);
    if (error == asio::error::would_block || error == asio::error::interrupted)
    {
        this->wait_readable();
        return false;
    }
    if (error == asio::error::eof)
    {
        this->on_end_of_stream();
        return false;
    }
    if (error)
    {
        this->fail(to_close_kind(error));
        return false;
    }
    if (!this->closing && this->listener != nullptr)
    {
        this->listener->on_bytes(std::string_view(buffer.data(), count));
    }
    this->wait_readable();
    return true;
}

auto byte_stream::on_end_of_stream() -> void
{
    // The write in progress may have taken an error off the socket that its handler has not
    // reported yet.
    const auto may_hide_error = this->writing && !this->closing && !this->end_after_write_failure;
    if (may_hide_error && !is_half_closed_by_peer(this->socket.native_handle()))
    {
        this->end_awaits_write = true;
        return;
    }
    this->fail(this->end_after_write_failure.value_or(close_kind::end_of_stream));
}

auto byte_stream::set_reading(bool wanted) -> void
{
    this->reading = wanted;
    this->wait_readable();
}

auto byte_stream::write(std::string bytes) -> void
{
    if (!this->socket.is_open() || this->closing)
    {
        return;
    }
    if (this->shared_waiting)
    {
        this->waiting.append(*std::exchange(this->shared_waiting, nullptr));
    }
    if (this->waiting.empty())
    {
        this->waiting = std::move(bytes);
    }
    else
    {
        this->waiting.append(bytes);
    }
    this->flush();
}

auto byte_stream::write(std::shared_ptr<const std::string> bytes) -> void
{
    if (!this->socket.is_open() || this->closing)
    {
        return;
    }
    if (this->shared_waiting)
    {
        this->write(std::string(*bytes));
        return;
    }
    this->shared_waiting = std::move(bytes);
    this->flush();
}

auto byte_stream::flush() -> void
{
    if (this->writing || (this->waiting.empty() && !this->shared_waiting) ||
        !this->socket.is_open())
    {
        return;
    }
    this->in_write = std::exchange(this->waiting, {});
    this->shared_in_write = std::exchange(this->shared_waiting, nullptr);
    this->writing = true;
    const auto shared =
        this->shared_in_write ? asio::buffer(*this->shared_in_write) : asio::const_buffer();
    asio::async_write(this->socket,
                      std::array{asio::const_buffer(asio::buffer(this->in_write)), shared},
                      [self = this->shared_from_this()](const error_code& error, std::size_t count)
                      { self->on_flushed(error, count); });
}

auto byte_stream::on_flushed(const error_code& error, std::size_t) -> void
{
    this->writing = false;
    this->in_write = {}; // its memory too, so that an idle connection needs little
    this->shared_in_write = nullptr;
    if (error)
    {
        this->on_write_failed(error);
        return;
    }
    this->flush();
    if (this->writing)
    {
        return;
    }
    if (this->closing)
    {
        this->finish_closing();
    }
    else if (std::exchange(this->end_awaits_write, false))
    {
        static_cast<void>(this->read_available());
    }
    else if (this->listener != nullptr)
    {
        this->listener->on_written();
    }
}

auto byte_stream::on_write_failed(const error_code& error) -> void
{
    // The failed write has taken the error off the socket: reads return the end of the stream now,
    // whatever has happened. The error is a broken pipe only if the peer had ended its side before.
    this->end_after_write_failure =
        error == asio::error::broken_pipe ? close_kind::end_of_stream : to_close_kind(error);
    // The peer may have sent a response before it stopped reading.
    while (this->read_available() && this->reading)
    {
    }
    this->fail(to_close_kind(error));
}

auto byte_stream::fail(close_kind kind) -> void
{
    if (!this->socket.is_open())
    {
        return;
    }
    auto* const recipient = std::exchange(this->listener, nullptr);
    const auto self = this->shared_from_this();
    this->close();
    if (recipient != nullptr)
    {
        recipient->on_closed(kind);
    }
}

auto byte_stream::close() -> void
{
    this->listener = nullptr;
    error_code ignored;
    this->socket.close(ignored);
    this->waiting = {};
    this->shared_waiting = nullptr;
    this->kept_until_written = nullptr;
    this->kept_until_closed = nullptr;
}

auto byte_stream::reset() -> void
{
    error_code ignored; // the socket is closed even if the option fails
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->close();
}

auto byte_stream::close_after_writing(duration linger_time) -> void
{
    if (!this->socket.is_open() || this->closing)
    {
        return;
    }
    this->listener = nullptr;
    this->closing = true;
    this->linger = linger_time;
    // Reading continues: closing with unread bytes would send a reset.
    this->set_reading(true);
    if (!this->writing)
    {
        this->finish_closing();
    }
}

auto byte_stream::finish_closing() -> void
{
    this->kept_until_written = nullptr;
    error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    auto timer = std::make_shared<asio::steady_timer>(this->socket.get_executor(), this->linger);
    timer->async_wait([self = this->shared_from_this(), timer](const error_code&)
                      { self->close(); });
}

} // namespace poplardrift::http
