#pragma once

#include "fleet/keyed_mirror.hpp"
#include "fleet/record_decoder.hpp"
#include "observability/decision_log.hpp"
#include "routing/fleet_view.hpp"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplardrift::fleet
{

/// This host's state of the fleet. Applies published records to configuration, zones and upstreams,
/// and builds the immutable view that the traffic thread reads. Does no I/O; callers pass the time.
///
/// After a restore of the platform's store, the first listing may hold records that are older than
/// what this host has applied, until operators and upstreams have written again what was lost.
/// Configurations and upstream entries state their own age, so only newer ones take effect. All
/// other differences take effect when the time for writing again is over. Control thread.
class fleet_state final
{
public:
    fleet_state(const record_decoder& decoder, decision_log& log);

    auto set_bounds(const routing::fleet_bounds& bounds) -> void;
    auto set_hosts(const routing::host_group& hosts) -> void;
    /// Applies consecutive records from the platform or a peer. `end` is the position up to which
    /// the sender's copy of the stream is complete.
    auto on_records(record_stream stream, const std::vector<published_record>& records,
                    record_position end, time_point now) -> void;
    /// Applies a listing of the newest record of every key.
    auto on_listing(record_stream stream, const std::vector<published_record>& records,
                    record_position end, time_point now) -> void;
    /// Applies the records that a peer, whose copy is complete up to `end`, has sent for a fetch.
    auto on_changes(record_stream stream, const mirror_changes& changes, record_position end,
                    time_point now) -> void;
    /// A peer's copy is complete up to `end` and no record after `change_end` changed state there.
    /// Advances the local position without a fetch if this host already has all records up to
    /// `change_end`.
    auto on_peer_position(record_stream stream, record_position change_end, record_position end)
        -> void;
    /// The platform became reachable or unreachable from this host.
    auto on_platform_reachable(bool reachable, time_point now) -> void;

    [[nodiscard]] auto mirror_of(record_stream stream) const -> const keyed_mirror&
    {
        return this->mirrors[static_cast<std::size_t>(stream)];
    }
    /// Position after the last record that may change the state of a host.
    [[nodiscard]] auto change_end_of(record_stream stream) const -> record_position
    {
        return this->change_ends[static_cast<std::size_t>(stream)];
    }
    /// Removes expired upstreams. Returns a new view if anything changed since the last call, else
    /// null.
    [[nodiscard]] auto take_view(time_point now) -> std::shared_ptr<const routing::fleet_view>;

private:
    auto apply_record(record_stream stream, const published_record& record, time_point now) -> void;
    auto on_configuration(const configuration_published& published) -> void;
    auto on_zone(const zone_switched& change, time_point now) -> void;
    auto on_announced(const upstream_announced& announced, time_point now) -> void;
    auto on_removed(const upstream_removed& removed, time_point now) -> void;
    auto on_rollout(const rollout_ordered& ordered, const published_record& record, time_point now)
        -> void;
    auto on_rollout_withdrawn(const rollout_withdrawn& withdrawn) -> void;
    auto begin_recovery(record_stream stream, record_position end, time_point now) -> void;
    auto end_recoveries(time_point now) -> void;
    /// Defers the change to the end of the recovery if it comes from the first listing of an era;
    /// false if it is to be applied now.
    [[nodiscard]] auto defer_if_restored(record_stream stream, const published_record& record)
        -> bool;
    [[nodiscard]] auto is_outdated(const routing::upstream_entry& entry) const -> bool;
    auto remember_departed(const routing::known_upstream& known, time_point now) -> void;
    auto mark_zone_cold(const zone_name& zone, time_point now) -> void;
    auto remove_expired(time_point now) -> void;
    [[nodiscard]] auto may_have_expired(time_point now) const -> bool;

    /// A stream whose records are being written again after a restore.
    struct recovery
    {
        time_point ends_at{};
        std::set<std::string> deferred_keys; ///< whose records in the mirror are not applied yet
    };
    /// The last entry of an upstream that is gone, by which an older copy of it is recognized.
    struct departed_upstream
    {
        std::uint64_t start_number = 0;
        std::int64_t sequence = 0;
        time_point at{};
    };

    const record_decoder& decoder;
    decision_log& log;
    routing::fleet_bounds bounds;
    routing::host_group hosts;
    std::array<keyed_mirror, 2> mirrors;
    std::array<record_position, 2> change_ends;
    std::shared_ptr<const routing::routing_configuration> configuration;
    std::map<routing::upstream_name, routing::known_upstream> upstreams;
    std::map<routing::upstream_name, departed_upstream> departed;
    std::array<std::optional<recovery>, 2> recoveries; ///< by stream
    bool applies_restored_listing = false;             ///< records may be from before the restore
    std::set<zone_name> zones_out;
    std::map<std::string, rollout::rollout_order> rollouts; ///< by service
    bool applies_listing = false;                           ///< records may be from long ago
    bool platform_reachable = true;
    std::optional<time_point> platform_reachable_since;
    bool changed = true;
};

} // namespace poplardrift::fleet
