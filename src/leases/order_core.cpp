#include "poplardrift/leases/order_core.hpp"

#include <algorithm>

namespace poplardrift
{

namespace
{

/// An order whose answer is lost is settled by the engine's reports within this time.
constexpr duration settle_patience = std::chrono::seconds(10);

auto weight_name(std::int64_t place) -> lease_name
{
    return lease_name{"weights/" + std::to_string(place)};
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

auto order_core::note(event_code code, std::string detail) -> void
{
    this->actions.emplace_back(note_order{{code, std::move(detail)}});
}

auto order_core::claim(const lease_name& name, time_point now) -> void
{
    const auto found = this->claims.find(name);
    if (found != this->claims.end() && now - found->second.sent < this->settings.claim_timeout)
    {
        return;
    }
    // A former claim whose answer was lost may still come: it counts from its own, earlier sending.
    const auto sent = found == this->claims.end() ? now : found->second.sent;
    this->claims[name] = {sent};
    const auto length = std::chrono::duration_cast<log_time>(this->settings.lease);
    this->actions.emplace_back(append_lease{{name, this->self, this->incarnation, length}});
}

auto order_core::on_record(log_offset offset, log_time time, const lease_record& record) -> void
{
    const auto counts = this->leases.apply(offset, time, record);
    const auto ours = record.host == this->self && record.incarnation == this->incarnation;
    const auto pending = this->claims.find(record.name);
    if (!ours || record.length == log_time{} || pending == this->claims.end())
    {
        return;
    }
    const auto sent = pending->second.sent;
    this->claims.erase(pending);
    if (!counts)
    {
        return;
    }
    // The lease ends by the log's clock no earlier than this, since the append came after `sent`.
    this->held[record.name] = {offset, sent + this->settings.lease - this->settings.margin};
    this->note(event_code::lease_acquired,
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
    const auto ours =
        by_log != nullptr && by_log->host == this->self && by_log->incarnation == this->incarnation;
    if (now >= found->second.valid_until || !ours)
    {
        this->note(event_code::lease_lost, name.value());
        this->held.erase(found);
        return nullptr;
    }
    return &found->second;
}

auto order_core::weight_place(time_point now) -> const held_lease*
{
    for (std::int64_t place = 0; place < this->settings.concurrent_loads; ++place)
    {
        if (const auto* lease = this->valid_lease(weight_name(place), now))
        {
            return lease;
        }
    }
    // Try the place that has been free for longest by the log, or was never taken.
    for (std::int64_t place = 0; place < this->settings.concurrent_loads; ++place)
    {
        this->claim(weight_name(place), now);
    }
    return nullptr;
}

auto order_core::give_back(const lease_name& name) -> void
{
    if (this->held.erase(name) > 0)
    {
        this->actions.emplace_back(append_lease{{name, this->self, this->incarnation, log_time{}}});
    }
}

auto order_core::work_on(const managed_engine& engine, engine_work& work, time_point now) -> void
{
    if (now < work.not_before)
    {
        return;
    }
    if (work.ordered && now - work.ordered_at < settle_patience)
    {
        return;
    }
    work.ordered = false;
    // One host an engine: its lease first.
    const auto* lease = this->valid_lease(lease_name{engine.path}, now);
    if (lease == nullptr)
    {
        this->claim(lease_name{engine.path}, now);
        return;
    }
    // The weight store's rate: a place of the whole fleet next.
    if (this->weight_place(now) == nullptr)
    {
        return;
    }
    // Drain it, so that nothing is cut off.
    if (!work.held)
    {
        work.held = true;
        this->actions.emplace_back(hold_engine{engine.id, true});
        return;
    }
    if (engine.in_use > 0)
    {
        return;
    }
    work.ordered = true;
    work.ordered_at = now;
    this->note(event_code::order_sent, engine.path + " model " + engine.declared_model);
    this->actions.emplace_back(
        send_order{engine, lease->number, lease->valid_until, this->settings.order_timeout});
}

auto order_core::settle(const managed_engine& engine) -> void
{
    this->note(event_code::order_settled, engine.path + " model " + engine.reported_model);
    this->drop(engine.id, engine.path);
}

auto order_core::drop(upstream_id id, const std::string& path) -> void
{
    const auto found = this->works.find(id);
    if (found->second.held)
    {
        this->actions.emplace_back(hold_engine{id, false});
    }
    this->give_back(lease_name{path});
    this->works.erase(found);
    this->work_paths.erase(id);
    if (this->works.empty())
    {
        for (std::int64_t place = 0; place < this->settings.concurrent_loads; ++place)
        {
            this->give_back(weight_name(place));
        }
    }
}

auto order_core::on_order_result(upstream_id id, order_result result, time_point now) -> void
{
    const auto found = this->works.find(id);
    if (found == this->works.end() || result == order_result::taken || result == order_result::lost)
    {
        // The engine's reports tell what has become of it.
        return;
    }
    auto& work = found->second;
    work.ordered = false;
    const auto pause = this->settings.backoff * (std::int64_t{1} << std::min(work.failures, 5U));
    work.not_before = now + std::min<duration>(pause, this->settings.longest_backoff);
    ++work.failures;
    this->held.erase(lease_name{this->work_paths[id]});
    this->note(event_code::order_refused, this->work_paths[id]);
}

auto order_core::on_tick(const std::vector<managed_engine>& engines, time_point now) -> void
{
    std::set<upstream_id> present;
    for (const auto& engine : engines)
    {
        present.insert(engine.id);
        const auto known = !engine.declared_model.empty() && !engine.reported_model.empty();
        const auto found = this->works.find(engine.id);
        if (known && engine.declared_model == engine.reported_model && found != this->works.end())
        {
            this->settle(engine);
        }
        else if (known && engine.declared_model != engine.reported_model)
        {
            this->work_paths[engine.id] = engine.path;
            this->work_on(engine, this->works[engine.id], now);
        }
    }
    // Engines that another host is responsible for now.
    std::vector<std::pair<upstream_id, std::string>> gone;
    for (const auto& [id, path] : this->work_paths)
    {
        if (!present.contains(id))
        {
            gone.emplace_back(id, path);
        }
    }
    for (const auto& [id, path] : gone)
    {
        this->drop(id, path);
    }
}

} // namespace poplardrift
