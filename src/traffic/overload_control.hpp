#pragma once

#include "overload/admission_gate.hpp"
#include "overload/return_schedule.hpp"
#include "traffic/send_listener.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplardrift::traffic
{

class exchange;
class traffic_service;

/// Applies an admission gate to the requests of each service: offers them, wakes those that wait,
/// feeds the gates with the ends of sends and exchanges figures with other hosts through the
/// mailbox. Does nothing while fleet_bounds::overload_control is off. Traffic thread.
class overload_control final : public send_listener
{
public:
    explicit overload_control(traffic_service& service);

    /// Calls the exchange's on_admitted or on_shed, now or after a wait that on_gate_wait
    /// announces.
    auto offer(const std::shared_ptr<exchange>& waiting, const std::string& target,
               const overload::gate_request& request) -> void;
    auto withdraw(const std::string& target, overload::gate_ticket ticket) -> void;
    /// When a shed caller is to return, which the gate expects from then on.
    [[nodiscard]] auto book_return(const std::string& target, std::uint64_t id,
                                   const overload::gate_decision& decision, duration longest_wait)
        -> duration;
    /// A stream's first event has arrived `delay` after its send.
    auto on_first_event(const std::string& target, duration delay, duration objective) -> void;
    auto on_send_finished(const finished_send& send) -> void override;
    /// Call every 50 ms.
    auto tick(time_point now) -> void;
    [[nodiscard]] auto is_enabled() const -> bool;
    /// Null if the service has had no request.
    [[nodiscard]] auto find_gate(const std::string& target) const
        -> const overload::admission_gate*;

private:
    struct waiting_exchange
    {
        std::weak_ptr<exchange> request;
        int priority = 0;
    };
    struct service_gate
    {
        overload::admission_gate gate;
        std::map<std::uint64_t, waiting_exchange> waiting; ///< by ticket
        bool logged_engaged = false;
    };

    [[nodiscard]] auto gate_of(const std::string& target) -> service_gate&;
    auto release(const std::string& target, service_gate& state) -> void;
    auto release_all() -> void;
    auto arm_timer() -> void;
    auto log_change(const std::string& target, service_gate& state) -> void;
    [[nodiscard]] auto slots_of(const std::string& target) const -> int;
    auto sync_figures(time_point now) -> void;

    traffic_service& service;
    boost::asio::steady_timer timer;
    time_point timer_due = time_point::max();
    std::map<std::string, std::unique_ptr<service_gate>, std::less<>> gates;
};

} // namespace poplardrift::traffic
