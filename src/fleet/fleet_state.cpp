#include "fleet/fleet_state.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace poplardrift::fleet
{

namespace
{

using namespace std::chrono_literals;

/// Upstreams renew entries that expired during a platform outage about this long after its end.
constexpr duration renewal_time = 2500ms;
/// Records of an upstream's former process are delivered at most this long after its restart has
/// been seen. A lower start number is accepted later, because the upstream's clock may be set back.
constexpr duration late_record_window = 2500ms;
/// The time limit for removals divided by this is reserved for reading the record, which takes
/// longer in fleets with longer limits, and for requests in flight.
constexpr int removal_margin_divisor = 4;

} // namespace

fleet_state::fleet_state(const record_decoder& decoder, decision_log& log)
    : decoder(decoder), log(log)
{
}

auto fleet_state::set_bounds(const routing::fleet_bounds& next) -> void
{
    this->bounds = next;
    this->changed = true;
}

auto fleet_state::set_hosts(const routing::host_group& next) -> void
{
    if (next != this->hosts)
    {
        this->hosts = next;
        this->changed = true;
    }
}

auto fleet_state::on_records(record_stream stream, const std::vector<published_record>& records,
                             record_position end, time_point now) -> void
{
    auto& mirror = this->mirrors[static_cast<std::size_t>(stream)];
    if (!mirror.is_complete())
    {
        this->changed = true;
    }
    for (const auto& record : records)
    {
        // Records before the end are already contained, possibly as the removal of a key that is
        // not stored here.
        const auto is_contained = mirror.is_complete() && record.position < mirror.end();
        if (!is_contained && mirror.apply(record))
        {
            this->apply_record(stream, record, now);
        }
    }
    mirror.advance(end);
}

auto fleet_state::on_listing(record_stream stream, const std::vector<published_record>& records,
                             record_position end, time_point now) -> void
{
    auto& mirror = this->mirrors[static_cast<std::size_t>(stream)];
    this->changed = this->changed || !mirror.is_complete();
    this->applies_listing = true;
    for (const auto& record : mirror.apply_listing(records, end))
    {
        this->apply_record(stream, record, now);
    }
    this->applies_listing = false;
    // A listing does not show the individual removals before it, but peers may not have applied
    // them yet.
    auto& change_end = this->change_ends[static_cast<std::size_t>(stream)];
    change_end = std::max(change_end, end);
}

auto fleet_state::on_platform_reachable(bool reachable, time_point now) -> void
{
    if (reachable == this->platform_reachable)
    {
        return;
    }
    this->platform_reachable = reachable;
    if (reachable)
    {
        this->platform_reachable_since = now;
    }
    this->log.write(reachable ? event_code::log_reachable : event_code::log_unreachable,
                    {{"operators_position", this->mirrors[0].end().value()},
                     {"upstreams_position", this->mirrors[1].end().value()}});
}

auto fleet_state::on_changes(record_stream stream, const mirror_changes& changes,
                             record_position end, time_point now) -> void
{
    const auto& mirror = this->mirror_of(stream);
    if (mirror.is_complete() && end <= mirror.end())
    {
        return;
    }
    if (changes.is_listing)
    {
        this->on_listing(stream, changes.records, end, now);
        return;
    }
    this->on_records(stream, changes.records, end, now);
    if (!changes.records.empty())
    {
        // Intermediate records may have been replaced by later ones that change nothing here but do
        // change the state of other hosts.
        auto& change_end = this->change_ends[static_cast<std::size_t>(stream)];
        change_end = std::max(change_end, end);
    }
}

auto fleet_state::on_peer_position(record_stream stream, record_position change_end,
                                   record_position end) -> void
{
    auto& mirror = this->mirrors[static_cast<std::size_t>(stream)];
    if (mirror.is_complete() && change_end <= mirror.end())
    {
        mirror.advance(end);
    }
}

auto fleet_state::apply_record(record_stream stream, const published_record& record, time_point now)
    -> void
{
    auto change = this->decoder.decode(stream, record);
    if (!change)
    {
        this->log.write(event_code::record_ignored, {{"key", record.key},
                                                     {"position", record.position.value()},
                                                     {"reason", change.failure_reason()}});
        return;
    }
    const auto was_changed = std::exchange(this->changed, false);
    struct visitor
    {
        fleet_state& self;
        const published_record& record;
        time_point now;
        auto operator()(const configuration_published& it) -> void { self.on_configuration(it); }
        auto operator()(const zone_switched& it) -> void { self.on_zone(it, now); }
        auto operator()(const upstream_announced& it) -> void { self.on_announced(it, now); }
        auto operator()(const upstream_removed& it) -> void { self.on_removed(it, now); }
        auto operator()(const rollout_ordered& it) -> void { self.on_rollout(it, record, now); }
        auto operator()(const rollout_withdrawn& it) -> void { self.on_rollout_withdrawn(it); }
        auto operator()(const irrelevant_record&) -> void {}
    };
    std::visit(visitor{*this, record, now}, *change);
    // Removals and operator records count as changes even without effect here: a peer may hold an
    // entry that this host never received.
    if (this->changed || !record.value || stream == record_stream::operators)
    {
        auto& change_end = this->change_ends[static_cast<std::size_t>(stream)];
        change_end = std::max(change_end, record_position(record.position.value() + 1));
    }
    this->changed = this->changed || was_changed;
}

auto fleet_state::on_configuration(const configuration_published& published) -> void
{
    if (this->configuration && published.configuration->version <= this->configuration->version)
    {
        return;
    }
    this->configuration = published.configuration;
    this->changed = true;
    this->log.write(event_code::configuration_applied,
                    {{"version", this->configuration->version.value()},
                     {"routes", this->configuration->routes.size()},
                     {"workspaces", this->configuration->workspaces.size()}});
}

auto fleet_state::on_zone(const zone_switched& change, time_point now) -> void
{
    const auto was_out = this->zones_out.contains(change.zone);
    if (was_out == change.out)
    {
        return;
    }
    this->changed = true;
    this->log.write(change.out ? event_code::zone_out : event_code::zone_in,
                    {{"zone", change.zone.value()}});
    if (change.out)
    {
        this->zones_out.insert(change.zone);
        return;
    }
    this->zones_out.erase(change.zone);
    this->mark_zone_cold(change.zone, now);
}

auto fleet_state::mark_zone_cold(const zone_name& zone, time_point now) -> void
{
    if (!this->configuration)
    {
        return;
    }
    for (auto& [name, known] : this->upstreams)
    {
        const auto service = this->configuration->find_service(known.entry.service);
        if (known.entry.zone == zone && service)
        {
            // The upstreams' registry entries may not report yet that they are cold.
            const auto cold_start = this->configuration->services[*service].cold_start;
            known.cold_until = std::max(known.cold_until, now + cold_start);
        }
    }
}

auto fleet_state::on_announced(const upstream_announced& announced, time_point now) -> void
{
    const auto& entry = announced.entry;
    const auto found = this->upstreams.find(entry.name);
    const auto is_new = found == this->upstreams.end();
    if (!is_new && entry.start_number < found->second.entry.start_number &&
        now - found->second.start_seen_at < late_record_window)
    {
        // Written by the upstream's former process and delivered late.
        this->log.write(event_code::record_ignored, {{"key", entry.name.value()},
                                                     {"start_number", entry.start_number},
                                                     {"reason", "from before the last start"}});
        return;
    }
    const auto restarted = !is_new && found->second.entry.start_number != entry.start_number;
    if (is_new || restarted)
    {
        this->log.write(event_code::upstream_joined, {{"upstream", entry.name.value()},
                                                      {"service", entry.service},
                                                      {"zone", entry.zone.value()},
                                                      {"version", entry.version},
                                                      {"start_number", entry.start_number},
                                                      {"cold_ms", entry.cold_remaining / 1ms}});
    }
    if (entry.leaving && (is_new || !found->second.entry.leaving))
    {
        this->log.write(event_code::upstream_leaving, {{"upstream", entry.name.value()}});
    }
    auto& known = this->upstreams[entry.name];
    const auto cold_until = entry.cold_remaining > 0ns ? now + entry.cold_remaining : time_point{};
    const auto same = !is_new && !restarted && known.entry.leaving == entry.leaving &&
                      known.entry.address == entry.address &&
                      known.entry.service == entry.service && known.entry.zone == entry.zone &&
                      known.entry.version == entry.version && known.entry.slots == entry.slots &&
                      known.usable_until == time_point::max() && cold_until <= known.cold_until;
    const auto was_leaving = !is_new && !restarted && known.entry.leaving;
    if (is_new || restarted)
    {
        known.start_seen_at = now;
    }
    known.entry = entry;
    known.entry.leaving = entry.leaving || was_leaving;
    known.usable_until = time_point::max();
    known.cold_until = restarted ? cold_until : std::max(known.cold_until, cold_until);
    this->changed = this->changed || !same;
}

auto fleet_state::may_have_expired(time_point now) const -> bool
{
    return !this->platform_reachable ||
           (this->platform_reachable_since && now - *this->platform_reachable_since < renewal_time);
}

auto fleet_state::on_removed(const upstream_removed& removed, time_point now) -> void
{
    const auto found = this->upstreams.find(removed.name);
    if (found == this->upstreams.end())
    {
        return;
    }
    this->changed = true;
    auto& known = found->second;
    if (this->may_have_expired(now) && !known.entry.leaving)
    {
        const auto limit = this->bounds.leave_within;
        known.usable_until = now + std::min(limit - limit / removal_margin_divisor, renewal_time);
        return;
    }
    this->log.write(event_code::upstream_gone, {{"upstream", removed.name.value()}});
    this->upstreams.erase(found);
}

auto fleet_state::on_rollout(const rollout_ordered& ordered, const published_record& record,
                             time_point now) -> void
{
    if (this->configuration && !this->configuration->find_service(ordered.service))
    {
        this->log.write(event_code::record_ignored, {{"key", record.key},
                                                     {"position", record.position.value()},
                                                     {"reason", "unknown service"}});
        return;
    }
    auto& order = this->rollouts[ordered.service];
    const auto position = rollout::order_position(record.position.value());
    if (order.to == ordered.to && order.position == position)
    {
        return;
    }
    order = {ordered.service, ordered.to, ordered.length, position, now, !this->applies_listing};
    this->changed = true;
}

auto fleet_state::on_rollout_withdrawn(const rollout_withdrawn& withdrawn) -> void
{
    this->changed = this->rollouts.erase(withdrawn.service) > 0 || this->changed;
}

auto fleet_state::remove_expired(time_point now) -> void
{
    for (auto item = this->upstreams.begin(); item != this->upstreams.end();)
    {
        if (now < item->second.usable_until)
        {
            ++item;
            continue;
        }
        this->log.write(event_code::upstream_gone,
                        {{"upstream", item->first.value()}, {"reason", "entry not renewed"}});
        item = this->upstreams.erase(item);
        this->changed = true;
    }
}

auto fleet_state::take_view(time_point now) -> std::shared_ptr<const routing::fleet_view>
{
    this->remove_expired(now);
    if (!this->changed)
    {
        return nullptr;
    }
    this->changed = false;
    auto view = std::make_shared<routing::fleet_view>();
    view->configuration = this->configuration;
    for (const auto& [name, known] : this->upstreams)
    {
        view->upstreams.push_back(known);
    }
    for (const auto& [service, order] : this->rollouts)
    {
        view->rollouts.push_back(order);
    }
    view->zones_out = this->zones_out;
    view->hosts = this->hosts;
    view->bounds = this->bounds;
    view->upstreams_known = this->mirror_of(record_stream::upstreams).is_complete();
    return view;
}

} // namespace poplardrift::fleet
