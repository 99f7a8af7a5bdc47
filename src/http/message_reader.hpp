#pragma once

#include "http/message.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace poplardrift::http
{

/// Why a reader rejected its input.
enum class read_error : std::uint8_t
{
    none,
    malformed,          ///< not HTTP/1, or framing that is ambiguous
    head_too_large,     ///< head exceeds its limit
    body_too_large,     ///< body exceeds its limit
    unsupported_coding, ///< a transfer coding other than chunked
};

/// Maximum sizes of the parts of a message.
struct reader_limits
{
    std::size_t head_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
};

/// Incremental parser for a sequence of HTTP/1.x requests. Framing is strict: multiple lengths, a
/// length together with a transfer coding, or an unsupported coding are errors. Trailers are read
/// and dropped. Not thread-safe.
class request_reader final
{
public:
    explicit request_reader(reader_limits limits);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    auto operator=(request_reader&&) noexcept -> request_reader&;

    /// Parses bytes. Bytes after the end of the message are buffered for the next one.
    auto feed(std::string_view bytes) -> void;
    /// Starts the next message and parses the bytes already buffered.
    auto next(reader_limits limits) -> void;

    [[nodiscard]] auto error() const -> read_error;
    [[nodiscard]] auto has_head() const -> bool;
    [[nodiscard]] auto is_complete() const -> bool;
    /// True when any byte of the current message has been received.
    [[nodiscard]] auto has_begun() const -> bool;
    /// Number of bytes buffered for the next message.
    [[nodiscard]] auto bytes_ahead() const -> std::size_t;
    [[nodiscard]] auto head() const -> const request_head&;
    /// Bytes of the body read so far and not yet taken.
    [[nodiscard]] auto body_size() const -> std::size_t;
    /// Memory taken by the body read so far. It is smaller than the body's capacity when that is
    /// large: the system provides pages of large blocks only when they are written.
    [[nodiscard]] auto body_memory() const -> std::size_t;
    /// Memory taken by all else that has been read.
    [[nodiscard]] auto other_memory() const -> std::size_t;
    /// Returns the body read so far and clears it; the whole body once the message is complete.
    [[nodiscard]] auto take_body() -> std::string;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// Incremental parser for HTTP/1.x responses. Interim responses (1xx) are skipped, as long as they
/// are together no larger than one head may be. Malformed is also what a server must not send but
/// the parser would read: fields that continue on a further line (obs-fold), in a head or among
/// trailers (RFC 9112, section 5.2, allows a gateway to reject them), a transfer coding of HTTP/1.0
/// (section 6.1), a body that is announced with status 1xx or 204, and control bytes in chunk
/// extensions. Not thread-safe.
class response_reader final
{
public:
    response_reader();
    ~response_reader();
    response_reader(response_reader&&) noexcept;
    auto operator=(response_reader&&) noexcept -> response_reader&;

    /// Starts the next response and parses the bytes already buffered. A response to a HEAD request
    /// has no body.
    auto next(bool to_head_request) -> void;
    auto feed(std::string_view bytes) -> void;
    /// Call when the peer has closed its side cleanly. Completes a body framed by the end of the
    /// connection; any other incomplete message is malformed.
    auto feed_end() -> void;

    [[nodiscard]] auto error() const -> read_error;
    [[nodiscard]] auto has_begun() const -> bool;
    [[nodiscard]] auto has_head() const -> bool;
    [[nodiscard]] auto is_complete() const -> bool;
    /// Number of bytes received after the end of the response.
    [[nodiscard]] auto bytes_ahead() const -> std::size_t;
    [[nodiscard]] auto head() const -> const response_head&;
    /// Body bytes received since the last call.
    [[nodiscard]] auto take_body() -> std::string;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace poplardrift::http
