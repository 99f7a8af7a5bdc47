// Admission of an exchange's request under overload.

#include "net/clock.hpp"
#include "traffic/exchange.hpp"
#include "traffic/traffic_service.hpp"

namespace poplardrift::traffic
{

namespace
{

/// Callers wait for at most this part of the time that they have left.
constexpr int return_wait_divisor = 3;

} // namespace

auto exchange::pass_gate() -> void
{
    auto& control = this->service.get_overload();
    if (!control.is_enabled())
    {
        this->place();
        return;
    }
    overload::gate_request asked;
    asked.id = hash_bytes_64(this->metadata.id);
    asked.workspace = this->workspace != nullptr ? hash_bytes_64(this->workspace->name) : 0;
    asked.priority = this->workspace != nullptr && this->workspace->priority
                         ? *this->workspace->priority
                         : this->route->priority;
    asked.arrived = this->arrived;
    asked.objective = this->route->objective;
    asked.deadline = this->deadline;
    asked.work = this->metadata.prompt ? this->metadata.prompt->input_tokens : 0;
    control.offer(this->shared_from_this(), this->target_service, asked);
}

auto exchange::on_admitted() -> void
{
    this->gate_ticket = overload::gate_ticket(0);
    if (!this->done)
    {
        this->place();
    }
}

auto exchange::on_shed(const overload::gate_decision& decision) -> void
{
    this->gate_ticket = overload::gate_ticket(0);
    if (this->done)
    {
        return;
    }
    auto& control = this->service.get_overload();
    const auto now = boot_clock_now();
    this->retry_after = control.book_return(this->target_service, hash_bytes_64(this->metadata.id),
                                            decision, (this->deadline - now) / return_wait_divisor);
    if (const auto* const gate = control.find_gate(this->target_service))
    {
        this->service.get_log().write(event_code::request_refused,
                                      {{"request", this->metadata.id},
                                       {"route", this->route->name},
                                       {"reason", "overload"},
                                       {"cause", overload::to_text(decision.cause)},
                                       {"rank", decision.rank},
                                       {"waited_ms", to_milliseconds(decision.waited)},
                                       {"delay_part", gate->capacity().get_delay()},
                                       {"capacity", gate->capacity().get_capacity()},
                                       {"rate", gate->get_rate()},
                                       {"waiting", gate->waiting_count()},
                                       {"retry_after_ms", to_milliseconds(*this->retry_after)}});
    }
    this->refuse_or_fail(failure_status::bad_gateway, "overload");
}

auto exchange::leave_gate() -> void
{
    if (this->gate_ticket.value() != 0)
    {
        this->service.get_overload().withdraw(this->target_service, this->gate_ticket);
        this->gate_ticket = overload::gate_ticket(0);
    }
}

} // namespace poplardrift::traffic
