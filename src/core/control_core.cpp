#include "poplardrift/core/control_core.hpp"

#include "poplardrift/base/assert.hpp"
#include "poplardrift/base/json_text.hpp"
#include "poplardrift/gossip/codec.hpp"

#include <algorithm>

namespace poplardrift
{

namespace
{

/// Loads of other hosts are ignored from this age on.
constexpr duration load_validity = std::chrono::milliseconds(1500);
/// Shortest interval between two configuration updates to the same host.
constexpr duration update_interval = std::chrono::seconds(1);
/// Snapshots are appended this often within the log's retention.
constexpr std::int64_t snapshots_per_retention = 3;
/// Extra delay per rank among the hosts, so that usually a single host appends a snapshot.
constexpr duration snapshot_stagger = std::chrono::seconds(3);

/// Fault reports of two hosts within this time confirm each other.
constexpr duration fault_report_window = std::chrono::seconds(5);
/// Most placement exceptions kept for sending; the oldest are dropped.
constexpr std::size_t max_queued_exceptions = 4096;

auto status_text(member_status status) -> std::string
{
    switch (status)
    {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::leaving:
        return "leaving";
    case member_status::absent:
        return "absent";
    }
    POPLARDRIFT_ASSERT(false);
    return "";
}

auto state_event(upstream_state state) -> event_code
{
    switch (state)
    {
    case upstream_state::cold:
        return event_code::upstream_cold;
    case upstream_state::warm:
        return event_code::upstream_warm;
    case upstream_state::ejected:
        return event_code::upstream_ejected;
    case upstream_state::leaving:
        return event_code::upstream_leaving;
    }
    POPLARDRIFT_ASSERT(false);
    return event_code::upstream_cold;
}

} // namespace

control_core::control_core(const control_settings& settings, host_address self,
                           incarnation_id incarnation, time_point now)
    : settings(settings), incarnation(incarnation),
      hosts(settings.membership, std::move(self), incarnation), configured(settings.configuration),
      budget(settings.budget, now), owner(settings.slots, settings.warmup), members_changed(now),
      started(now), last_snapshot_time(now)
{
    this->hosts.set_listener(this);
}

auto control_core::emit(event_code code, std::string detail) -> void
{
    this->actions.emplace_back(emit_event{{code, std::move(detail)}});
}

auto control_core::take_actions() -> std::vector<control_action>
{
    return std::exchange(this->actions, {});
}

auto control_core::peer(host_id id, time_point now) -> peer_state&
{
    return this->peers.try_emplace(id, peer_state{ack_tracker(now)}).first->second;
}

auto control_core::on_member_changed(const member& changed, member_status before) -> void
{
    this->emit(event_code::member_changed, changed.where.name + " from " + status_text(before) +
                                               " to " + status_text(changed.status));
}

auto control_core::on_host_list(const std::vector<host_address>& live,
                                const std::vector<std::string>& leaving_hosts, time_point now)
    -> void
{
    this->hosts.on_host_list(live, leaving_hosts, now);
}

auto control_core::start_leaving() -> void
{
    this->leaving = true;
    this->make_all_urgent();
}

auto control_core::make_all_urgent() -> void
{
    for (auto& [id, state] : this->peers)
    {
        state.urgent = true;
    }
}

// Configuration

auto control_core::on_log_records(const std::vector<log_record>& records, time_point now) -> void
{
    if (!this->log_reachable)
    {
        this->log_reachable = true;
        this->emit(event_code::log_reachable, "");
    }
    for (const auto& record : records)
    {
        this->configured.apply(record.offset, record.time, record.data);
        const auto is_full_snapshot = is_snapshot(record.data);
        this->records_since_snapshot = is_full_snapshot ? 0 : this->records_since_snapshot + 1;
        this->last_snapshot_time = is_full_snapshot ? now : this->last_snapshot_time;
    }
    this->apply_configuration(now);
}

auto control_core::on_log_unreachable(time_point now) -> void
{
    (void)now;
    if (this->log_reachable)
    {
        this->log_reachable = false;
        this->emit(event_code::log_unreachable, "");
    }
}

auto control_core::emit_audit_events() -> void
{
    for (const auto& entry : this->configured.audit())
    {
        if (entry.offset <= this->emitted_audit_offset)
        {
            continue;
        }
        this->emitted_audit_offset = entry.offset;
        auto detail = "offset " + std::to_string(entry.offset.value()) + " change " +
                      entry.change_id + " by " + entry.author + " of " + entry.team;
        for (const auto& path : entry.paths)
        {
            detail += " " + path;
        }
        this->emit(entry.accepted ? event_code::configuration_applied
                                  : event_code::configuration_refused,
                   entry.accepted ? detail : detail + ": " + entry.reason);
    }
}

auto control_core::emit_zone_events(const declarations& before) -> void
{
    for (const auto& [name, zone] : this->parsed.zones)
    {
        const auto previous = before.zones.find(name);
        const auto was_in_service = previous == before.zones.end() || previous->second.in_service;
        if (was_in_service != zone.in_service)
        {
            this->emit(zone.in_service ? event_code::zone_in : event_code::zone_out, name);
        }
    }
}

auto control_core::apply_configuration(time_point now) -> void
{
    this->emit_audit_events();
    const auto complete = this->configured.is_complete();
    if (complete != this->was_complete && !complete)
    {
        this->emit(event_code::configuration_incomplete, "");
    }
    this->was_complete = complete;
    if (this->configured.revision() == this->seen_configuration_revision)
    {
        return;
    }
    this->seen_configuration_revision = this->configured.revision();
    this->configuration_digest = static_cast<std::uint32_t>(this->configured.digest());
    std::vector<config_error> errors;
    auto before = std::exchange(
        this->parsed, read_declarations(this->configured.values(), errors, unknown_keys::ignore));
    for (const auto& error : errors)
    {
        this->emit(event_code::declaration_unreadable, error.text());
    }
    this->emit_zone_events(before);
    this->paths.clear();
    for (const auto& [path, item] : this->parsed.upstreams)
    {
        this->paths.emplace(make_upstream_id(path), path);
    }
    this->view_is_stale = true;
    this->seen_members_revision = 0;
    this->update_owners(now);
}

auto control_core::not_ready_reason() const -> std::string
{
    if (this->leaving)
    {
        return "leaving";
    }
    if (this->configured.applied() == log_offset{})
    {
        return this->log_reachable ? "no configuration on the log yet"
                                   : "neither the log nor a peer has given a configuration";
    }
    if (!this->configured.is_complete())
    {
        return "configuration records are missing that the log no longer gives";
    }
    return this->parsed.routes.empty() ? "no routes are declared" : "";
}

// Ownership and slots

auto control_core::declaration_of(upstream_id id) const -> const upstream_declaration*
{
    const auto path = this->paths.find(id);
    if (path == this->paths.end())
    {
        return nullptr;
    }
    const auto found = this->parsed.upstreams.find(path->second);
    return found == this->parsed.upstreams.end() ? nullptr : &found->second;
}

auto control_core::state_of(upstream_id id) const -> upstream_state
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? upstream_state::cold : found->second.status.state;
}

auto control_core::update_owners(time_point now) -> void
{
    if (this->seen_members_revision == this->hosts.revision())
    {
        return;
    }
    this->members_changed = this->seen_members_revision == 0 ? this->members_changed : now;
    this->seen_members_revision = this->hosts.revision();
    const auto self = this->hosts.self();
    for (const auto& [id, path] : this->paths)
    {
        const auto& item = this->parsed.upstreams.at(path);
        auto owner_id = this->hosts.owner_of(id, item.zone).value_or(self);
        auto& info = this->known[id];
        this->view_is_stale = this->view_is_stale || info.owner != owner_id;
        const auto owned_before = this->owner.owns(id);
        if (owner_id == self)
        {
            const auto published =
                info.owner == host_id{} ? std::nullopt : std::optional(info.status);
            this->owner.take_ownership(item, published, now);
        }
        else
        {
            this->owner.drop(id);
        }
        if (owned_before != (owner_id == self))
        {
            this->emit(owned_before ? event_code::ownership_lost : event_code::ownership_taken,
                       path);
        }
        if (info.owner != owner_id && this->peers.contains(owner_id))
        {
            this->peers.at(owner_id).acknowledged_upstreams.erase(id);
        }
        info.owner = owner_id;
    }
    // Remove upstreams that are no longer declared.
    for (const auto id : this->owner.ids())
    {
        if (!this->paths.contains(id))
        {
            this->owner.drop(id);
        }
    }
    std::erase_if(this->known, [&](const auto& item) { return !this->paths.contains(item.first); });
}

auto control_core::fleet_load(pool_id pool, time_point now) const -> pool_load
{
    const auto own = this->own_loads.find(pool);
    auto total = own == this->own_loads.end() ? pool_load{pool, 0, 0} : own->second;
    for (const auto& [id, state] : this->peers)
    {
        const auto load = state.loads.find(pool);
        if (load != state.loads.end() && now - load->second.at < load_validity)
        {
            total.warm += load->second.load.warm;
            total.all += load->second.load.all;
        }
    }
    return total;
}

auto control_core::load_margin(std::uint32_t load) const -> std::uint32_t
{
    if (this->peers.empty())
    {
        return 0;
    }
    const auto share = static_cast<std::uint32_t>(this->settings.load_margin_share * load);
    return std::min(this->settings.load_margin, share);
}

auto control_core::update_pool_sums(time_point now) -> void
{
    this->pool_sums.clear();
    for (const auto& [path, item] : this->parsed.upstreams)
    {
        auto& sums = this->pool_sums[make_pool_id(item.pool)];
        if (!is_in_service(this->parsed, item))
        {
            continue;
        }
        const auto state = this->state_of(make_upstream_id(path));
        sums.warm_weight += state == upstream_state::warm ? item.weight : 0.0;
        sums.all_weight +=
            state == upstream_state::warm || state == upstream_state::cold ? item.weight : 0.0;
    }
    for (auto& [pool, sums] : this->pool_sums)
    {
        // Loads of other hosts arrive late. The margin keeps the bound valid when they have
        // decreased in the meantime.
        sums.load = this->fleet_load(pool, now);
        sums.load.warm -= this->load_margin(sums.load.warm);
        sums.load.all -= this->load_margin(sums.load.all);
    }
}

auto control_core::mean_bound(const upstream_declaration& item) const -> std::uint32_t
{
    // The load bound applies to engines only; a service is limited by its capacity.
    if (item.kind == upstream_kind::service)
    {
        return static_cast<std::uint32_t>(item.capacity);
    }
    const auto& sums = this->pool_sums.at(make_pool_id(item.pool));
    const auto multiple = this->parsed.limits.load_bound;
    // Upstreams in cold start cannot take their share, so the bound of a warm one uses warm
    // upstreams only.
    if (this->state_of(make_upstream_id(item.path)) == upstream_state::warm)
    {
        return bound_by_mean(multiple, sums.load.warm,
                             item.weight / std::max(sums.warm_weight, item.weight));
    }
    return bound_by_mean(multiple, sums.load.all,
                         item.weight / std::max(sums.all_weight, item.weight));
}

auto control_core::listed_hosts() const -> std::vector<host_id>
{
    std::vector<host_id> result;
    for (const auto& [id, item] : this->hosts.members())
    {
        const auto exists = item.listed || item.status == member_status::alive ||
                            item.status == member_status::suspect;
        if (exists && id != this->hosts.self())
        {
            result.push_back(id);
        }
    }
    return result;
}

auto control_core::alive_hosts() const -> std::vector<host_id>
{
    std::vector<host_id> result;
    for (const auto& [id, item] : this->hosts.members())
    {
        if (item.status == member_status::alive && id != this->hosts.self())
        {
            result.push_back(id);
        }
    }
    return result;
}

auto control_core::is_settled(time_point now) const -> bool
{
    return this->hosts.is_fleet_known() &&
           now - this->started >= this->settings.startup_quiet_period;
}

auto control_core::grant_to(upstream_id id, host_id holder, message_sequence sequence,
                            time_point now) -> slot_grant
{
    const auto* item = this->declaration_of(id);
    POPLARDRIFT_ASSERT(item != nullptr);
    // Hosts may disagree for a while on the membership, and so on the owners of upstreams. Hosts
    // that start together may each know only themselves.
    const auto settled = this->is_settled(now);
    const auto agreed = settled && now - this->members_changed >= this->settings.slots.disagreement;
    const auto complete = agreed && this->owner.has_entries_for(id, this->listed_hosts());
    // Waiting is not safe for an upstream in cold start whose zone's hosts are listed but silent:
    // they may be alive and still grant its slots.
    const auto& self_zone = this->hosts.find(this->hosts.self())->where.zone;
    const auto safe_to_wait = item->zone == self_zone ||
                              this->state_of(id) == upstream_state::warm ||
                              this->hosts.zone_has_no_listed_host(item->zone);
    const auto may_wait_for_expiry = settled && safe_to_wait;
    // Takeover of a warm engine from a lost owner need not wait until that host leaves the host
    // list: requests that it may still run appear in the engine's report and are reserved.
    const auto warm_takeover = settled && this->state_of(id) == upstream_state::warm &&
                               this->owner.has_fresh_report(id, now) &&
                               this->owner.has_entries_for(id, this->alive_hosts());
    return this->owner.grant(id, holder, holder == this->hosts.self(), complete || warm_takeover,
                             may_wait_for_expiry, sequence, now);
}

auto control_core::set_status(const upstream_status& status) -> void
{
    auto& info = this->known[status.upstream];
    const auto before = info.status;
    info.status = status;
    if (before.free_slots != status.free_slots)
    {
        this->actions.emplace_back(update_free_slots{status.upstream, status.free_slots});
    }
    if (before.state == status.state && before.upstream == status.upstream)
    {
        return;
    }
    this->view_is_stale = true;
    const auto path = this->paths.find(status.upstream);
    this->emit(state_event(status.state), path == this->paths.end() ? "" : path->second);
    if (status.state != upstream_state::warm && before.state == upstream_state::warm)
    {
        this->actions.emplace_back(revoke_slots{status.upstream});
    }
}

auto control_core::grant_to_self(upstream_id id, const slot_use& use, time_point now) -> void
{
    // This host applies its own grants at once, so each report acknowledges the previous grant.
    const message_sequence sequence{++this->self_sequence};
    const message_sequence acknowledged{sequence.value() - 1};
    this->owner.on_slot_report(this->hosts.self(), {id, use.in_use, use.wanted, use.held}, sequence,
                               acknowledged, now);
    const auto grant = this->grant_to(id, this->hosts.self(), sequence, now);
    this->actions.emplace_back(apply_grant{id, grant.slots, now + this->settings.slots.lease});
}

auto control_core::tick_owned(const host_usage& usage, time_point now) -> void
{
    for (const auto& load : usage.loads)
    {
        this->own_loads[load.pool] = load;
    }
    this->update_pool_sums(now);
    std::map<upstream_id, slot_use> by_upstream;
    for (const auto& use : usage.uses)
    {
        by_upstream.emplace(use.upstream, use);
    }
    for (const auto id : this->owner.ids())
    {
        const auto* item = this->declaration_of(id);
        POPLARDRIFT_ASSERT(item != nullptr);
        this->owner.update(id, this->mean_bound(*item), now);
        const auto before = this->state_of(id);
        this->set_status(this->owner.status(id, now));
        if (before == upstream_state::warm && this->state_of(id) != upstream_state::warm)
        {
            this->make_all_urgent();
        }
        const auto use = by_upstream.find(id);
        this->grant_to_self(id, use == by_upstream.end() ? slot_use{id, {}, 0, 0, 0} : use->second,
                            now);
    }
}

// Messages from other hosts

auto control_core::on_peer_message(const peer_message& message, time_point now) -> void
{
    const auto from = message.sender;
    if (!this->hosts.on_heartbeat(from, message.incarnation, message.leaving, now))
    {
        return;
    }
    auto& state = this->peer(from, now);
    bool restarted = false;
    if (!state.link.accept(message, this->incarnation, now, restarted))
    {
        return;
    }
    if (restarted)
    {
        // Requests of the previous process ended with its connections.
        this->owner.remove_holder(from);
        state.acknowledged_upstreams.clear();
        state.sent_statuses.clear();
        state.messages = 0;
    }
    for (const auto& load : message.loads)
    {
        state.loads[load.pool] = {load, now};
    }
    this->hosts.set_settled(from, message.settled);
    this->update_owners(now);
    this->accept_configuration(from, state, message, now);
    this->accept_fault_reports(from, message, now);
    this->accept_statuses(from, message);
    this->accept_grants(from, state, message);
    this->accept_reports(from, state, message, now);
    for (const auto& item : message.exceptions)
    {
        this->actions.emplace_back(store_exception{item});
    }
}

auto control_core::accept_reports(host_id from, peer_state& from_state, const peer_message& message,
                                  time_point now) -> void
{
    for (const auto& report : message.reports)
    {
        if (!this->owner.owns(report.upstream))
        {
            continue;
        }
        this->owner.on_slot_report(from, report, message.sequence, from_state.link.acknowledged(),
                                   now);
        from_state.pending_grants.insert(report.upstream);
        from_state.urgent = from_state.urgent || report.wanted > 0;
    }
}

auto control_core::accept_grants(host_id from, peer_state& from_state, const peer_message& message)
    -> void
{
    for (const auto& grant : message.grants)
    {
        // Only grants of the owner are valid. The lease runs from the time at which this host sent
        // the report.
        const auto found = this->known.find(grant.upstream);
        const auto reported = from_state.link.sent_at(grant.report_sequence);
        if (found == this->known.end() || found->second.owner != from || !reported)
        {
            continue;
        }
        from_state.acknowledged_upstreams.insert(grant.upstream);
        this->actions.emplace_back(
            apply_grant{grant.upstream, grant.slots, *reported + this->settings.slots.lease});
    }
}

auto control_core::accept_statuses(host_id from, const peer_message& message) -> void
{
    for (const auto& status : message.statuses)
    {
        const auto found = this->known.find(status.upstream);
        if (found != this->known.end() && found->second.owner == from)
        {
            this->set_status(status);
        }
    }
}

auto control_core::is_fault_confirmed(host_id from, upstream_id upstream, time_point now) -> bool
{
    // A partitioned host sees every upstream beyond the partition fail. So a fault that this host
    // did not detect itself is confirmed only by reports of two hosts. Callers require this
    // confirmation for services, not for engines.
    this->fault_report_times[{from, upstream}] = now;
    const auto agreeing = std::count_if(
        this->fault_report_times.begin(), this->fault_report_times.end(),
        [&](const auto& item)
        { return item.first.upstream == upstream && now - item.second < fault_report_window; });
    return from == this->hosts.self() || agreeing >= 2;
}

auto control_core::apply_fault_report(host_id from, upstream_id upstream, upstream_state suspected,
                                      time_point now) -> void
{
    const auto* item = this->declaration_of(upstream);
    const auto confirmed = this->is_fault_confirmed(from, upstream, now);
    if (item == nullptr || (item->kind == upstream_kind::service && !confirmed))
    {
        return;
    }
    this->actions.emplace_back(revoke_slots{upstream});
    if (!this->owner.owns(upstream))
    {
        return;
    }
    this->owner.on_fault_report(upstream, suspected, now);
    if (item->kind == upstream_kind::engine)
    {
        this->last_report_polls.erase(upstream);
    }
}

auto control_core::accept_fault_reports(host_id from, const peer_message& message, time_point now)
    -> void
{
    for (const auto& report : message.fault_reports)
    {
        auto& count = this->received_fault_counts[{from, report.upstream}];
        if (report.count == count || !this->paths.contains(report.upstream))
        {
            continue;
        }
        count = report.count;
        this->apply_fault_report(from, report.upstream, report.suspected, now);
    }
}

auto control_core::on_local_fault(upstream_id upstream, upstream_state suspected, time_point now)
    -> void
{
    auto& own = this->local_faults[upstream];
    own.report = {upstream, suspected, own.report.count + 1};
    own.reported_at = now;
    this->make_all_urgent();
    this->apply_fault_report(this->hosts.self(), upstream, suspected, now);
}

auto control_core::on_load(host_id of, const pool_load& load, time_point at) -> void
{
    const auto found = this->peers.find(of);
    if (found == this->peers.end())
    {
        return;
    }
    auto& stored = found->second.loads[load.pool];
    if (at > stored.at)
    {
        stored = {load, at};
    }
}

auto control_core::known_loads() const -> std::vector<known_load>
{
    std::vector<known_load> result;
    for (const auto& [id, state] : this->peers)
    {
        for (const auto& [pool, item] : state.loads)
        {
            result.push_back({id, item.load, item.at});
        }
    }
    return result;
}

auto control_core::on_upstream_report(upstream_id upstream, const upstream_report& report,
                                      time_point now) -> void
{
    this->owner.on_upstream_report(upstream, report, now);
}

auto control_core::accept_configuration(host_id from, peer_state& from_state,
                                        const peer_message& message, time_point now) -> void
{
    from_state.configuration = message.configuration;
    from_state.configuration_differs = message.configuration == this->configured.applied() &&
                                       message.configuration_digest != this->digest();
    from_state.wants_configuration = message.wants_configuration;
    if (message.configuration_update.empty())
    {
        return;
    }
    const auto before = this->configured.revision();
    const auto update = nlohmann::json::parse(message.configuration_update, nullptr, false);
    if (update.is_discarded() || !this->configured.merge(update))
    {
        return;
    }
    if (this->configured.revision() != before)
    {
        const auto* sender = this->hosts.find(from);
        this->emit(event_code::configuration_from_peer,
                   (sender == nullptr ? "" : sender->where.name) + " through offset " +
                       std::to_string(this->configured.applied().value()));
    }
    this->apply_configuration(now);
}

// Messages to other hosts

auto control_core::digest() const -> std::uint32_t
{
    return this->configuration_digest;
}

auto control_core::add_reports(host_id to, const peer_state& state, const host_usage& usage,
                               peer_message& message) const -> void
{
    std::set<upstream_id> reported;
    for (const auto& use : usage.uses)
    {
        const auto found = this->known.find(use.upstream);
        if (found != this->known.end() && found->second.owner == to)
        {
            message.reports.push_back({use.upstream, use.in_use, use.wanted, use.held});
            reported.insert(use.upstream);
        }
    }
    // A new owner needs a report from every host, also from those that use no slots: send one
    // until the owner has answered it.
    for (const auto& [id, info] : this->known)
    {
        if (info.owner == to && !reported.contains(id) &&
            !state.acknowledged_upstreams.contains(id))
        {
            message.reports.push_back({id, 0, 0, 0});
        }
    }
}

auto control_core::add_grants(host_id to, peer_state& state, peer_message& message, time_point now)
    -> void
{
    for (const auto id : state.pending_grants)
    {
        if (this->owner.owns(id))
        {
            message.grants.push_back(this->grant_to(id, to, state.link.next(), now));
        }
    }
    state.pending_grants.clear();
}

auto control_core::add_statuses(peer_state& state, peer_message& message, time_point now) -> void
{
    const auto repeat = state.messages++ % this->settings.status_interval == 0;
    for (const auto id : this->owner.ids())
    {
        const auto status = this->owner.status(id, now);
        auto& sent = state.sent_statuses[id];
        if (repeat || sent != status)
        {
            sent = status;
            message.statuses.push_back(status);
        }
    }
}

auto control_core::queue_exceptions(const std::vector<placement_exception>& fresh) -> void
{
    this->exception_queue.insert(this->exception_queue.end(), fresh.begin(), fresh.end());
    this->exceptions_end += fresh.size();
    while (this->exception_queue.size() > max_queued_exceptions)
    {
        this->exception_queue.pop_front();
    }
}

auto control_core::add_exceptions(peer_state& state, peer_message& message, time_point now) -> void
{
    // Placement exceptions have the lowest priority and are sent only with enough of the byte
    // budget left.
    if (static_cast<double>(this->budget.available_bytes(now)) <
        this->settings.budget.burst_bytes / 4)
    {
        return;
    }
    const auto first = this->exceptions_end - this->exception_queue.size();
    auto next = std::max(state.exceptions_sent, first);
    for (; next < this->exceptions_end &&
           message.exceptions.size() < this->settings.max_exceptions_per_message;
         ++next)
    {
        message.exceptions.push_back(this->exception_queue[next - first]);
    }
    state.exceptions_sent = next;
}

auto control_core::add_configuration(peer_state& state, peer_message& message, time_point now)
    -> void
{
    message.configuration = this->configured.applied();
    message.configuration_digest = this->digest();
    message.wants_configuration = !this->log_reachable || !this->configured.is_complete();
    const auto lags = state.wants_configuration && state.configuration < this->configured.applied();
    const auto due = now - state.last_update_sent >= update_interval;
    if ((lags || state.configuration_differs) && due && this->configured.is_complete())
    {
        // A host with different content at the same offset lost records, so it gets a full
        // snapshot.
        const auto since = state.configuration_differs ? log_offset{} : state.configuration;
        message.configuration_update = to_json_text(this->configured.snapshot(since));
        state.last_update_sent = now;
    }
}

auto control_core::compose(host_id to, peer_state& state, const host_usage& usage, time_point now)
    -> peer_message
{
    peer_message message;
    message.sender = this->hosts.self();
    message.incarnation = this->incarnation;
    message.leaving = this->leaving;
    message.settled = this->is_settled(now);
    this->add_configuration(state, message, now);
    for (const auto& [id, item] : this->local_faults)
    {
        if (now - item.reported_at < this->settings.fault_report_repeat)
        {
            message.fault_reports.push_back(item.report);
        }
    }
    this->add_reports(to, state, usage, message);
    this->add_grants(to, state, message, now);
    this->add_statuses(state, message, now);
    message.loads = usage.loads;
    this->add_exceptions(state, message, now);
    state.link.stamp(message, now);
    return message;
}

auto control_core::tick_peer(host_id to, peer_state& state, const host_usage& usage, time_point now)
    -> void
{
    if (state.link.is_one_way(this->settings.silent_link_timeout, now))
    {
        state.link.on_reconnect(now);
        this->actions.emplace_back(reconnect_peer{to});
        const auto* other = this->hosts.find(to);
        this->emit(event_code::peer_reconnected, other == nullptr ? "" : other->where.name);
    }
    const auto since = now - state.link.last_sent();
    // Heartbeats are always sent, at half the rate when the budget is exhausted; urgent messages
    // wait for budget.
    const auto has_budget = this->budget.available_bytes(now) > 0;
    const auto due = since >= this->settings.heartbeat * (has_budget ? 1 : 2);
    const auto urgent = state.urgent && has_budget && since >= this->settings.urgent_interval;
    if (!due && !urgent)
    {
        this->urgent_deferred = this->urgent_deferred || (state.urgent && has_budget);
        return;
    }
    state.urgent = false;
    auto message = this->compose(to, state, usage, now);
    auto bytes = encode_message(message, this->settings.configuration.host_secret);
    this->budget.spend(bytes.size(), due ? control_traffic::heartbeats : control_traffic::urgent,
                       now);
    this->actions.emplace_back(send_message{to, std::move(message), std::move(bytes)});
}

auto control_core::tick_peers(const host_usage& usage, time_point now) -> void
{
    this->urgent_deferred = false;
    for (const auto& id : usage.owners_to_notify)
    {
        if (this->peers.contains(id))
        {
            this->peers.at(id).urgent = true;
        }
    }
    for (const auto& [id, item] : this->hosts.members())
    {
        const auto reachable = item.status != member_status::absent || !item.where.address.empty();
        if (id != this->hosts.self() && reachable)
        {
            this->tick_peer(id, this->peer(id, now), usage, now);
        }
    }
}

auto control_core::tick_reports(time_point now) -> void
{
    for (const auto id : this->owner.ids())
    {
        const auto* item = this->declaration_of(id);
        const auto warm = this->owner.condition(id).state() == upstream_state::warm;
        const auto interval =
            warm ? this->settings.warm_report_interval : this->settings.cold_report_interval;
        const auto last = this->last_report_polls.find(id);
        const auto due = last == this->last_report_polls.end() || now - last->second >= interval;
        if (item != nullptr && item->kind == upstream_kind::engine && due)
        {
            this->last_report_polls[id] = now;
            this->actions.emplace_back(
                poll_report{{id, item->address, static_cast<std::uint16_t>(item->port)}});
        }
    }
}

auto control_core::tick_log_lag(time_point now) -> void
{
    const auto ahead = std::any_of(
        this->peers.begin(), this->peers.end(),
        [&](const auto& item) { return item.second.configuration > this->configured.applied(); });
    if (!ahead)
    {
        this->behind_since.reset();
        return;
    }
    this->behind_since = this->behind_since.value_or(now);
    if (now - *this->behind_since >= this->settings.peer_lead_timeout)
    {
        this->behind_since = now;
        this->actions.emplace_back(
            read_log_now{log_offset{this->configured.last_read().value() + 1}});
    }
}

auto control_core::tick_snapshot(time_point now) -> void
{
    if (!this->log_reachable || !this->configured.is_complete() ||
        this->configured.entries().empty())
    {
        return;
    }
    // Delays grow with the host's rank, so that usually a single host appends.
    std::int64_t rank = 0;
    for (const auto& [id, item] : this->hosts.members())
    {
        rank += id < this->hosts.self() && item.status == member_status::alive ? 1 : 0;
    }
    const auto age = now - this->last_snapshot_time - rank * snapshot_stagger;
    const auto by_age = age >= this->settings.log_retention / snapshots_per_retention;
    const auto by_count =
        this->records_since_snapshot >=
        this->settings.snapshot_records + rank * this->settings.snapshot_records / 10;
    if (!by_age && !by_count)
    {
        return;
    }
    this->last_snapshot_time = now;
    this->records_since_snapshot = 0;
    this->actions.emplace_back(append_snapshot{this->configured.snapshot()});
    this->emit(event_code::snapshot_appended,
               "through offset " + std::to_string(this->configured.applied().value()));
}

auto control_core::update_view() -> void
{
    if (!this->view_is_stale)
    {
        return;
    }
    this->view_is_stale = false;
    auto view = make_routing_view(this->parsed, this->known, this->configured.applied(),
                                  ++this->view_revision);
    this->actions.emplace_back(publish_view{std::move(view)});
}

auto control_core::on_tick(const host_usage& usage, time_point now) -> void
{
    this->hosts.on_tick(now);
    this->hosts.set_settled(this->hosts.self(), this->is_settled(now));
    this->update_owners(now);
    this->queue_exceptions(usage.exceptions);
    this->tick_owned(usage, now);
    this->tick_reports(now);
    this->tick_peers(usage, now);
    this->tick_log_lag(now);
    this->tick_snapshot(now);
    this->update_view();
}

// Admin API

auto control_core::managed_engines(time_point now) const -> std::vector<managed_engine>
{
    std::vector<managed_engine> result;
    for (const auto id : this->owner.ids())
    {
        const auto* item = this->declaration_of(id);
        if (item == nullptr || item->kind != upstream_kind::engine || item->model.empty())
        {
            continue;
        }
        const auto& report = this->owner.condition(id).last_report();
        result.push_back({id, item->path, item->address, static_cast<std::uint16_t>(item->port),
                          item->model, report ? report->model : "",
                          this->owner.granted_slots(id, now)});
    }
    return result;
}

auto control_core::overview(time_point now) const -> std::vector<upstream_overview>
{
    std::vector<upstream_overview> result;
    for (const auto& [id, path] : this->paths)
    {
        upstream_overview item;
        item.path = path;
        const auto found = this->known.find(id);
        if (found != this->known.end())
        {
            const auto* owner_host = this->hosts.find(found->second.owner);
            item.owner = owner_host == nullptr ? "" : owner_host->where.name;
            item.state = found->second.status.state;
            item.limit = found->second.status.limit;
        }
        if (this->owner.owns(id))
        {
            item.in_use = this->owner.in_use(id);
            item.granted = this->owner.granted_slots(id, now);
        }
        result.push_back(std::move(item));
    }
    return result;
}

auto control_core::incarnation_of(host_id host) const -> incarnation_id
{
    const auto* found = this->hosts.find(host);
    return found == nullptr ? incarnation_id{} : found->incarnation;
}

auto control_core::configuration_offsets() const -> std::map<std::string, log_offset>
{
    std::map<std::string, log_offset> result;
    for (const auto& [id, item] : this->hosts.members())
    {
        const auto state = this->peers.find(id);
        const auto has_offset = state != this->peers.end() && item.status != member_status::suspect;
        if (id == this->hosts.self())
        {
            result[item.where.name] = this->configured.applied();
        }
        else if (item.status != member_status::absent)
        {
            result[item.where.name] = has_offset ? state->second.configuration : log_offset{};
        }
    }
    return result;
}

} // namespace poplardrift
