#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplardrift
{

/// One server-sent event as received.
struct sse_event
{
    std::string_view raw;                  ///< all bytes, including the blank line at the end
    std::string_view data;                 ///< value of its first data line
    std::optional<std::uint64_t> sequence; ///< number in its id line, if present

    /// False for blank lines and comments, which only keep a connection open.
    [[nodiscard]] auto has_content() const -> bool
    {
        return this->sequence.has_value() || !this->data.empty();
    }
};

/// Splits a byte stream into server-sent events (the WHATWG text/event-stream format). Returned
/// views are valid until the next call to feed. Linear in the number of bytes. Not thread-safe.
class sse_splitter final
{
public:
    static constexpr std::size_t default_max_event_bytes = 1 << 20;

    /// `max_event_bytes` is the size above which is_oversized reports an incomplete event.
    explicit sse_splitter(std::size_t max_event_bytes = default_max_event_bytes)
        : max_event_bytes(max_event_bytes)
    {
    }

    auto feed(std::string_view bytes) -> void;
    /// The next complete event; nullopt when more bytes are needed.
    [[nodiscard]] auto next() -> std::optional<sse_event>;
    /// True when bytes of an incomplete event are buffered.
    [[nodiscard]] auto has_partial_event() const -> bool
    {
        return this->start < this->buffer.size();
    }
    /// True when the buffered bytes exceed the size limit of an event.
    [[nodiscard]] auto is_oversized() const -> bool
    {
        return this->buffer.size() - this->start > this->max_event_bytes;
    }

private:
    /// Position after the blank line that ends the next event; npos when it has not arrived.
    auto find_event_end() -> std::size_t;

    std::size_t max_event_bytes;
    std::string buffer;
    std::size_t start = 0;    ///< first byte not yet returned in an event
    std::size_t searched = 0; ///< where the search goes on: no event ends between `start` and here
};

/// True for the final event of a chat completion stream.
[[nodiscard]] auto is_done_event(const sse_event& event) -> bool;
/// The value of the first string member of this name in a JSON text, still escaped; empty when
/// absent. For the few members that the hot path needs, without parsing the whole document.
[[nodiscard]] auto find_string_member(std::string_view json, std::string_view quoted_name)
    -> std::string_view;

} // namespace poplardrift
