// Evidence on prompt parts between hosts. Each host passes on what it has received, so that
// evidence reaches hosts of other cells, and hosts that start later, from any host that has it.

#include "fleet/peer_link.hpp"

#include "net/clock.hpp"

#include <algorithm>
#include <utility>

namespace poplardrift::fleet
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::address_v4;

/// Most parts in one datagram, which has to fit into one packet: a part with all its marks takes
/// up to 160 bytes.
constexpr std::size_t max_parts_per_datagram = 7;
/// Of these, the ones at the front are sent each time, the others in turn.
constexpr std::size_t parts_in_each_datagram = 3;
/// Time between repeats of evidence without recent changes to one peer, in a fleet of few hosts.
constexpr duration settled_evidence_interval = 1s;

} // namespace

auto peer_link::on_evidence(const address_v4& from, evidence_report report) -> void
{
    if (this->peers.contains(from))
    {
        this->mailbox.add_remote_evidence(std::move(report.parts));
    }
}

auto peer_link::send_new_evidence(time_point now) -> void
{
    this->evidence = this->mailbox.get_local_evidence();
    const auto min_interval = this->plan.beacon_interval(true) / 2;
    if (this->evidence.changed_at == this->sent_evidence_changed_at ||
        now - this->evidence_sent_at < min_interval)
    {
        return;
    }
    this->evidence_sent_at = now;
    this->sent_evidence_changed_at = this->evidence.changed_at;
    for (auto& [address, other] : this->peers)
    {
        if (this->is_in_cell(other) && this->is_alive(other, now))
        {
            this->send_evidence(address, other, now);
        }
    }
}

auto peer_link::send_evidence(const address_v4& to, peer& other, time_point now) -> void
{
    other.next_evidence_at = now + std::chrono::duration_cast<duration>(
                                       settled_evidence_interval * this->plan.safeguard_factor());
    const auto& parts = this->evidence.parts;
    if (parts.empty())
    {
        return;
    }
    const auto first_count = std::min(parts.size(), parts_in_each_datagram);
    const auto first_end = parts.begin() + static_cast<std::ptrdiff_t>(first_count);
    evidence_report report;
    report.parts.assign(parts.begin(), first_end);
    const auto in_turn = parts.size() - first_count;
    for (std::size_t sent = 0; sent < std::min(in_turn, max_parts_per_datagram - first_count);
         ++sent)
    {
        report.parts.push_back(parts[first_count + other.next_evidence_part++ % in_turn]);
    }
    this->send(encode_evidence(report, now), to);
}

} // namespace poplardrift::fleet
