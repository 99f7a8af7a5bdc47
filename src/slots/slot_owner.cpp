#include "poplardrift/slots/slot_owner.hpp"

#include "poplardrift/base/assert.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift
{

namespace
{

/// Prevents rounding up when a floating-point product such as 1.25 * 8 / 10 is off by its last bit.
constexpr double rounding_tolerance = 1e-9;
/// A new owner receives the reports of the other hosts and of the upstream within this time.
constexpr duration min_takeover = std::chrono::milliseconds(700);
/// Time for which requests admitted by a former owner may still run, unknown to the new owner.
constexpr duration max_takeover = std::chrono::seconds(10);

} // namespace

auto bound_by_mean(double multiple, std::uint32_t total, double weight_part) -> std::uint32_t
{
    const auto exact = multiple * (static_cast<double>(total) + 1.0) * weight_part;
    return static_cast<std::uint32_t>(std::max(1.0, std::ceil(exact - rounding_tolerance)));
}

slot_owner::slot_owner(slot_settings slots, warmup_settings conditions)
    : slots(slots), conditions(conditions)
{
}

auto slot_owner::at(upstream_id id) const -> const owned_upstream&
{
    const auto found = this->owned.find(id);
    POPLARDRIFT_ASSERT(found != this->owned.end());
    return found->second;
}

auto slot_owner::take_ownership(const upstream_declaration& declared,
                                const std::optional<upstream_status>& published, time_point now)
    -> void
{
    const auto id = make_upstream_id(declared.path);
    const auto cold = static_cast<std::uint32_t>(declared.cold_capacity);
    const auto capacity = static_cast<std::uint32_t>(declared.capacity);
    const auto found = this->owned.find(id);
    if (found != this->owned.end())
    {
        found->second.condition.set_declared(cold, capacity);
        return;
    }
    const auto needs_reports = declared.kind == upstream_kind::engine;
    owned_upstream item{slot_ledger(this->slots, now),
                        warmup(this->conditions, cold, capacity, needs_reports), cold, false, now};
    if (published)
    {
        item.condition.inherit(*published);
    }
    this->owned.emplace(id, std::move(item));
}

auto slot_owner::ids() const -> std::vector<upstream_id>
{
    std::vector<upstream_id> result;
    result.reserve(this->owned.size());
    for (const auto& [id, item] : this->owned)
    {
        result.push_back(id);
    }
    return result;
}

auto slot_owner::on_slot_report(host_id holder, const slot_report& report,
                                message_sequence sequence, message_sequence acknowledged,
                                time_point now) -> void
{
    const auto found = this->owned.find(report.upstream);
    if (found != this->owned.end())
    {
        found->second.ledger.on_report(holder, report, sequence, acknowledged, now);
    }
}

auto slot_owner::on_upstream_report(upstream_id id, const upstream_report& report, time_point now)
    -> void
{
    const auto found = this->owned.find(id);
    if (found != this->owned.end())
    {
        found->second.condition.on_report(report, now);
    }
}

auto slot_owner::on_fault_report(upstream_id id, upstream_state suspected, time_point now) -> void
{
    const auto found = this->owned.find(id);
    if (found != this->owned.end())
    {
        found->second.condition.on_fault_report(suspected, now);
    }
}

auto slot_owner::remove_holder(host_id holder) -> void
{
    for (auto& [id, item] : this->owned)
    {
        item.ledger.erase_holder(holder);
    }
}

auto slot_owner::has_fresh_report(upstream_id id, time_point now) const -> bool
{
    const auto& item = this->at(id);
    return item.condition.last_report().has_value() && now - item.since > min_takeover;
}

auto slot_owner::unaccounted_use(const owned_upstream& item, time_point now) const -> std::uint32_t
{
    const auto& report = item.condition.last_report();
    if (!report || now - item.since > max_takeover)
    {
        return 0;
    }
    const auto known = item.ledger.granted_slots(now);
    return report->in_flight > known ? report->in_flight - known : 0;
}

auto slot_owner::set_suspended(upstream_id id, bool suspended) -> void
{
    const auto found = this->owned.find(id);
    if (found != this->owned.end())
    {
        found->second.suspended = suspended;
    }
}

auto slot_owner::update(upstream_id id, std::uint32_t bound, time_point now) -> void
{
    const auto found = this->owned.find(id);
    POPLARDRIFT_ASSERT(found != this->owned.end());
    auto& item = found->second;
    item.ledger.expire(now);
    item.condition.on_tick(item.ledger.in_use(), bound, now);
    const auto limit = item.suspended ? 0 : std::min(item.condition.limit(), bound);
    const auto unaccounted = this->unaccounted_use(item, now);
    item.limit = limit > unaccounted ? limit - unaccounted : 0;
}

auto slot_owner::grant(upstream_id id, host_id holder, bool holder_is_owner,
                       bool all_hosts_reported, bool may_wait_for_expiry, message_sequence sequence,
                       time_point now) -> slot_grant
{
    const auto found = this->owned.find(id);
    POPLARDRIFT_ASSERT(found != this->owned.end());
    auto& item = found->second;
    const auto former_expired = may_wait_for_expiry && item.ledger.former_grants_expired(now);
    const auto may_increase = all_hosts_reported || former_expired;
    auto result = holder_is_owner
                      ? item.ledger.grant_remainder(holder, item.limit, may_increase, sequence, now)
                      : item.ledger.grant(holder, item.limit, may_increase, sequence, now);
    result.upstream = id;
    return result;
}

auto slot_owner::has_entries_for(upstream_id id, const std::vector<host_id>& hosts) const -> bool
{
    const auto& ledger = this->at(id).ledger;
    return std::all_of(hosts.begin(), hosts.end(),
                       [&](host_id host) { return ledger.has_entry(host); });
}

auto slot_owner::status(upstream_id id, time_point now) const -> upstream_status
{
    const auto& item = this->at(id);
    // Idle slots count as free even when granted: the owner can grant its own ones to others.
    const auto in_use = item.ledger.in_use();
    const auto free_slots = item.limit > in_use ? item.limit - in_use : 0;
    return {id, item.condition.state(), item.condition.limit(), free_slots,
            item.condition.incarnation()};
}

auto slot_owner::condition(upstream_id id) const -> const warmup&
{
    return this->at(id).condition;
}

auto slot_owner::in_use(upstream_id id) const -> std::uint32_t
{
    return this->at(id).ledger.in_use();
}

auto slot_owner::granted_slots(upstream_id id, time_point now) const -> std::uint32_t
{
    return this->at(id).ledger.granted_slots(now);
}

} // namespace poplardrift
