#include "routing/resend_policy.hpp"

#include <array>

namespace poplardrift::routing
{

auto to_text(send_outcome outcome) -> std::string_view
{
    static constexpr std::array<std::string_view, 5> names = {"not_sent", "declined", "unknown",
                                                              "failed", "broken_midway"};
    return names[static_cast<std::size_t>(outcome)];
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

auto final_step(send_outcome last, send_outcome worst) -> next_step
{
    if (worst == send_outcome::broken_midway)
    {
        return next_step::abort_response;
    }
    if (not_run_proof::from(worst))
    {
        return next_step::refuse;
    }
    return last == send_outcome::failed ? next_step::forward_failure : next_step::fail;
}

auto decide_next_step(const resend_context& context) -> next_step
{
    const auto allowed =
        not_run_proof::from(context.worst) || may_repeat(context.kind, context.resumable);
    const auto may_end_upstreams = context.interruptions >= max_interruptions ||
                                   (context.interruptions > 0 && context.is_suspect);
    if (allowed && context.time_left && context.sends < context.max_attempts && !may_end_upstreams)
    {
        return next_step::send_again;
    }
    return final_step(context.last, context.worst);
}

} // namespace poplardrift::routing
