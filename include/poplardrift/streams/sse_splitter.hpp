#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplardrift
{

/// One server-sent event as it arrived.
struct sse_event
{
    std::string_view raw;                  ///< all its bytes with the blank line that ends it
    std::string_view data;                 ///< value of its first data line
    std::optional<std::uint64_t> sequence; ///< number in its id line, if there is one
};

/// Cuts a byte stream into server-sent events (the WHATWG text/event-stream format). Views that it
/// returns stand until the next call. One thread at a time; cost is linear in the bytes.
class sse_splitter final
{
public:
    /// An event larger than this breaks the stream.
    explicit sse_splitter(std::size_t max_event_bytes = 1 << 20) : max_event_bytes(max_event_bytes)
    {
    }

    auto feed(std::string_view bytes) -> void;
    /// The next whole event; nothing until more bytes come.
    [[nodiscard]] auto next() -> std::optional<sse_event>;
    /// True when bytes of an event without its end are left.
    [[nodiscard]] auto has_partial_event() const -> bool
    {
        return this->start < this->buffer.size();
    }
    /// True when an event has grown past the limit.
    [[nodiscard]] auto is_oversized() const -> bool
    {
        return this->buffer.size() - this->start > this->max_event_bytes;
    }

private:
    std::size_t max_event_bytes;
    std::string buffer;
    std::size_t start = 0;    ///< first byte not handed out
    std::size_t searched = 0; ///< up to here there is no end of an event
};

/// True for the event that ends a chat completion's stream.
[[nodiscard]] auto is_done_event(const sse_event& event) -> bool;
/// The value of a JSON string member as it stands in a text, still escaped; empty when absent. For
/// the few members that the hot path needs, without parsing the whole document.
[[nodiscard]] auto find_string_member(std::string_view json, std::string_view quoted_name)
    -> std::string_view;

} // namespace poplardrift
