#include "poplardrift/core/control_event.hpp"

namespace poplardrift
{

namespace
{

/// Calls the handler of `control_core` for each event.
struct event_visitor
{
    control_core& core;
    time_point now;

    auto operator()(const host_list_read& item) const -> void
    {
        this->core.on_host_list(item.live, item.leaving, this->now);
    }
    auto operator()(const peer_message_received& item) const -> void
    {
        this->core.on_peer_message(item.message, this->now);
    }
    auto operator()(const log_records_read& item) const -> void
    {
        this->core.on_log_records(item.records, this->now);
    }
    auto operator()(const log_read_failed&) const -> void
    {
        this->core.on_log_unreachable(this->now);
    }
    auto operator()(const upstream_reported& item) const -> void
    {
        this->core.on_upstream_report(item.upstream, item.report, this->now);
    }
    auto operator()(const upstream_fault_detected& item) const -> void
    {
        this->core.on_local_fault(item.upstream, item.suspected, this->now);
    }
    auto operator()(const peer_load_received& item) const -> void
    {
        this->core.on_load(item.of, item.load, this->now - item.age);
    }
    auto operator()(const control_bytes_spent& item) const -> void
    {
        this->core.on_control_bytes(item.kind, item.bytes, this->now);
    }
    auto operator()(const granting_suspended& item) const -> void
    {
        this->core.suspend_granting(item.upstream, item.suspended);
    }
    auto operator()(const connection_changed& item) const -> void
    {
        this->core.on_connection(item.to, item.connected, this->now);
    }
    auto operator()(const stop_requested&) const -> void { this->core.start_leaving(); }
};

/// Applies the actions that concern admission; returns false for others.
struct admission_visitor
{
    admission& target;
    time_point now;

    auto operator()(const apply_grant& item) const -> bool
    {
        this->target.on_grant(item.upstream, item.slots, item.valid_until, this->now);
        return true;
    }
    auto operator()(const revoke_slots& item) const -> bool
    {
        this->target.revoke(item.upstream);
        return true;
    }
    auto operator()(const update_free_slots& item) const -> bool
    {
        this->target.on_free_slots(item.upstream, item.free_slots);
        return true;
    }
    auto operator()(const store_exception& item) const -> bool
    {
        this->target.on_exception(item.item);
        return true;
    }
    auto operator()(const publish_view& item) const -> bool
    {
        this->target.set_view(item.view, this->now);
        return true;
    }
    template <class Other>
    auto operator()(const Other&) const -> bool
    {
        return false;
    }
};

} // namespace

auto handle_event(control_core& core, const control_event& what, time_point now) -> void
{
    std::visit(event_visitor{core, now}, what);
}

auto collect_usage(admission& from, std::size_t max_exceptions, time_point now) -> host_usage
{
    host_usage usage;
    usage.uses = from.uses(now);
    usage.loads = from.loads();
    usage.owners_to_notify = from.take_owners_to_notify();
    usage.exceptions = from.take_exceptions(max_exceptions);
    return usage;
}

auto apply_to_admission(const control_action& action, admission& target, time_point now) -> bool
{
    return std::visit(admission_visitor{target, now}, action);
}

} // namespace poplardrift
