#include "overload/admission_gate.hpp"

#include "overload/wait_policy.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift::overload
{

namespace
{

using namespace std::chrono_literals;

constexpr duration update_interval = 100ms;
/// The gate stays for this long after the last request that it has delayed or refused.
constexpr duration disengage_after = 1s;
/// A class counts when other ones rank themselves for this long after its last request.
constexpr duration class_memory = 1s;
/// Distance between the levels of two classes, in requests and in time at the host's rate. Below 3
/// requests the random order of arrivals lets less urgent ones pass on hosts with low rates.
constexpr double class_step = 4.0;
/// Further distance of excess, which must not take places that others need a moment later. With 3
/// requests others lost a tenth of theirs on 34 hosts with 18 requests a second each.
constexpr double excess_gap = 10.0;
constexpr double class_step_seconds = 0.01;
constexpr std::size_t max_told_returns = 16'384;

} // namespace

auto to_text(refusal_cause cause) -> const char*
{
    switch (cause)
    {
    case refusal_cause::none:
        return "none";
    case refusal_cause::wait_too_long:
        return "wait too long";
    case refusal_cause::queue_full:
        return "queue full";
    case refusal_cause::early_repeat:
        return "early repeat";
    case refusal_cause::deadline_close:
        return "deadline close";
    }
    return "unknown";
}

admission_gate::admission_gate()
{
    this->class_arrivals.fill(decayed_counter(class_memory));
}

auto admission_gate::update(time_point now) -> void
{
    if (now - this->updated_at < update_interval)
    {
        return;
    }
    this->updated_at = now;
    this->estimate.update(now);
    this->rate = this->estimate.get_rate_of_host();
    if (this->estimate.is_congested())
    {
        if (!this->engaged)
        {
            this->level = this->find_starting_level(now);
            this->refilled_at = now;
        }
        this->engaged = true;
        this->last_shortage_at = now;
    }
    this->engaged = this->engaged && now - this->last_shortage_at < disengage_after;
}

auto admission_gate::level_needed(std::size_t request_class, time_point now) const -> double
{
    const auto step = std::max(class_step, this->rate * class_step_seconds);
    const auto gap = request_class >= priority_levels ? excess_gap * step / class_step : 0.0;
    return 1.0 + gap + static_cast<double>(this->rank_of(request_class, now)) * step;
}

auto admission_gate::rank_of(std::size_t request_class, time_point now) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        this->class_seen_at.begin(),
        this->class_seen_at.begin() + static_cast<std::ptrdiff_t>(request_class),
        [&](time_point seen) { return seen != time_point{} && now - seen < class_memory; }));
}

auto admission_gate::find_starting_level(time_point now) const -> double
{
    // From an empty bucket the level would take seconds to rise to where the capacity is spent, and
    // classes that it suffices for would be refused meanwhile.
    auto demand = 0.0;
    for (std::size_t item = 0; item < class_count; ++item)
    {
        demand += this->class_arrivals[item].per_second(now);
        if (demand >= this->rate)
        {
            return this->level_needed(item, now) - 1.0;
        }
    }
    return this->level_needed(class_count, now);
}

auto admission_gate::refill(time_point now) -> void
{
    const auto highest = this->level_needed(class_count, now);
    this->level = std::min(highest, this->level + this->rate * to_seconds(now - this->refilled_at));
    this->refilled_at = now;
}

auto admission_gate::try_take(std::size_t request_class, time_point now) -> bool
{
    if (this->level < this->level_needed(request_class, now))
    {
        return false;
    }
    this->level -= 1.0;
    return true;
}

auto admission_gate::class_of(const gate_request& request, time_point now) -> std::uint8_t
{
    const auto standing = this->shares.on_arrival(request.workspace, this->engaged, now);
    const auto priority = std::clamp(request.priority, 0, static_cast<int>(priority_levels) - 1);
    switch (standing)
    {
    case workspace_standing::underserved:
        return 0;
    case workspace_standing::usual:
        return static_cast<std::uint8_t>(priority);
    case workspace_standing::excess:
        return static_cast<std::uint8_t>(priority + static_cast<int>(priority_levels));
    }
    return 0;
}

auto admission_gate::find_early_repeat(std::uint64_t id, time_point now) -> std::optional<duration>
{
    const auto told = this->told_returns.find(id);
    if (told == this->told_returns.end())
    {
        return std::nullopt;
    }
    // Clocks and links of callers are not exact.
    const auto allowance = 20ms;
    if (now + allowance >= told->second)
    {
        this->told_returns.erase(told);
        return std::nullopt;
    }
    return told->second - now;
}

auto admission_gate::on_return_told(std::uint64_t id, time_point at, time_point now) -> void
{
    if (this->told_returns.size() >= max_told_returns)
    {
        absl::erase_if(this->told_returns, [&](const auto& item) { return item.second <= now; });
    }
    if (this->told_returns.size() < max_told_returns)
    {
        this->told_returns[id] = at;
    }
}

auto admission_gate::offer(const gate_request& request, time_point now) -> gate_decision
{
    this->update(now);
    if (this->engaged)
    {
        if (const auto rest = this->find_early_repeat(request.id, now))
        {
            // Not counted as an arrival: repeating must not raise a host's or workspace's share.
            return {
                gate_verdict::refused, gate_ticket(0), refusal_cause::early_repeat, 0, {}, rest};
        }
    }
    this->estimate.on_arrival(now);
    const auto request_class = this->class_of(request, now);
    this->class_seen_at[request_class] = now;
    this->class_arrivals[request_class].add(now);
    if (!this->engaged)
    {
        this->shares.on_admitted(request.workspace, now);
        return {};
    }
    this->refill(now);
    const auto is_first = this->queue.empty() || request_class < this->queue.begin()->request_class;
    const auto rank = this->rank_of(request_class, now);
    if (is_first && this->try_take(request_class, now))
    {
        this->shares.on_admitted(request.workspace, now);
        return {gate_verdict::admitted, gate_ticket(0), refusal_cause::none, rank, {}, {}};
    }
    this->last_shortage_at = now;
    return this->enqueue(request, request_class, now);
}

auto admission_gate::enqueue(const gate_request& request, std::uint8_t request_class,
                             time_point now) -> gate_decision
{
    const auto rank = this->rank_of(request_class, now);
    const auto wait_until = request.arrived + longest_wait_of(request.objective);
    const auto send_until = request.deadline - min_time_for_send;
    const auto until = std::min(wait_until, send_until);
    if (until <= now)
    {
        const auto cause =
            send_until < wait_until ? refusal_cause::deadline_close : refusal_cause::wait_too_long;
        return {gate_verdict::refused, gate_ticket(0), cause, rank, {}, {}};
    }
    const auto ticket = this->next_ticket++;
    const waiting_entry entry{{request_class, request.deadline, request.work, ticket},
                              {until, ticket},
                              now,
                              request.workspace,
                              send_until < wait_until};
    this->queue.insert(entry.key);
    this->expiries.insert(entry.expiry);
    this->entries.emplace(ticket, entry);
    this->longest_wait = std::max(this->longest_wait, longest_wait_of(request.objective));
    this->drop_least_urgent(now);
    return {gate_verdict::waiting, gate_ticket(ticket), refusal_cause::none, rank, {}, {}};
}

auto admission_gate::drop_least_urgent(time_point now) -> void
{
    // More requests than complete within the longest wait cannot all be admitted.
    const auto most =
        static_cast<std::size_t>(std::ceil(1.0 + this->rate * to_seconds(this->longest_wait)));
    if (this->queue.size() > most)
    {
        this->end_wait(this->queue.rbegin()->ticket, gate_verdict::refused,
                       refusal_cause::queue_full, now, this->dropped);
    }
}

auto admission_gate::remove(std::uint64_t ticket) -> waiting_entry
{
    const auto found = this->entries.find(ticket);
    const auto entry = found->second;
    this->queue.erase(entry.key);
    this->expiries.erase(entry.expiry);
    this->entries.erase(found);
    return entry;
}

auto admission_gate::end_wait(std::uint64_t ticket, gate_verdict verdict, refusal_cause cause,
                              time_point now, std::vector<gate_decision>& ended) -> void
{
    const auto entry = this->remove(ticket);
    if (verdict == gate_verdict::admitted)
    {
        this->shares.on_admitted(entry.workspace, now);
    }
    ended.push_back({verdict,
                     gate_ticket(ticket),
                     cause,
                     this->rank_of(entry.key.request_class, now),
                     now - entry.since,
                     {}});
}

auto admission_gate::release(time_point now, std::vector<gate_decision>& ended) -> void
{
    this->update(now);
    ended.insert(ended.end(), this->dropped.begin(), this->dropped.end());
    this->dropped.clear();
    this->refill(now);
    while (!this->expiries.empty() && this->expiries.begin()->at <= now)
    {
        const auto ticket = this->expiries.begin()->ticket;
        const auto cause = this->entries.find(ticket)->second.is_cut_by_deadline
                               ? refusal_cause::deadline_close
                               : refusal_cause::wait_too_long;
        this->end_wait(ticket, gate_verdict::refused, cause, now, ended);
    }
    while (!this->queue.empty() &&
           (!this->engaged || this->try_take(this->queue.begin()->request_class, now)))
    {
        this->end_wait(this->queue.begin()->ticket, gate_verdict::admitted, refusal_cause::none,
                       now, ended);
    }
}

auto admission_gate::withdraw(gate_ticket ticket) -> void
{
    if (this->entries.contains(ticket.value()))
    {
        (void)this->remove(ticket.value());
    }
}

auto admission_gate::next_release(time_point now) -> time_point
{
    if (!this->dropped.empty())
    {
        return now;
    }
    if (this->queue.empty())
    {
        return time_point::max();
    }
    this->refill(now);
    const auto missing = this->level_needed(this->queue.begin()->request_class, now) - this->level;
    const auto expiry = this->expiries.begin()->at;
    if (missing <= 0.0)
    {
        return now;
    }
    const auto wait = this->rate > 0.0 ? missing / this->rate : to_seconds(update_interval);
    return std::min(expiry, now + from_seconds(std::min(wait, to_seconds(update_interval))));
}

} // namespace poplardrift::overload
