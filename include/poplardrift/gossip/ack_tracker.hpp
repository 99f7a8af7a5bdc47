#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <optional>
#include <vector>

namespace poplardrift
{

/// Numbering and acknowledgement of the messages between this host and another one. Control thread
/// only; no call allocates after construction.
class ack_tracker final
{
public:
    explicit ack_tracker(time_point now);

    /// Takes an arriving message. False when it is a repeat or came late. `restarted` tells that it
    /// is the first of a new process.
    [[nodiscard]] auto accept(const peer_message& message, incarnation_id own, time_point now,
                              bool& restarted) -> bool;
    /// Numbers an outgoing message and fills in what it acknowledges.
    auto stamp(peer_message& message, time_point now) -> void;
    /// When message `sequence` was last_sent_sequence; nothing when it is too old to remember.
    [[nodiscard]] auto sent_at(message_sequence sequence) const -> std::optional<time_point>;
    /// Highest of our messages that the other host has.
    [[nodiscard]] auto acknowledged() const noexcept -> message_sequence
    {
        return this->last_acknowledged;
    }
    [[nodiscard]] auto last_sent() const noexcept -> time_point { return this->last_sent_at; }
    /// Number that the next message will get.
    [[nodiscard]] auto next() const noexcept -> message_sequence
    {
        return message_sequence{this->last_sent_sequence.value() + 1};
    }
    /// True when the other host is receiving but has not had our messages for `limit`.
    [[nodiscard]] auto is_one_way(duration limit, time_point now) const -> bool;
    /// The connection was dialled anew: give it time to prove itself.
    auto on_reconnect(time_point now) -> void { this->acknowledged_at = now; }

private:
    static constexpr std::size_t sent_time_window = 1024;

    message_sequence last_sent_sequence;
    std::vector<time_point> sent_times;
    time_point last_sent_at{};
    message_sequence last_acknowledged;
    time_point acknowledged_at;
    time_point last_received_at{};
    message_sequence last_received_sequence;
    incarnation_id peer_incarnation;
};

} // namespace poplardrift
