#pragma once

#include "poplardrift/streams/sse_splitter.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplardrift
{

/// Restores the order of the events of one response and drops duplicates and events of other
/// responses. A response may span several connections when its stream is resumed. Not thread-safe.
class event_sequencer final
{
public:
    /// Adds an event and appends the raw bytes of the events that are now due to `due`, in order.
    /// The views are valid until the next call, and while the event's own bytes are.
    auto add_event(const sse_event& event, std::vector<std::string_view>& due) -> void;

    /// Call when a new connection resumes the response. Its events have another completion id.
    auto start_connection() -> void;

    /// Sequence number of the last event released; zero: none.
    [[nodiscard]] auto last() const noexcept -> std::uint64_t { return this->last_sequence; }
    /// True when the final event has been released.
    [[nodiscard]] auto is_complete() const noexcept -> bool { return this->complete; }
    /// True when events have sequence numbers, so that the response can be resumed.
    [[nodiscard]] auto is_numbered() const noexcept -> bool { return this->numbered; }
    /// True when the reorder buffer is full, so the missing event counts as lost.
    [[nodiscard]] auto has_lost_event() const noexcept -> bool
    {
        return this->buffered.size() >= max_buffered_events;
    }
    /// The response's text so far, JSON-escaped, for continuing at another engine.
    [[nodiscard]] auto text() const -> const std::string& { return this->answer_text; }
    /// Number of events dropped as duplicates or as parts of another response.
    [[nodiscard]] auto dropped() const noexcept -> std::uint64_t { return this->dropped_count; }

private:
    static constexpr std::size_t max_buffered_events = 64;

    auto release_event(const sse_event& event, std::vector<std::string_view>& due) -> void;
    [[nodiscard]] auto is_from_other_completion(const sse_event& event) -> bool;

    std::uint64_t last_sequence = 0;
    bool numbered = false;
    bool complete = false;
    std::string completion_id; ///< of the current connection
    std::string answer_text;
    std::map<std::uint64_t, std::string> buffered; ///< received out of order, by sequence number
    std::vector<std::string> released;             ///< storage of views in `due`
    std::uint64_t dropped_count = 0;
};

} // namespace poplardrift
