#pragma once

#include "daemon/control_service.hpp"
#include "poplardrift/leases/order_core.hpp"

#include <thread>

namespace poplardrift
{

/// Runs `order_core` on a timer thread and sends its orders to the engines that this host owns.
/// Reads the lease stream of the log only while an engine's model differs from the declared one.
class order_service final
{
public:
    order_service(const daemon_settings& settings, incarnation_id incarnation,
                  control_service& control, event_log& log);
    ~order_service() { this->stop(); }
    order_service(const order_service&) = delete;
    auto operator=(const order_service&) -> order_service& = delete;

    auto start() -> void;
    auto stop() -> void;

private:
    auto step() -> void;
    auto read_leases() -> void;
    auto execute_action(const order_action& action) -> void;
    [[nodiscard]] auto send(const send_order& order) -> order_result;

    daemon_settings settings;
    control_service& control;
    event_log& log;
    order_core core;
    log_client client;
    log_offset next{1};
    timer_service timers;
};

} // namespace poplardrift
