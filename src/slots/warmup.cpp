#include "poplardrift/slots/warmup.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift
{

warmup::warmup(warmup_settings settings, std::uint32_t declared_cold, std::uint32_t capacity,
               bool needs_reports)
    : settings(settings), declared_cold(declared_cold), capacity(capacity),
      needs_reports(needs_reports), step_limit(declared_cold), adaptive_limit(capacity)
{
}

auto warmup::set_declared(std::uint32_t new_cold, std::uint32_t new_capacity) -> void
{
    this->declared_cold = new_cold;
    this->capacity = new_capacity;
    this->adaptive_limit = std::min<double>(this->adaptive_limit, new_capacity);
}

auto warmup::inherit(const upstream_status& published) -> void
{
    this->inherited = published;
}

auto warmup::start_step(time_point now) -> void
{
    this->step_start = now;
    this->served_at_step = this->report ? this->report->served : 0;
    this->peak_use = 0;
}

auto warmup::reset_to_cold(time_point now) -> void
{
    this->current_state = upstream_state::cold;
    this->step_limit = this->declared_cold;
    this->adaptive_limit = this->capacity;
    this->start_step(now);
}

auto warmup::on_report(const upstream_report& fresh, time_point now) -> void
{
    const auto first = !this->report.has_value();
    const auto restarted = !first && fresh.incarnation != this->known_incarnation;
    this->report = fresh;
    this->reported = now;
    this->pending_fault.reset();
    this->known_incarnation = fresh.incarnation;
    if (first || restarted)
    {
        this->reset_to_cold(now);
        const auto same_process =
            first && this->inherited && this->inherited->incarnation == fresh.incarnation;
        if (same_process && !fresh.cold)
        {
            this->current_state = this->inherited->state;
            this->step_limit = std::max(this->declared_cold, this->inherited->limit);
        }
    }
    if (fresh.leaving)
    {
        this->current_state = upstream_state::leaving;
        return;
    }
    if (this->current_state == upstream_state::leaving ||
        (fresh.cold && this->current_state == upstream_state::warm))
    {
        this->reset_to_cold(now);
    }
    // Additive increase, multiplicative decrease (AIMD), driven by the upstream's own queue.
    const auto overloaded = fresh.waiting > 0 && this->current_state == upstream_state::warm;
    this->adaptive_limit =
        overloaded
            ? std::max<double>(this->declared_cold, fresh.in_flight * this->settings.decrease)
            : std::min<double>(this->capacity, this->adaptive_limit + 1.0);
}

auto warmup::on_fault_report(upstream_state suspected, time_point now) -> void
{
    if (this->needs_reports)
    {
        this->pending_fault = this->pending_fault.value_or(now);
        return;
    }
    if (suspected != upstream_state::ejected)
    {
        return;
    }
    this->reset_to_cold(now);
    const auto ejection_time =
        this->settings.base_ejection * (std::int64_t{1} << std::min(this->ejections, 10U));
    this->ejected_until = now + std::min<duration>(ejection_time, this->settings.max_ejection);
    this->current_state = upstream_state::ejected;
    ++this->ejections;
}

auto warmup::step_confirmed(time_point now) const -> bool
{
    if (now - this->step_start < this->settings.step)
    {
        return false;
    }
    if (!this->needs_reports)
    {
        return this->peak_use > 0;
    }
    // The upstream must report that it finished as many requests as this step's limit.
    const auto fresh = this->report && this->reported > this->step_start && !this->report->cold;
    return fresh && this->report->served >= this->served_at_step + this->step_limit;
}

auto warmup::on_tick(std::uint32_t in_use, std::uint32_t full_share, time_point now) -> void
{
    this->peak_use = std::max(this->peak_use, in_use);
    if (this->current_state == upstream_state::ejected && now >= this->ejected_until)
    {
        this->reset_to_cold(now);
    }
    const auto reports_timed_out =
        this->needs_reports && this->report && now - this->reported > this->settings.report_timeout;
    const auto fault_confirmed =
        this->pending_fault && now - *this->pending_fault > this->settings.fault_confirm_timeout;
    if ((reports_timed_out || fault_confirmed) && this->current_state == upstream_state::warm)
    {
        this->pending_fault.reset();
        this->reset_to_cold(now);
    }
    if (this->current_state != upstream_state::cold || !this->step_confirmed(now))
    {
        return;
    }
    const auto grown = std::ceil(this->step_limit * this->settings.step_factor);
    this->step_limit = static_cast<std::uint32_t>(std::min<double>(grown, this->capacity));
    this->start_step(now);
    if (this->step_limit >= std::min(this->capacity, full_share))
    {
        this->current_state = upstream_state::warm;
        this->ejections = 0;
    }
}

auto warmup::limit() const -> std::uint32_t
{
    switch (this->current_state)
    {
    case upstream_state::cold:
        return this->step_limit;
    case upstream_state::warm:
        return this->pending_fault ? this->declared_cold
                                   : static_cast<std::uint32_t>(this->adaptive_limit);
    case upstream_state::ejected:
    case upstream_state::leaving:
        return 0;
    }
    return 0;
}

} // namespace poplardrift
