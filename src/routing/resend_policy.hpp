#pragma once

#include "routing/routing_configuration.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace poplardrift::routing
{

/// Outcome of sending a request to an upstream, as far as known. Ordered by how far the upstream
/// may have executed it.
enum class send_outcome : std::uint8_t
{
    not_sent,     ///< no connection; no byte was sent
    declined,     ///< the upstream reported that it has not executed it and will not
    unknown,      ///< sent; may have been executed or may still be executing
    failed,       ///< executed; the upstream responded with a failure
    broken_midway ///< executed; part of the response has reached the caller
};

[[nodiscard]] auto to_text(send_outcome outcome) -> std::string_view;

/// True for the statuses by which callers are promised that their request has not run and never
/// will. They may then send one again that must not run twice.
[[nodiscard]] constexpr auto is_promise(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Evidence that no upstream has run a request or may still run it.
class not_run_proof final
{
public:
    /// Evidence from sends that have all ended, whose outcomes are `worst` at most; nullopt if one
    /// of them may have been executed.
    [[nodiscard]] static auto from(send_outcome worst) -> std::optional<not_run_proof>
    {
        return worst <= send_outcome::declined ? std::optional(not_run_proof()) : std::nullopt;
    }

private:
    not_run_proof() = default;
};

/// Upstreams that may end while they run one request before it is not sent to another.
constexpr int max_interruptions = 2;

/// Action after a send did not produce a complete response.
enum class next_step : std::uint8_t
{
    send_again,      ///< to another upstream
    refuse,          ///< report to the caller that the request was not executed
    forward_failure, ///< forward the upstream's failure response to the caller
    fail,            ///< report to the caller that there is no response
    abort_response,  ///< the response has begun; abort it so that the caller notices
};

/// Inputs of decide_next_step.
struct resend_context
{
    route_kind kind = route_kind::non_idempotent;
    bool resumable = false;
    int max_attempts = 1;
    int sends = 0; ///< sends that may have reached an upstream
    send_outcome last = send_outcome::not_sent;
    send_outcome worst = send_outcome::not_sent; ///< maximum over all sends
    bool time_left = true; ///< enough time before the deadline for another send
    /// Upstreams that ended while the request waited there for its first output.
    int interruptions = 0;
    /// The prompt has a part that may have ended several upstreams; see prompt_quarantine.
    bool is_suspect = false;
};

/// True if the request may be executed more than once.
[[nodiscard]] auto may_repeat(route_kind kind, bool resumable) -> bool;

/// Decides the action after a send; no other code makes this decision. If it returns send_again,
/// the caller must then check the retry budget.
[[nodiscard]] auto decide_next_step(const resend_context& context) -> next_step;

/// Action when no further send is possible.
[[nodiscard]] auto final_step(send_outcome last, send_outcome worst) -> next_step;

} // namespace poplardrift::routing
