#include "routing/resend_policy.hpp"

#include <array>

namespace poplardrift::routing
{

auto to_text(send_fate fate) -> std::string_view
{
    static constexpr std::array<std::string_view, 5> names = {"not_sent", "declined", "unknown",
                                                              "failed", "broken_midway"};
    return names[static_cast<std::size_t>(fate)];
}

auto may_repeat(route_kind kind, bool resumable) -> bool
{
    switch (kind)
    {
    case route_kind::idempotent:
        return true;
    case route_kind::non_idempotent:
        return false;
    case route_kind::streaming:
        return resumable;
    }
    return false;
}

auto final_step(send_fate last, send_fate worst) -> next_step
{
    if (worst == send_fate::broken_midway)
    {
        return next_step::cut;
    }
    if (worst <= send_fate::declined)
    {
        return next_step::refuse;
    }
    return last == send_fate::failed ? next_step::pass_on : next_step::fail;
}

auto decide_next_step(const resend_facts& facts) -> next_step
{
    const auto has_not_run = facts.worst <= send_fate::declined;
    const auto allowed = has_not_run || may_repeat(facts.kind, facts.resumable);
    if (allowed && facts.time_left && facts.sends < facts.max_attempts)
    {
        return next_step::send_again;
    }
    return final_step(facts.last, facts.worst);
}

} // namespace poplardrift::routing
