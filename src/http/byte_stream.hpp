#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "poplardrift/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace poplardrift::http
{

/// How a connection ended.
enum class close_kind : std::uint8_t
{
    end_of_stream, ///< the peer closed its side cleanly
    broken,        ///< reset or another error
    peer_timeout,  ///< the peer acknowledged nothing for too long
};

/// Receives the events of a connection. Callbacks run on the connection's thread and never inside a
/// call that the listener made.
class stream_listener
{
public:
    stream_listener() = default;
    stream_listener(const stream_listener&) = delete;
    auto operator=(const stream_listener&) -> stream_listener& = delete;
    virtual ~stream_listener() = default;

    virtual auto on_bytes(std::string_view bytes) -> void = 0;
    virtual auto on_closed(close_kind kind) -> void = 0;
    /// All queued bytes have been passed to the kernel.
    virtual auto on_written() -> void = 0;
};

/// A connected non-blocking TCP socket with an ordered write queue. All connections of a thread
/// share one read buffer, so an idle connection needs little memory. Not thread-safe.
class byte_stream final : public std::enable_shared_from_this<byte_stream>
{
public:
    byte_stream(boost::asio::ip::tcp::socket socket, stream_listener* listener);

    /// Sets the options of a connected socket and starts reading. A peer that acknowledges nothing
    /// for `peer_timeout` counts as broken, also while the connection is idle.
    auto start(duration peer_timeout) -> void;
    /// Queues bytes.
    auto write(std::string bytes) -> void;
    /// Queues bytes without a copy of them. They are written after those of earlier calls and
    /// before those of later ones.
    auto write(std::shared_ptr<const std::string> bytes) -> void;
    /// Keeps an object until the socket is closed, such as its share of the process's descriptors.
    auto keep_until_closed(std::shared_ptr<void> object) -> void
    {
        this->kept_until_closed = std::move(object);
    }
    /// Keeps an object until all queued bytes have been passed to the kernel or the socket is
    /// closed. Call before close_after_writing.
    auto keep_until_written(std::shared_ptr<void> object) -> void
    {
        this->kept_until_written = std::move(object);
    }
    /// Pauses or resumes reading. While paused, the end of the connection is not detected.
    auto set_reading(bool wanted) -> void;
    /// Most bytes that one read delivers, so that a peer cannot make its reader hold more than it
    /// can use.
    auto set_read_limit(std::size_t bytes) -> void { this->read_limit = bytes; }
    /// Delivers bytes that have arrived but have not been read yet.
    auto poll() -> void { static_cast<void>(this->read_available()); }
    /// Closes immediately. The listener is not called again.
    auto close() -> void;
    /// Closes immediately with a reset, so that the peer cannot mistake it for the end of a
    /// message.
    auto reset() -> void;
    /// Sends the queued bytes, shuts down the sending side, and closes once the peer has closed or
    /// `linger` has passed.
    auto close_after_writing(duration linger) -> void;

    [[nodiscard]] auto is_open() const -> bool { return this->socket.is_open(); }
    [[nodiscard]] auto get_executor() -> boost::asio::any_io_executor
    {
        return this->socket.get_executor();
    }
    /// Bytes not yet passed to the kernel.
    [[nodiscard]] auto bytes_waiting() const -> std::size_t
    {
        return this->in_write.size() + this->waiting.size() +
               (this->shared_in_write ? this->shared_in_write->size() : 0) +
               (this->shared_waiting ? this->shared_waiting->size() : 0);
    }
    /// Memory taken by the write queue, without shared bytes.
    [[nodiscard]] auto allocated_bytes() const -> std::size_t
    {
        return this->in_write.capacity() + this->waiting.capacity();
    }

private:
    auto wait_readable() -> void;
    /// Reads once. True if bytes were delivered.
    auto read_available() -> bool;
    /// Reads return the end of the stream also after a write has taken a reset off the socket.
    /// While a write is in progress, the end counts only if the connection's state shows it; else
    /// it is decided by what the write reports.
    auto on_end_of_stream() -> void;
    auto flush() -> void;
    auto on_flushed(const boost::system::error_code& error, std::size_t written) -> void;
    auto on_write_failed(const boost::system::error_code& error) -> void;
    auto fail(close_kind kind) -> void;
    auto finish_closing() -> void;

    boost::asio::ip::tcp::socket socket;
    stream_listener* listener;
    std::string in_write;
    std::string waiting;
    std::shared_ptr<const std::string> shared_in_write;
    std::shared_ptr<const std::string> shared_waiting; ///< to be written after `waiting`
    std::shared_ptr<void> kept_until_closed;
    std::shared_ptr<void> kept_until_written;
    std::size_t read_limit = static_cast<std::size_t>(-1);
    /// How the connection ended if reading reaches its end after a write has failed.
    std::optional<close_kind> end_after_write_failure;
    bool writing = false;
    bool reading = true;
    bool read_pending = false;
    bool end_awaits_write = false; ///< the end was read; its kind depends on the write in progress
    bool closing = false;
    duration linger{};
};

} // namespace poplardrift::http
