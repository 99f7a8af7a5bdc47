#include "poplardrift/gossip/ack_tracker.hpp"

namespace poplardrift
{

ack_tracker::ack_tracker(time_point now) : sent_times(sent_time_window), acknowledged_at(now)
{
}

auto ack_tracker::accept(const peer_message& message, incarnation_id own, time_point now,
                         bool& restarted) -> bool
{
    restarted = message.incarnation != this->peer_incarnation;
    if (restarted)
    {
        this->peer_incarnation = message.incarnation;
        this->last_received_sequence = message_sequence{};
    }
    if (message.sequence <= this->last_received_sequence)
    {
        return false;
    }
    this->last_received_sequence = message.sequence;
    this->last_received_at = now;
    // An acknowledgment for a former incarnation of this host does not cover our messages.
    const auto advances =
        message.acknowledged_incarnation == own && message.acknowledged > this->last_acknowledged;
    if (advances && message.acknowledged <= this->last_sent_sequence)
    {
        this->last_acknowledged = message.acknowledged;
        this->acknowledged_at = now;
    }
    return true;
}

auto ack_tracker::stamp(peer_message& message, time_point now) -> void
{
    this->last_sent_sequence = this->next();
    this->sent_times[this->last_sent_sequence.value() % sent_time_window] = now;
    this->last_sent_at = now;
    message.sequence = this->last_sent_sequence;
    message.acknowledged = this->last_received_sequence;
    message.acknowledged_incarnation = this->peer_incarnation;
}

auto ack_tracker::sent_at(message_sequence sequence) const -> std::optional<time_point>
{
    const auto known = sequence.value() > 0 && sequence <= this->last_sent_sequence &&
                       this->last_sent_sequence.value() - sequence.value() < sent_time_window;
    if (!known)
    {
        return std::nullopt;
    }
    return this->sent_times[sequence.value() % sent_time_window];
}

auto ack_tracker::is_one_way(duration limit, time_point now) const -> bool
{
    const auto receiving = now - this->last_received_at < limit;
    const auto unacknowledged =
        this->last_sent_sequence > this->last_acknowledged && now - this->acknowledged_at > limit;
    return receiving && unacknowledged;
}

} // namespace poplardrift
