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
/// Operators and upstreams write again what a restore of the store has lost within this time.
constexpr duration rewrite_time = 2s;
/// A restored copy is seconds old, so it holds no upstream that has been gone for this long.
constexpr duration departed_retention = 5min;
/// The time limit for removals divided by this is reserved for reading the record, which takes
/// longer in fleets with longer limits, and for requests in flight.
constexpr int removal_margin_divisor = 4;

/// Identifies an order by the era and the offset of its record.
auto to_order_position(record_position position) -> rollout::order_position
{
    constexpr unsigned offset_bits = 44;
    return rollout::order_position(
        static_cast<std::uint64_t>(position.era().value()) << offset_bits | position.offset());
}

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
    const auto is_restored = mirror.is_complete() && end.era() > mirror.end().era();
    if (is_restored)
    {
        this->begin_recovery(stream, end, now);
    }
    this->applies_listing = true;
    this->applies_restored_listing = is_restored;
    for (const auto& record : mirror.apply_listing(records, end))
    {
        this->apply_record(stream, record, now);
    }
    this->applies_restored_listing = false;
    this->applies_listing = false;
    // A listing does not show the individual removals before it, but peers may not have applied
    // them yet.
    auto& change_end = this->change_ends[static_cast<std::size_t>(stream)];
    change_end = std::max(change_end, end);
}

auto fleet_state::begin_recovery(record_stream stream, record_position end, time_point now) -> void
{
    const auto before = this->mirror_of(stream).end();
    this->log.write(event_code::store_restored, {{"stream", static_cast<int>(stream)},
                                                 {"era_before", before.era().value()},
                                                 {"position_before", before.offset()},
                                                 {"era", end.era().value()},
                                                 {"position", end.offset()}});
    auto& current = this->recoveries[static_cast<std::size_t>(stream)];
    auto deferred_keys =
        current ? std::move(current->deferred_keys) : std::set<std::string>(); // of a former era
    current = recovery{now + rewrite_time, std::move(deferred_keys)};
    if (stream != record_stream::upstreams)
    {
        return;
    }
    for (auto& [name, known] : this->upstreams)
    {
        if (known.usable_until != time_point::max())
        {
            // Its entry may have been written again and lost by this restore.
            known.usable_until = current->ends_at;
        }
    }
}

auto fleet_state::end_recoveries(time_point now) -> void
{
    for (const auto stream : {record_stream::operators, record_stream::upstreams})
    {
        auto& current = this->recoveries[static_cast<std::size_t>(stream)];
        if (!current || now < current->ends_at)
        {
            continue;
        }
        const auto ended = *std::exchange(current, std::nullopt);
        this->applies_listing = true;
        for (const auto& key : ended.deferred_keys)
        {
            this->apply_record(stream, this->mirror_of(stream).find(key), now);
        }
        this->applies_listing = false;
    }
}

auto fleet_state::defer_if_restored(record_stream stream, const published_record& record) -> bool
{
    if (this->applies_restored_listing)
    {
        this->recoveries[static_cast<std::size_t>(stream)]->deferred_keys.insert(record.key);
    }
    return this->applies_restored_listing;
}

auto fleet_state::is_outdated(const routing::upstream_entry& entry) const -> bool
{
    const auto is_newer_than = [&](std::uint64_t start_number, std::int64_t sequence)
    {
        return entry.start_number != start_number ? entry.start_number > start_number
                                                  : entry.sequence > sequence;
    };
    const auto known = this->upstreams.find(entry.name);
    if (known != this->upstreams.end())
    {
        const auto& last = known->second.entry;
        return !is_newer_than(last.start_number, last.sequence);
    }
    const auto gone = this->departed.find(entry.name);
    return gone != this->departed.end() &&
           !is_newer_than(gone->second.start_number, gone->second.sequence);
}

auto fleet_state::remember_departed(const routing::known_upstream& known, time_point now) -> void
{
    this->departed[known.entry.name] = {known.entry.start_number, known.entry.sequence, now};
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
                    {{"operators_position", this->mirrors[0].end().offset()},
                     {"upstreams_position", this->mirrors[1].end().offset()}});
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
                                                     {"position", record.position.offset()},
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
        auto operator()(const zone_switched& it) -> void
        {
            if (!self.defer_if_restored(record_stream::operators, record))
            {
                self.on_zone(it, now);
            }
        }
        auto operator()(const upstream_announced& it) -> void { self.on_announced(it, now); }
        auto operator()(const upstream_removed& it) -> void { self.on_removed(it, now); }
        auto operator()(const rollout_ordered& it) -> void
        {
            if (!self.defer_if_restored(record_stream::operators, record))
            {
                self.on_rollout(it, record, now);
            }
        }
        auto operator()(const rollout_withdrawn& it) -> void
        {
            if (!self.defer_if_restored(record_stream::operators, record))
            {
                self.on_rollout_withdrawn(it);
            }
        }
        auto operator()(const irrelevant_record&) -> void {}
    };
    std::visit(visitor{*this, record, now}, *change);
    // Removals and operator records count as changes even without effect here: a peer may hold an
    // entry that this host never received.
    if (this->changed || !record.value || stream == record_stream::operators)
    {
        auto& change_end = this->change_ends[static_cast<std::size_t>(stream)];
        change_end = std::max(change_end, record.position.next());
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
    if (this->applies_restored_listing && this->is_outdated(entry))
    {
        return;
    }
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
    this->departed.erase(entry.name);
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
           this->recoveries[static_cast<std::size_t>(record_stream::upstreams)] ||
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
        // A restore discards entries that nobody has removed, so no time limit for removals runs.
        known.usable_until =
            this->applies_restored_listing
                ? now + rewrite_time
                : now + std::min(limit - limit / removal_margin_divisor, renewal_time);
        return;
    }
    this->log.write(event_code::upstream_gone, {{"upstream", removed.name.value()}});
    this->remember_departed(known, now);
    this->upstreams.erase(found);
}

auto fleet_state::on_rollout(const rollout_ordered& ordered, const published_record& record,
                             time_point now) -> void
{
    if (this->configuration && !this->configuration->find_service(ordered.service))
    {
        this->log.write(event_code::record_ignored, {{"key", record.key},
                                                     {"position", record.position.offset()},
                                                     {"reason", "unknown service"}});
        return;
    }
    auto& order = this->rollouts[ordered.service];
    const auto position = to_order_position(record.position);
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
        this->remember_departed(item->second, now);
        item = this->upstreams.erase(item);
        this->changed = true;
    }
    std::erase_if(this->departed,
                  [now](const auto& gone) { return now - gone.second.at > departed_retention; });
}

auto fleet_state::take_view(time_point now) -> std::shared_ptr<const routing::fleet_view>
{
    this->end_recoveries(now);
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
