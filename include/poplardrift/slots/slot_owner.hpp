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

/// Most requests in flight that an upstream may have so that it carries no more than `multiple`
/// times the mean load of its peers, rounded up, once one more request is placed.
/// `total` are the requests in flight of all that count towards the mean, `weight_part` is the
/// upstream's part of their weights.
[[nodiscard]] auto bound_by_mean(double multiple, std::uint32_t total, double weight_part)
    -> std::uint32_t;

/// The upstreams whose slots this host grants. Control thread only.
class slot_owner final
{
public:
    slot_owner(slot_settings slots, warmup_settings conditions);

    /// Starts to own an upstream. `published` is what its former owner last said of it.
    auto take_ownership(const upstream_declaration& declared,
                        const std::optional<upstream_status>& published, time_point now) -> void;
    auto drop(upstream_id id) -> void { this->owned.erase(id); }
    [[nodiscard]] auto owns(upstream_id id) const -> bool { return this->owned.contains(id); }
    [[nodiscard]] auto ids() const -> std::vector<upstream_id>;

    auto on_slot_report(host_id holder, const slot_report& report, message_sequence sequence,
                        message_sequence acknowledged, time_point now) -> void;
    auto on_upstream_report(upstream_id id, const upstream_report& report, time_point now) -> void;
    auto on_fault_report(upstream_id id, upstream_state suspected, time_point now) -> void;
    /// A host's process is gone: its requests ended with it.
    auto remove_holder(host_id holder) -> void;

    /// Grants nothing while the engine is being changed.
    auto set_suspended(upstream_id id, bool suspended) -> void;
    /// Lets an upstream's warm-up go on and sets the bound that grants keep.
    auto update(upstream_id id, std::uint32_t bound, time_point now) -> void;
    /// What the holder gets now. `all_hosts_reported` says that every listed host has reported, so
    /// that no promise of a former owner is unknown; `may_wait_for_expiry` that, failing this,
    /// waiting for such promises to run out is enough. With `holder_is_owner`, the holder is the
    /// owner itself.
    [[nodiscard]] auto grant(upstream_id id, host_id holder, bool holder_is_owner,
                             bool all_hosts_reported, bool may_wait_for_expiry,
                             message_sequence sequence, time_point now) -> slot_grant;
    /// True when all these hosts have reported to this owner.
    [[nodiscard]] auto has_reports_from_all(upstream_id id, const std::vector<host_id>& hosts) const
        -> bool;

    /// True when the upstream has reported since this host owns it.
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

    /// Requests that the upstream reports beyond those that this owner knows of, while promises of
    /// a former owner may stand.
    [[nodiscard]] auto unaccounted_use(const owned_upstream& item, time_point now) const
        -> std::uint32_t;

    [[nodiscard]] auto at(upstream_id id) const -> const owned_upstream&;

    slot_settings slots;
    warmup_settings conditions;
    std::map<upstream_id, owned_upstream> owned;
};

} // namespace poplardrift
