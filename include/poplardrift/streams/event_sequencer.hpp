#pragma once

#include "poplardrift/streams/sse_splitter.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplardrift
{

/// Puts the events of one answer into their order: each once, none missing, none of another answer.
/// Goes on over several connections, as when a stream is resumed. One thread at a time.
class event_sequencer final
{
public:
    /// Takes an event and returns the raw bytes of those that are now due, in order. The views in
    /// `due` stand until the next call.
    auto add_event(const sse_event& event, std::vector<std::string_view>& due) -> void;

    /// A new connection goes on with the answer; its events carry a completion id of their own.
    auto start_connection() -> void;

    /// Number of the last event handed out; zero: none.
    [[nodiscard]] auto last() const noexcept -> std::uint64_t { return this->last_sequence; }
    /// True when the end of the answer has been handed out.
    [[nodiscard]] auto is_complete() const noexcept -> bool { return this->complete; }
    /// True when events carry numbers, so that the answer can be resumed.
    [[nodiscard]] auto is_numbered() const noexcept -> bool { return this->numbered; }
    /// True when more events wait for a missing one than are ever held.
    [[nodiscard]] auto has_lost_event() const noexcept -> bool
    {
        return this->buffered.size() >= max_buffered_events;
    }
    /// The answer's text so far, JSON-escaped, for going on at another engine.
    [[nodiscard]] auto text() const -> const std::string& { return this->answer_text; }
    /// Events dropped because they were repeats or belonged to another answer.
    [[nodiscard]] auto dropped() const noexcept -> std::uint64_t { return this->dropped_count; }

private:
    static constexpr std::size_t max_buffered_events = 64;

    auto release_event(const sse_event& event, std::vector<std::string_view>& due) -> void;
    [[nodiscard]] auto is_from_other_completion(const sse_event& event) -> bool;

    std::uint64_t last_sequence = 0;
    bool numbered = false;
    bool complete = false;
    std::string completion_id; ///< of this connection
    std::string answer_text;
    std::map<std::uint64_t, std::string> buffered; ///< came before their turn
    std::vector<std::string> released;             ///< keeps the bytes of `due`
    std::uint64_t dropped_count = 0;
};

} // namespace poplardrift
