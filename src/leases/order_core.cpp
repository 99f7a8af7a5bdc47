#include "poplardrift/leases/order_core.hpp"

#include <algorithm>

namespace poplardrift
{

namespace
{

/// Time in which the engine's reports must show the effect of an order before it is sent again.
constexpr duration order_report_timeout = std::chrono::seconds(10);

auto load_permit_name(std::int64_t permit) -> lease_name
{
    return lease_name{"weights/" + std::to_string(permit)};
}

} // namespace

order_core::order_core(order_settings settings, host_id self, incarnation_id incarnation)
    : settings(settings), self(self), incarnation(incarnation)
{
}

auto order_core::take_actions() -> std::vector<order_action>
{
    return std::exchange(this->actions, {});
}

auto order_core::report_event(event_code code, std::string detail) -> void
{
    this->actions.emplace_back(report_order_event{{code, std::move(detail)}});
}

auto order_core::claim_lease(const lease_name& name, time_point now) -> void
{
    const auto found = this->claims.find(name);
    if (found != this->claims.end() && now - found->second.sent < this->settings.claim_timeout)
    {
        return;
    }
    // An earlier claim that has not been read back may still appear on the log. Its lease must be
    // timed from its own send, so the earlier time is kept.
    const auto sent = found == this->claims.end() ? now : found->second.sent;
    this->claims[name] = {sent};
    const auto length = std::chrono::duration_cast<log_time>(this->settings.lease);
    this->actions.emplace_back(append_lease_record{{name, this->self, this->incarnation, length}});
}

auto order_core::on_record(log_offset offset, log_time time, const lease_record& record) -> void
{
    const auto granted = this->leases.apply(offset, time, record);
    const auto is_own = record.host == this->self && record.incarnation == this->incarnation;
    const auto pending = this->claims.find(record.name);
    if (!is_own || record.length == log_time{} || pending == this->claims.end())
    {
        return;
    }
    const auto sent = pending->second.sent;
    this->claims.erase(pending);
    if (!granted)
    {
        return;
    }
    // The log appended the claim after `sent`, so the lease lasts at least until `sent` plus its
    // length. The margin is subtracted from that.
    this->held[record.name] = {offset, sent + this->settings.lease - this->settings.margin};
    this->report_event(event_code::lease_acquired,
                       record.name.value() + " fencing number " + std::to_string(offset.value()));
}

auto order_core::valid_lease(const lease_name& name, time_point now) -> const held_lease*
{
    const auto found = this->held.find(name);
    if (found == this->held.end())
    {
        return nullptr;
    }
    const auto* by_log = this->leases.find(name);
    const auto is_own =
        by_log != nullptr && by_log->host == this->self && by_log->incarnation == this->incarnation;
    if (now >= found->second.valid_until || !is_own)
    {
        this->report_event(event_code::lease_lost, name.value());
        this->held.erase(found);
        return nullptr;
    }
    return &found->second;
}

auto order_core::acquire_load_permit(time_point now) -> const held_lease*
{
    for (std::int64_t permit = 0; permit < this->settings.concurrent_loads; ++permit)
    {
        if (const auto* lease = this->valid_lease(load_permit_name(permit), now))
        {
            return lease;
        }
    }
    // Claim every permit; the log grants those that are free.
    for (std::int64_t permit = 0; permit < this->settings.concurrent_loads; ++permit)
    {
        this->claim_lease(load_permit_name(permit), now);
    }
    return nullptr;
}

auto order_core::release_lease(const lease_name& name) -> void
{
    if (this->held.erase(name) > 0)
    {
        this->actions.emplace_back(
            append_lease_record{{name, this->self, this->incarnation, log_time{}}});
    }
}

auto order_core::advance_change(const managed_engine& engine, model_change& change, time_point now)
    -> void
{
    if (now < change.not_before)
    {
        return;
    }
    if (change.ordered && now - change.ordered_at < order_report_timeout)
    {
        return;
    }
    change.ordered = false;
    // The engine's lease ensures that only one host sends it orders.
    const auto* lease = this->valid_lease(lease_name{engine.path}, now);
    if (lease == nullptr)
    {
        this->claim_lease(lease_name{engine.path}, now);
        return;
    }
    // The load permit limits concurrent reads of the weight store across the fleet.
    if (this->acquire_load_permit(now) == nullptr)
    {
        return;
    }
    // Drain the engine so that no running request is interrupted.
    if (!change.granting_suspended)
    {
        change.granting_suspended = true;
        this->actions.emplace_back(suspend_granting{engine.id, true});
        return;
    }
    if (engine.in_use > 0)
    {
        return;
    }
    change.ordered = true;
    change.ordered_at = now;
    this->report_event(event_code::order_sent, engine.path + " model " + engine.declared_model);
    this->actions.emplace_back(send_order{engine, lease->fencing_number, lease->valid_until,
                                          this->settings.order_timeout});
}

auto order_core::complete_change(const managed_engine& engine) -> void
{
    this->report_event(event_code::order_settled, engine.path + " model " + engine.reported_model);
    this->drop_change(engine.id, engine.path);
}

auto order_core::drop_change(upstream_id id, const std::string& path) -> void
{
    const auto found = this->model_changes.find(id);
    if (found->second.granting_suspended)
    {
        this->actions.emplace_back(suspend_granting{id, false});
    }
    this->release_lease(lease_name{path});
    this->model_changes.erase(found);
    this->engine_paths.erase(id);
    if (this->model_changes.empty())
    {
        for (std::int64_t permit = 0; permit < this->settings.concurrent_loads; ++permit)
        {
            this->release_lease(load_permit_name(permit));
        }
    }
}

auto order_core::on_order_result(upstream_id id, order_result result, time_point now) -> void
{
    const auto found = this->model_changes.find(id);
    if (found == this->model_changes.end() || result == order_result::accepted ||
        result == order_result::lost)
    {
        // The engine's reports show the outcome.
        return;
    }
    auto& change = found->second;
    change.ordered = false;
    const auto retry_delay =
        this->settings.backoff * (std::int64_t{1} << std::min(change.failures, 5U));
    change.not_before = now + std::min<duration>(retry_delay, this->settings.max_backoff);
    ++change.failures;
    this->held.erase(lease_name{this->engine_paths[id]});
    this->report_event(event_code::order_refused, this->engine_paths[id]);
}

auto order_core::on_tick(const std::vector<managed_engine>& engines, time_point now) -> void
{
    std::set<upstream_id> present;
    for (const auto& engine : engines)
    {
        present.insert(engine.id);
        const auto models_known = !engine.declared_model.empty() && !engine.reported_model.empty();
        const auto found = this->model_changes.find(engine.id);
        if (models_known && engine.declared_model == engine.reported_model &&
            found != this->model_changes.end())
        {
            this->complete_change(engine);
        }
        else if (models_known && engine.declared_model != engine.reported_model)
        {
            this->engine_paths[engine.id] = engine.path;
            this->advance_change(engine, this->model_changes[engine.id], now);
        }
    }
    // Engines that this host no longer manages.
    std::vector<std::pair<upstream_id, std::string>> removed;
    for (const auto& [id, path] : this->engine_paths)
    {
        if (!present.contains(id))
        {
            removed.emplace_back(id, path);
        }
    }
    for (const auto& [id, path] : removed)
    {
        this->drop_change(id, path);
    }
}

} // namespace poplardrift
