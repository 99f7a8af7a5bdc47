#include "poplardrift/membership/membership.hpp"

#include <algorithm>
#include <set>

namespace poplardrift
{

membership::membership(membership_settings settings, host_address self, incarnation_id incarnation)
    : settings(settings), self_id(make_host_id(self.name))
{
    auto& own = this->known[this->self_id];
    own.where = std::move(self);
    own.status = member_status::alive;
    own.incarnation = incarnation;
    own.heartbeat_received = true;
}

auto membership::find_or_add(const host_address& where) -> member&
{
    const auto id = make_host_id(where.name);
    const auto [found, inserted] = this->known.try_emplace(id);
    if (inserted || (id != this->self_id && !(found->second.where == where)))
    {
        found->second.where = where;
        ++this->revision_count;
    }
    return found->second;
}

auto membership::set_status(member& item, member_status status) -> void
{
    if (item.status == status)
    {
        return;
    }
    const auto previous = item.status;
    item.status = status;
    ++this->revision_count;
    if (this->listener != nullptr)
    {
        this->listener->on_member_changed(item, previous);
    }
}

auto membership::add_seeds(const std::vector<host_address>& seeds) -> void
{
    for (const auto& seed : seeds)
    {
        // Hosts from the settings count as listed until the host list has been read.
        this->find_or_add(seed).listed = true;
        this->fleet_known = true;
    }
}

auto membership::on_host_list(const std::vector<host_address>& live,
                              const std::vector<std::string>& leaving, time_point now) -> void
{
    std::set<host_id> listed;
    this->fleet_known = true;
    for (const auto& where : live)
    {
        auto& item = this->find_or_add(where);
        listed.insert(make_host_id(where.name));
        item.listed = true;
        // A host that is listed but has sent no heartbeat counts as silent from now on.
        if (item.status == member_status::absent)
        {
            item.last_heartbeat_at = now;
            this->set_status(item, member_status::suspect);
        }
    }
    for (auto& [id, item] : this->known)
    {
        item.listed = listed.contains(id);
    }
    for (const auto& name : leaving)
    {
        const auto found = this->known.find(make_host_id(name));
        if (found != this->known.end() && found->first != this->self_id)
        {
            this->set_status(found->second, member_status::leaving);
        }
    }
    this->on_tick(now);
}

auto membership::is_damped(host_id id, time_point now) -> bool
{
    auto& times = this->recoveries[id];
    std::erase_if(times, [&](time_point at) { return now - at > this->settings.flap_window; });
    return static_cast<std::int64_t>(times.size()) > this->settings.flap_limit &&
           now - times.back() < this->settings.damping_time;
}

auto membership::on_heartbeat(host_id from, incarnation_id incarnation, bool leaving,
                              time_point now) -> bool
{
    const auto found = this->known.find(from);
    if (found == this->known.end() || from == this->self_id)
    {
        return false;
    }
    auto& item = found->second;
    // Drops late messages of a former incarnation. A host whose clock went back has a lower
    // incarnation; it is accepted once its former incarnation is past the suspicion timeout.
    const auto former_is_recent = now - item.last_heartbeat_at <= this->settings.suspicion_timeout;
    if (item.heartbeat_received && incarnation < item.incarnation && former_is_recent)
    {
        return false;
    }
    if (item.incarnation != incarnation)
    {
        item.incarnation = incarnation;
        ++this->revision_count;
    }
    const auto was_silent =
        item.status == member_status::suspect || item.status == member_status::absent;
    if (was_silent && item.heartbeat_received &&
        now - item.last_heartbeat_at > this->settings.suspicion_timeout)
    {
        this->recoveries[from].push_back(now);
    }
    item.last_heartbeat_at = now;
    item.heartbeat_received = true;
    if (leaving)
    {
        this->set_status(item, member_status::leaving);
    }
    else if (!was_silent || !this->is_damped(from, now))
    {
        this->set_status(item, member_status::alive);
    }
    return true;
}

auto membership::set_settled(host_id host, bool settled) -> void
{
    const auto found = this->known.find(host);
    if (found != this->known.end() && found->second.settled != settled)
    {
        found->second.settled = settled;
        ++this->revision_count;
    }
}

auto membership::on_connection(host_id to, bool connected, time_point now) -> void
{
    const auto found = this->known.find(to);
    if (found == this->known.end())
    {
        return;
    }
    if (connected)
    {
        found->second.disconnected_at.reset();
    }
    else if (!found->second.disconnected_at)
    {
        found->second.disconnected_at = now;
    }
}

auto membership::on_tick(time_point now) -> void
{
    for (auto& [id, item] : this->known)
    {
        if (id == this->self_id)
        {
            continue;
        }
        // When a process ends its connections close; a partitioned host only stops sending.
        const auto disconnected = item.disconnected_at &&
                                  now - *item.disconnected_at > this->settings.disconnect_timeout &&
                                  now - item.last_heartbeat_at > this->settings.disconnect_timeout;
        const auto silent = now - item.last_heartbeat_at > this->settings.suspicion_timeout;
        if (!silent && !disconnected)
        {
            continue;
        }
        this->set_status(item, item.listed ? member_status::suspect : member_status::absent);
    }
}

auto membership::find(host_id id) const -> const member*
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second;
}

auto membership::owner_of(upstream_id upstream, const std::string& zone) const
    -> std::optional<host_id>
{
    std::optional<host_id> best;
    std::uint64_t best_score = 0;
    int best_rank = -1;
    for (const auto& [id, item] : this->known)
    {
        if (item.status != member_status::alive)
        {
            continue;
        }
        const auto rank = (item.settled ? 2 : 0) + (item.where.zone == zone ? 1 : 0);
        const auto score = hash_pair_64(id.value(), upstream.value());
        if (rank > best_rank || (rank == best_rank && score > best_score))
        {
            best = id;
            best_score = score;
            best_rank = rank;
        }
    }
    return best;
}

auto membership::zone_has_no_listed_host(const std::string& zone) const -> bool
{
    return std::none_of(this->known.begin(), this->known.end(),
                        [&](const auto& item)
                        { return item.second.where.zone == zone && item.second.listed; });
}

} // namespace poplardrift
