#pragma once

#include "poplardrift/core/control_event.hpp"

#include <vector>

namespace poplardrift
{

/// One host's decisions in one object: control state and admission, coupled as the daemon couples
/// them. Free of I/O, threads and clocks, so that a bench or a test can drive many in one process.
/// The same events give the same actions in the same order.
class host_core final
{
public:
    host_core(const control_settings& control, const admission_settings& traffic,
              const host_address& self, incarnation_id incarnation, time_point now);

    /// Something happened outside.
    auto handle(const control_event& what, time_point now) -> void;
    /// Lets time pass; call it every few milliseconds.
    auto on_tick(time_point now) -> void;
    /// What the shell has to do: messages, snapshots, reads, events.
    [[nodiscard]] auto take_actions() -> std::vector<control_action>;

    /// Traffic: places requests, gives slots back, tells how waits ended.
    [[nodiscard]] auto traffic() -> admission& { return this->slots; }
    [[nodiscard]] auto control() const -> const control_core& { return this->core; }

private:
    static constexpr std::size_t exceptions_per_tick = 256;

    control_core core;
    admission slots;
    std::vector<control_action> external_actions;
};

} // namespace poplardrift
