#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <optional>
#include <vector>

namespace poplardrift
{

/// Numbers the messages to one peer and tracks acknowledgments in both directions. Control thread
/// only; no call allocates after construction.
class ack_tracker final
{
public:
    explicit ack_tracker(time_point now);

    /// Processes a received message. False when it is a duplicate or out of order. Sets `restarted`
    /// when it is the first message of a new incarnation of the peer.
    [[nodiscard]] auto accept(const peer_message& message, incarnation_id own, time_point now,
                              bool& restarted) -> bool;
    /// Sets the sequence and acknowledgment of an outgoing message.
    auto stamp(peer_message& message, time_point now) -> void;
    /// Time at which message `sequence` was sent; nothing when it was not sent or is too old.
    [[nodiscard]] auto sent_at(message_sequence sequence) const -> std::optional<time_point>;
    /// Highest sequence of this host that the peer has acknowledged.
    [[nodiscard]] auto acknowledged() const noexcept -> message_sequence
    {
        return this->last_acknowledged;
    }
    [[nodiscard]] auto last_sent() const noexcept -> time_point { return this->last_sent_at; }
    /// Sequence of the next outgoing message.
    [[nodiscard]] auto next() const noexcept -> message_sequence
    {
        return message_sequence{this->last_sent_sequence.value() + 1};
    }
    /// True when messages still arrive from the peer but it has not acknowledged any further
    /// message of this host for `limit`.
    [[nodiscard]] auto is_one_way(duration limit, time_point now) const -> bool;
    /// A new connection was opened: restarts the time without acknowledgment.
    auto on_reconnect(time_point now) -> void { this->acknowledged_at = now; }

private:
    static constexpr std::size_t sent_time_window = 1024; ///< messages whose send times are kept

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
