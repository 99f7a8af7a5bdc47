#pragma once

#include "http/message.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace poplardrift::http
{

/// Why a reader refused its input.
enum class read_error : std::uint8_t
{
    none,
    malformed,          ///< not HTTP/1, or framing that is ambiguous
    head_too_large,     ///< head beyond its limit
    body_too_large,     ///< body beyond its limit
    unsupported_coding, ///< a transfer coding other than chunked
};

/// Sizes beyond which a message is refused.
struct reader_limits
{
    std::size_t head_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
};

/// Reads HTTP/1.1 requests, one after the other, from bytes in pieces of any size. Framing is
/// strict: two lengths, a length beside a coding, or an unknown coding are malformed. Trailers are
/// read and dropped. One thread at a time.
class request_reader final
{
public:
    explicit request_reader(reader_limits limits);
    ~request_reader();
    request_reader(request_reader&&) noexcept;
    auto operator=(request_reader&&) noexcept -> request_reader&;

    /// Takes bytes in. Bytes after the end of the message are kept for the next one.
    auto feed(std::string_view bytes) -> void;
    /// Goes on to the next message; bytes that are already there are read at once.
    auto next(reader_limits limits) -> void;

    [[nodiscard]] auto error() const -> read_error;
    [[nodiscard]] auto has_head() const -> bool;
    [[nodiscard]] auto is_complete() const -> bool;
    /// True when any byte of the present message has arrived.
    [[nodiscard]] auto has_begun() const -> bool;
    /// Bytes kept for the next message.
    [[nodiscard]] auto bytes_ahead() const -> std::size_t;
    [[nodiscard]] auto head() const -> const request_head&;
    /// The whole body once the message is complete; empties the reader's copy.
    [[nodiscard]] auto take_body() -> std::string;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

/// Reads one HTTP/1.1 response. Interim responses (1xx) are passed over.
class response_reader final
{
public:
    response_reader();
    ~response_reader();
    response_reader(response_reader&&) noexcept;
    auto operator=(response_reader&&) noexcept -> response_reader&;

    /// Prepares for the next response; bytes ahead are kept and read. A response to HEAD has no
    /// body.
    auto next(bool to_head_request) -> void;
    auto feed(std::string_view bytes) -> void;
    /// The peer has closed its side in order. Ends a body that runs until the connection closes.
    auto feed_end() -> void;

    [[nodiscard]] auto error() const -> read_error;
    [[nodiscard]] auto has_begun() const -> bool;
    [[nodiscard]] auto has_head() const -> bool;
    [[nodiscard]] auto is_complete() const -> bool;
    /// Bytes that came after the end of the response.
    [[nodiscard]] auto bytes_ahead() const -> std::size_t;
    [[nodiscard]] auto head() const -> const response_head&;
    /// Body bytes that have come since the last call.
    [[nodiscard]] auto take_body() -> std::string;

private:
    class implementation;
    std::unique_ptr<implementation> self;
};

} // namespace poplardrift::http
