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
#include <vector>

namespace poplardrift::fleet
{

/// What this host believes of the fleet: folds published records into configuration, zones and
/// upstreams, and builds the view that the traffic thread works with. Free of I/O; time comes in.
/// Control thread.
class fleet_state final
{
public:
    fleet_state(const record_decoder& decoder, decision_log& log);

    auto set_bounds(const routing::fleet_bounds& bounds) -> void;
    auto set_host_count(std::size_t count) -> void;
    /// Records that follow each other, from the platform or another host. `end` is the position up
    /// to which the sender knows the stream.
    auto on_records(record_stream stream, const std::vector<published_record>& records,
                    record_position end, time_point now) -> void;
    /// All newest records of a stream, as the platform lists them.
    auto on_listing(record_stream stream, const std::vector<published_record>& records,
                    record_position end, time_point now) -> void;
    /// What another host, which knows the stream up to `end`, has more than this one.
    auto on_changes(record_stream stream, const mirror_changes& changes, record_position end,
                    time_point now) -> void;
    /// Another host knows the stream up to `end` and has seen no news after `change_end`.
    auto on_peer_position(record_stream stream, record_position change_end, record_position end)
        -> void;
    /// The platform does not serve this host, or does again.
    auto on_platform_reachable(bool reachable, time_point now) -> void;

    [[nodiscard]] auto mirror_of(record_stream stream) const -> const keyed_mirror&
    {
        return this->mirrors[static_cast<std::size_t>(stream)];
    }
    /// Position after the last record that may change what a host believes.
    [[nodiscard]] auto change_end_of(record_stream stream) const -> record_position
    {
        return this->change_ends[static_cast<std::size_t>(stream)];
    }
    /// A new view if anything has changed since the last call; null otherwise.
    [[nodiscard]] auto take_view(time_point now) -> std::shared_ptr<const routing::fleet_view>;

private:
    auto apply_record(record_stream stream, const published_record& record, time_point now) -> void;
    auto on_configuration(const configuration_published& published) -> void;
    auto on_zone(const zone_switched& change, time_point now) -> void;
    auto on_announced(const upstream_announced& announced, time_point now) -> void;
    auto on_removed(const upstream_removed& removed, time_point now) -> void;
    auto mark_zone_cold(const zone_name& zone, time_point now) -> void;
    auto remove_expired(time_point now) -> void;
    [[nodiscard]] auto may_have_expired(time_point now) const -> bool;

    const record_decoder& decoder;
    decision_log& log;
    routing::fleet_bounds bounds;
    std::size_t host_count = 1;
    std::array<keyed_mirror, 2> mirrors;
    std::array<record_position, 2> change_ends;
    std::shared_ptr<const routing::routing_configuration> configuration;
    std::map<routing::upstream_name, routing::known_upstream> upstreams;
    std::set<zone_name> zones_out;
    bool platform_reachable = true;
    std::optional<time_point> platform_reachable_since;
    bool changed = true;
};

} // namespace poplardrift::fleet
