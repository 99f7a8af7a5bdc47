#include "traffic/overload_control.hpp"

#include "net/clock.hpp"
#include "traffic/exchange.hpp"
#include "traffic/traffic_service.hpp"

#include <algorithm>
#include <utility>

namespace poplardrift::traffic
{

namespace
{

using overload::gate_verdict;

auto key_of(const std::string& target) -> overload::service_key
{
    return overload::service_key(static_cast<std::uint32_t>(hash_bytes_64(target)));
}

} // namespace

overload_control::overload_control(traffic_service& service)
    : service(service), timer(service.get_io())
{
}

auto overload_control::is_enabled() const -> bool
{
    return this->service.get_view().bounds.overload_control;
}

auto overload_control::gate_of(const std::string& target) -> service_gate&
{
    auto& state = this->gates[target];
    if (!state)
    {
        state = std::make_unique<service_gate>();
    }
    return *state;
}

auto overload_control::find_gate(const std::string& target) const -> const overload::admission_gate*
{
    const auto found = this->gates.find(target);
    return found == this->gates.end() ? nullptr : &found->second->gate;
}

auto overload_control::offer(const std::shared_ptr<exchange>& waiting, const std::string& target,
                             const overload::gate_request& request) -> void
{
    const auto now = boot_clock_now();
    auto& state = this->gate_of(target);
    const auto decision = state.gate.offer(request, now);
    if (decision.verdict == gate_verdict::waiting)
    {
        state.waiting[decision.ticket.value()] = {waiting, request.priority};
        waiting->on_gate_wait(decision.ticket);
    }
    else
    {
        this->service.count_admission(target, decision, request.priority);
    }
    this->release(target, state);
    this->arm_timer();
    // Last: these may end the request and start the next one of the same connection.
    if (decision.verdict == gate_verdict::admitted)
    {
        waiting->on_admitted();
    }
    else if (decision.verdict == gate_verdict::refused)
    {
        waiting->on_shed(decision);
    }
}

auto overload_control::release(const std::string& target, service_gate& state) -> void
{
    std::vector<overload::gate_decision> ended;
    state.gate.release(boot_clock_now(), ended);
    std::vector<std::pair<std::shared_ptr<exchange>, const overload::gate_decision*>> woken;
    for (const auto& decision : ended)
    {
        const auto found = state.waiting.find(decision.ticket.value());
        if (found == state.waiting.end())
        {
            continue;
        }
        this->service.count_admission(target, decision, found->second.priority);
        woken.emplace_back(found->second.request.lock(), &decision);
        state.waiting.erase(found);
    }
    for (const auto& [request, decision] : woken)
    {
        if (request && decision->verdict == gate_verdict::admitted)
        {
            request->on_admitted();
        }
        else if (request)
        {
            request->on_shed(*decision);
        }
    }
}

auto overload_control::release_all() -> void
{
    for (auto& [target, state] : this->gates)
    {
        this->release(target, *state);
    }
    this->arm_timer();
}

auto overload_control::arm_timer() -> void
{
    const auto now = boot_clock_now();
    auto due = time_point::max();
    for (auto& [target, state] : this->gates)
    {
        due = std::min(due, state->gate.next_release(now));
    }
    if (due >= this->timer_due)
    {
        return;
    }
    this->timer_due = due;
    this->timer.expires_after(std::max<duration>(due - now, duration(0)));
    this->timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                this->timer_due = time_point::max();
                this->release_all();
            }
        });
}

auto overload_control::withdraw(const std::string& target, overload::gate_ticket ticket) -> void
{
    auto& state = this->gate_of(target);
    state.gate.withdraw(ticket);
    state.waiting.erase(ticket.value());
}

auto overload_control::book_return(const std::string& target, std::uint64_t id,
                                   const overload::gate_decision& decision, duration longest_wait)
    -> duration
{
    if (decision.returns_in)
    {
        return *decision.returns_in;
    }
    const auto now = boot_clock_now();
    const auto wait = this->service.return_schedule_of(target).book(
        now, std::max<duration>(longest_wait, duration(0)), id, decision.rank);
    this->gate_of(target).gate.on_return_told(id, now + wait, now);
    return wait;
}

auto overload_control::on_first_event(const std::string& target, duration delay, duration objective)
    -> void
{
    if (this->is_enabled() && objective > duration(0))
    {
        this->gate_of(target).gate.capacity().on_first_output(
            to_seconds(delay) / to_seconds(objective), boot_clock_now());
    }
}

auto overload_control::on_send_finished(const finished_send& send) -> void
{
    if (!this->is_enabled())
    {
        return;
    }
    auto& capacity = this->gate_of(std::string(send.service)).gate.capacity();
    const auto objective = to_seconds(send.route.objective);
    // Responses of cold upstreams are slow without a queue. Streams report their first event when
    // it arrives, because they may end much later.
    const auto shows_delay = send.was_warm && objective > 0.0;
    const auto is_complete =
        send.result == send_result::succeeded || send.result == send_result::rejected;
    if (send.result == send_result::declined)
    {
        capacity.on_declined(send.ended_at);
    }
    else if (is_complete)
    {
        if (shows_delay && send.first_output && send.route.kind != routing::route_kind::streaming)
        {
            capacity.on_first_output(to_seconds(*send.first_output) / objective, send.ended_at);
        }
        capacity.on_completion(send.ended_at - send.sent_at, send.ended_at);
    }
    else if (send.result == send_result::silent && shows_delay && !send.first_output)
    {
        capacity.on_first_output(to_seconds(send.ended_at - send.sent_at) / objective,
                                 send.ended_at);
    }
}

auto overload_control::slots_of(const std::string& target) const -> int
{
    int slots = 0;
    for (const auto& upstream : this->service.get_upstreams())
    {
        if (upstream.known.entry.service == target && !upstream.is_leaving())
        {
            slots += upstream.known.entry.slots;
        }
    }
    return slots;
}

auto overload_control::log_change(const std::string& target, service_gate& state) -> void
{
    const auto engaged = state.gate.is_engaged();
    if (std::exchange(state.logged_engaged, engaged) == engaged)
    {
        return;
    }
    const auto& capacity = state.gate.capacity();
    this->service.get_log().write(engaged ? event_code::admission_limited
                                          : event_code::admission_unlimited,
                                  {{"service", target},
                                   {"delay_part", capacity.get_delay()},
                                   {"delay_limit", capacity.get_delay_limit()},
                                   {"capacity", capacity.get_capacity()},
                                   {"rate", state.gate.get_rate()},
                                   {"waiting", state.gate.waiting_count()}});
}

auto overload_control::sync_figures(time_point now) -> void
{
    auto& mailbox = this->service.get_mailbox();
    const auto remote = mailbox.get_remote_figures();
    std::vector<overload::service_figures> local;
    for (auto& [target, state] : this->gates)
    {
        auto& capacity = state->gate.capacity();
        const auto key = key_of(target);
        const auto found = std::find_if(remote.sums.begin(), remote.sums.end(),
                                        [&](const auto& sum) { return sum.service == key; });
        capacity.set_remote(found == remote.sums.end() ? overload::service_figures{} : *found,
                            remote.age);
        capacity.set_fleet(this->slots_of(target), this->service.get_view().hosts.count);
        auto figures = capacity.get_local(now);
        figures.service = key;
        if (figures.arrivals > 0.0 || figures.completions > 0.0)
        {
            local.push_back(figures);
        }
    }
    mailbox.set_local_figures(std::move(local));
}

auto overload_control::tick(time_point now) -> void
{
    if (!this->is_enabled())
    {
        if (!this->gates.empty())
        {
            this->service.get_mailbox().set_local_figures({});
            for (auto& [target, state] : std::exchange(this->gates, {}))
            {
                for (const auto& [ticket, waiting] : state->waiting)
                {
                    if (const auto request = waiting.request.lock())
                    {
                        request->on_admitted();
                    }
                }
            }
        }
        return;
    }
    this->sync_figures(now);
    this->release_all();
    for (auto& [target, state] : this->gates)
    {
        this->log_change(target, *state);
        this->service.set_waiting(target, state->gate.waiting_count());
    }
}

} // namespace poplardrift::traffic
