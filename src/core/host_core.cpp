#include "poplardrift/core/host_core.hpp"

namespace poplardrift
{

namespace
{

auto with_self(admission_settings settings, const host_address& self) -> admission_settings
{
    settings.self = make_host_id(self.name);
    return settings;
}

} // namespace

host_core::host_core(const control_settings& control, const admission_settings& traffic,
                     const host_address& self, incarnation_id incarnation, time_point now)
    : core(control, self, incarnation, now), slots(with_self(traffic, self))
{
}

auto host_core::handle(const control_event& what, time_point now) -> void
{
    handle_event(this->core, what, now);
}

auto host_core::on_tick(time_point now) -> void
{
    this->slots.on_tick(now);
    this->core.on_tick(collect_usage(this->slots, exceptions_per_tick, now), now);
    for (auto& action : this->core.take_actions())
    {
        if (!apply_to_admission(action, this->slots, now))
        {
            this->external_actions.push_back(std::move(action));
        }
    }
}

auto host_core::take_actions() -> std::vector<control_action>
{
    return std::exchange(this->external_actions, {});
}

} // namespace poplardrift
