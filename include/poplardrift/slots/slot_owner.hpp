#pragma once

#include "poplardrift/config/declarations.hpp"
#include "poplardrift/slots/slot_ledger.hpp"
#include "poplardrift/slots/warmup.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace poplardrift
{

/// Maximum number of requests in flight at an upstream so that its load stays within `multiple`
/// times the weighted mean, rounded up, including the request that is being placed.
/// `total` is the number of requests in flight at all upstreams that count toward the mean;
/// `weight_part` is this upstream's share of their total weight.
[[nodiscard]] auto bound_by_mean(double multiple, std::uint32_t total, double weight_part)
    -> std::uint32_t;

/// Holds the upstreams whose slots this host grants. Control thread only.
class slot_owner final
{
public:
    slot_owner(slot_settings slots, warmup_settings conditions);

    /// Starts owning an upstream, or updates its declared limits if it is owned already.
    /// `published` is the last status that the former owner published.
    auto take_ownership(const upstream_declaration& declared,
                        const std::optional<upstream_status>& published, time_point now) -> void;
    auto drop(upstream_id id) -> void { this->owned.erase(id); }
    [[nodiscard]] auto owns(upstream_id id) const -> bool { return this->owned.contains(id); }
    [[nodiscard]] auto ids() const -> std::vector<upstream_id>;

    auto on_slot_report(host_id holder, const slot_report& report, message_sequence sequence,
                        message_sequence acknowledged, time_point now) -> void;
    auto on_upstream_report(upstream_id id, const upstream_report& report, time_point now) -> void;
    auto on_fault_report(upstream_id id, upstream_state suspected, time_point now) -> void;
    /// Removes a host whose process has ended. Its requests ended with it.
    auto remove_holder(host_id holder) -> void;

    /// While suspended, the upstream's limit is 0. Used while an engine is being changed.
    auto set_suspended(upstream_id id, bool suspended) -> void;
    /// Advances the upstream's warm-up and sets the load bound for its grants.
    auto update(upstream_id id, std::uint32_t bound, time_point now) -> void;
    /// Computes the holder's new grant. It may increase if `all_hosts_reported`, since all grants
    /// of a former owner are then known. Otherwise it may increase only with `may_wait_for_expiry`
    /// and once those grants have expired. `holder_is_owner` is true when the holder is this host.
    [[nodiscard]] auto grant(upstream_id id, host_id holder, bool holder_is_owner,
                             bool all_hosts_reported, bool may_wait_for_expiry,
                             message_sequence sequence, time_point now) -> slot_grant;
    /// True when the upstream's ledger has an entry for each of these hosts.
    [[nodiscard]] auto has_entries_for(upstream_id id, const std::vector<host_id>& hosts) const
        -> bool;

    /// True when the upstream has reported to this host and this host has owned it long enough to
    /// have received the other hosts' reports too.
    [[nodiscard]] auto has_fresh_report(upstream_id id, time_point now) const -> bool;
    [[nodiscard]] auto status(upstream_id id, time_point now) const -> upstream_status;
    [[nodiscard]] auto condition(upstream_id id) const -> const warmup&;
    [[nodiscard]] auto in_use(upstream_id id) const -> std::uint32_t;
    [[nodiscard]] auto granted_slots(upstream_id id, time_point now) const -> std::uint32_t;

private:
    struct owned_upstream
    {
        slot_ledger ledger;
        warmup condition;
        std::uint32_t limit = 0;
        bool suspended = false;
        time_point since{};
    };

    /// Requests that the upstream reports in excess of the slots granted by this owner. Counted
    /// only while requests admitted by a former owner may still run.
    [[nodiscard]] auto unaccounted_use(const owned_upstream& item, time_point now) const
        -> std::uint32_t;

    [[nodiscard]] auto at(upstream_id id) const -> const owned_upstream&;

    slot_settings slots;
    warmup_settings conditions;
    std::map<upstream_id, owned_upstream> owned;
};

} // namespace poplardrift
