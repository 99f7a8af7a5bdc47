#include "poplardrift/gossip/peer_link.hpp"

namespace poplardrift
{

peer_link::peer_link(time_point now) : sent_times(remembered), acknowledged_at(now)
{
}

auto peer_link::accept(const peer_message& message, incarnation_id own, time_point now,
                       bool& restarted) -> bool
{
    restarted = message.incarnation != this->received_incarnation;
    if (restarted)
    {
        this->received_incarnation = message.incarnation;
        this->received = message_sequence{};
    }
    if (message.sequence <= this->received)
    {
        return false;
    }
    this->received = message.sequence;
    this->heard_at = now;
    // An acknowledgement of a former process of this host says nothing about our messages.
    const auto news =
        message.acknowledged_incarnation == own && message.acknowledged > this->last_acknowledged;
    if (news && message.acknowledged <= this->sent)
    {
        this->last_acknowledged = message.acknowledged;
        this->acknowledged_at = now;
    }
    return true;
}

auto peer_link::stamp(peer_message& message, time_point now) -> void
{
    this->sent = this->next();
    this->sent_times[this->sent.value() % remembered] = now;
    this->last_sent_at = now;
    message.sequence = this->sent;
    message.acknowledged = this->received;
    message.acknowledged_incarnation = this->received_incarnation;
}

auto peer_link::sent_at(message_sequence sequence) const -> std::optional<time_point>
{
    const auto known = sequence.value() > 0 && sequence <= this->sent &&
                       this->sent.value() - sequence.value() < remembered;
    if (!known)
    {
        return std::nullopt;
    }
    return this->sent_times[sequence.value() % remembered];
}

auto peer_link::is_one_way(duration limit, time_point now) const -> bool
{
    const auto heard = now - this->heard_at < limit;
    const auto unanswered =
        this->sent > this->last_acknowledged && now - this->acknowledged_at > limit;
    return heard && unanswered;
}

} // namespace poplardrift
