// Loads between hosts: sums of the own cell and of the other ones.

#include "fleet/peer_link.hpp"

#include <algorithm>
#include <utility>

namespace poplardrift::fleet
{

namespace
{

using boost::asio::ip::address_v4;

constexpr std::size_t max_prefixes_per_summary = 24;
/// Age above which a host's figures of services no longer count: its requests go to others by then.
constexpr duration figures_timeout = std::chrono::milliseconds(1500);

auto key_of(const address_v4& address) -> routing::host_key
{
    return routing::host_key(address.to_uint());
}

using load_sums = std::map<routing::upstream_key, traffic::upstream_load>;

auto add_loads(load_sums& sums, const std::vector<traffic::upstream_load>& loads) -> void
{
    for (const auto& load : loads)
    {
        auto& sum = sums[load.upstream];
        sum.upstream = load.upstream;
        sum.in_flight += load.in_flight;
        sum.ejected = sum.ejected || load.ejected;
        sum.may_have_restarted = sum.may_have_restarted || load.may_have_restarted;
    }
}

auto to_list(const load_sums& sums) -> std::vector<traffic::upstream_load>
{
    std::vector<traffic::upstream_load> loads;
    loads.reserve(sums.size());
    for (const auto& [upstream, sum] : sums)
    {
        loads.push_back(sum);
    }
    return loads;
}

} // namespace

template <class Predicate>
auto peer_link::sum_peer_loads(const Predicate& covers, bool with_own) const -> load_sums
{
    load_sums sums;
    for (const auto& [address, other] : this->peers)
    {
        if (covers(other))
        {
            add_loads(sums, other.loads);
        }
    }
    if (with_own)
    {
        add_loads(sums, this->mailbox.get_local_loads());
    }
    return sums;
}

auto peer_link::sum_loads(time_point now) -> void
{
    if (!std::exchange(this->loads_changed, false))
    {
        return;
    }
    const auto is_covered = [&](const zone_name& zone)
    {
        const auto cell = this->remote_cells.find(zone);
        return cell != this->remote_cells.end() &&
               now - cell->second.received_at < this->plan.summary_timeout();
    };
    // Beacons of hosts whose zone's sum is fresh would count their loads twice.
    auto sums = this->sum_peer_loads(
        [&](const peer& other) { return this->is_in_own_zone(other) || !is_covered(other.zone); },
        false);
    for (const auto& [zone, cell] : this->remote_cells)
    {
        if (is_covered(zone))
        {
            add_loads(sums, cell.loads);
        }
    }
    this->mailbox.set_remote_loads(to_list(sums));
}

auto peer_link::sum_figures(time_point now) -> void
{
    overload::remote_figures result;
    duration ages{};
    std::size_t sources = 0;
    const auto add = [&](const std::vector<overload::service_figures>& figures, time_point at)
    {
        if (!figures.empty() && now - at < figures_timeout)
        {
            overload::add_figures(result.sums, figures);
            ages += now - at;
            ++sources;
        }
    };
    for (const auto& [address, other] : this->peers)
    {
        if (this->is_in_cell(other))
        {
            add(other.figures, other.last_received_at);
        }
    }
    for (const auto& [zone, cell] : this->remote_cells)
    {
        if (this->plan.uses_cells())
        {
            add(cell.figures, cell.received_at);
        }
    }
    if (sources > 0)
    {
        result.age = ages / sources;
    }
    this->mailbox.set_remote_figures(std::move(result));
}

auto peer_link::send_summaries(time_point now) -> void
{
    if (!this->plan.uses_cells())
    {
        return;
    }
    std::vector<routing::host_key> cell;
    for (const auto& [address, other] : this->peers)
    {
        if (other.host.empty())
        {
            continue;
        }
        if (!this->is_in_own_zone(other))
        {
            this->remote_cells.try_emplace(other.zone);
        }
        else if (this->is_alive(other, now))
        {
            cell.push_back(key_of(address));
        }
    }
    for (auto& [zone, remote] : this->remote_cells)
    {
        const auto position = routing::rendezvous_rank(key_of(this->settings.address), cell,
                                                       hash_bytes_64(zone.value()));
        if (now < remote.next_summary_at)
        {
            continue;
        }
        if (position >= speaker_count)
        {
            // The offset keeps the speakers from sending at the same time.
            remote.next_summary_at = now + this->plan.summary_interval() / 4;
            continue;
        }
        remote.next_summary_at = now + this->plan.summary_interval();
        this->send_summary(zone, remote, position, now);
    }
}

auto peer_link::send_summary(const zone_name& zone, remote_cell& cell, std::size_t position,
                             time_point now) -> void
{
    const auto receiver = this->find_receiver(zone, cell, now);
    if (!receiver)
    {
        return;
    }
    zone_summary summary;
    summary.zone = this->settings.zone.value();
    summary.loads = to_list(
        this->sum_peer_loads([&](const peer& other) { return this->is_in_own_zone(other); }, true));
    summary.figures = this->mailbox.get_local_figures();
    for (const auto& [address, other] : this->peers)
    {
        if (this->is_in_own_zone(other) && now - other.last_received_at < figures_timeout)
        {
            overload::add_figures(summary.figures, other.figures);
        }
    }
    // Each speaker sends its part of the prefixes, so that none is sent twice.
    summary.cached_prefixes = this->prefixes_of_cell.read(
        cell.next_cached_prefix, max_prefixes_per_summary, {position, speaker_count});
    this->send(encode_summary(summary), *receiver);
    cell.last_receiver = *receiver;
}

auto peer_link::find_receiver(const zone_name& zone, const remote_cell& cell, time_point now) const
    -> std::optional<address_v4>
{
    const auto may_receive = [&](const auto& item)
    { return item.second.zone == zone && this->is_alive(item.second, now); };
    const auto next = this->peers.upper_bound(cell.last_receiver);
    auto found = std::find_if(next, this->peers.end(), may_receive);
    if (found == this->peers.end())
    {
        found = std::find_if(this->peers.begin(), next, may_receive);
        if (found == next)
        {
            return std::nullopt;
        }
    }
    return found->first;
}

auto peer_link::on_summary(const address_v4& from, zone_summary summary, time_point now) -> void
{
    const auto sender = this->peers.find(from);
    const auto expected_zone = summary.is_relayed ? this->settings.zone : zone_name(summary.zone);
    const auto is_valid = sender != this->peers.end() && sender->second.zone == expected_zone &&
                          summary.zone != this->settings.zone.value();
    if (!is_valid)
    {
        return; // from a host whose identity has not been received yet
    }
    auto& cell = this->remote_cells[zone_name(summary.zone)];
    cell.loads = summary.loads;
    cell.figures = summary.figures;
    cell.received_at = now;
    this->loads_changed = true;
    this->mailbox.add_remote_prefixes(summary.cached_prefixes);
    if (!summary.is_relayed)
    {
        this->relay(std::move(summary), now);
    }
}

auto peer_link::relay(zone_summary summary, time_point now) -> void
{
    summary.is_relayed = true;
    const auto bytes = encode_summary(summary);
    for (const auto& [address, other] : this->peers)
    {
        if (!other.host.empty() && this->is_in_own_zone(other) && this->is_alive(other, now))
        {
            this->send(bytes, address);
        }
    }
}

} // namespace poplardrift::fleet
