// Reports on roll-outs between hosts. Each host sends its own counters to all others.

#include "fleet/peer_link.hpp"

#include <algorithm>
#include <iterator>

namespace poplardrift::fleet
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::address_v4;

/// Bytes a second for reports in turn. A host may send 5 KB in all.
constexpr double bytes_per_second = 1500.0;
/// The sooner the others know of bad responses, the fewer requests reach a bad version; they have
/// to be known well within the time for a roll-back.
constexpr duration bad_response_interval = 500ms;
/// Changes of a phase are sent to all hosts this often, because single datagrams get lost.
constexpr int phase_repetitions = 3;
constexpr duration phase_interval = 100ms;

} // namespace

auto peer_link::on_rollout(const address_v4& from, rollout_message message) -> void
{
    if (this->peers.contains(from))
    {
        this->mailbox.get_rollouts().add_received(
            {{static_cast<std::uint32_t>(from.to_uint()), message.incarnation},
             std::move(message.report)});
    }
}

auto peer_link::send_rollout(const address_v4& to, const rollout::rollout_report& report,
                             bool only_bad, time_point now) -> std::size_t
{
    const auto bytes = encode_rollout({this->settings.incarnation, report},
                                      this->rollouts.next_route++, only_bad, now);
    this->send(bytes, to);
    return bytes.size();
}

auto peer_link::broadcast_rollouts(const traffic::local_rollouts& local, bool only_bad,
                                   time_point now) -> void
{
    for (const auto& [address, other] : this->peers)
    {
        for (const auto& report : local.reports)
        {
            if (this->is_alive(other, now))
            {
                this->send_rollout(address, report, only_bad, now);
            }
        }
    }
}

auto peer_link::send_rollouts_in_turn(const traffic::local_rollouts& local, time_point now) -> void
{
    auto& state = this->rollouts;
    const auto passed = std::min<duration>(now - state.credited_at, 1s);
    state.credited_at = now;
    state.credit = std::min(state.credit + bytes_per_second * to_seconds(passed), bytes_per_second);
    for (std::size_t count = 0; count < this->peers.size() && state.credit > 0.0; ++count)
    {
        auto next = this->peers.upper_bound(state.last_receiver);
        next = next == this->peers.end() ? this->peers.begin() : next;
        state.last_receiver = next->first;
        for (const auto& report : local.reports)
        {
            if (this->is_alive(next->second, now))
            {
                state.credit -=
                    static_cast<double>(this->send_rollout(next->first, report, false, now));
            }
        }
    }
}

auto peer_link::send_rollouts(time_point now) -> void
{
    auto& mailbox_part = this->mailbox.get_rollouts();
    const auto is_any_alive =
        std::any_of(this->peers.begin(), this->peers.end(),
                    [&](const auto& item) { return this->is_alive(item.second, now); });
    mailbox_part.set_isolated(!this->peers.empty() && !is_any_alive);
    const auto local = mailbox_part.get_local();
    if (local.reports.empty())
    {
        return;
    }
    auto& state = this->rollouts;
    if (state.phase_changes != local.phase_changes)
    {
        state.phase_changes = local.phase_changes;
        state.repetitions_left = phase_repetitions;
        state.next_broadcast_at = now;
    }
    if (state.repetitions_left > 0 && now >= state.next_broadcast_at)
    {
        --state.repetitions_left;
        state.next_broadcast_at = now + phase_interval;
        this->broadcast_rollouts(local, true, now);
        state.bad_sent_at = now;
        state.bad_responses = local.bad_responses;
    }
    if (state.bad_responses != local.bad_responses &&
        now - state.bad_sent_at >= bad_response_interval)
    {
        state.bad_sent_at = now;
        state.bad_responses = local.bad_responses;
        this->broadcast_rollouts(local, true, now);
    }
    this->send_rollouts_in_turn(local, now);
}

} // namespace poplardrift::fleet
