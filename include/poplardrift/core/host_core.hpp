#pragma once

#include "poplardrift/core/control_event.hpp"

#include <vector>

namespace poplardrift
{

/// Decision logic of one host: `control_core` and `admission`, connected as in the daemon. Free of
/// I/O, threads and clocks, so that a benchmark or test can run many in one process. Equal events
/// produce equal actions in the same order.
class host_core final
{
public:
    host_core(const control_settings& control, const admission_settings& traffic,
              const host_address& self, incarnation_id incarnation, time_point now);

    /// Handles an external event.
    auto handle(const control_event& what, time_point now) -> void;
    /// Advances the time; call it every few milliseconds.
    auto on_tick(time_point now) -> void;
    /// Returns the actions for the caller: messages, snapshots, reads, events.
    [[nodiscard]] auto take_actions() -> std::vector<control_action>;

    /// Admission: places requests, releases slots, returns ended waits.
    [[nodiscard]] auto traffic() -> admission& { return this->slots; }
    [[nodiscard]] auto control() const -> const control_core& { return this->core; }

private:
    static constexpr std::size_t exceptions_per_tick = 256;

    control_core core;
    admission slots;
    std::vector<control_action> external_actions;
};

} // namespace poplardrift
