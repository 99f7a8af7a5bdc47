// The upstream side of an exchange: placement and sending.

#include "net/clock.hpp"
#include "overload/wait_policy.hpp"
#include "traffic/exchange.hpp"
#include "traffic/placement_request.hpp"
#include "traffic/traffic_service.hpp"

#include <algorithm>
#include <utility>

namespace poplardrift::traffic
{

namespace
{

using namespace std::chrono_literals;

/// Time between placement attempts while no upstream is eligible.
constexpr duration placement_retry_interval = 10ms;
/// Longest idle time of a connection for a request that must not be repeated: the upstream may
/// close an older one at any moment.
constexpr duration max_idle_non_repeatable = 1500ms;
/// The same for all other requests. The pool's idle limits also apply.
constexpr duration max_idle_repeatable = 60s;

/// Callers that are refused during a pause return within this time after its end.
constexpr duration max_return_spread = 500ms;
constexpr std::uint64_t spread_steps = 64;
/// Longer bodies are not copied for a send; shorter ones go with the head in one packet or two.
constexpr std::size_t max_copied_body_bytes = 4096;

} // namespace

auto exchange::place() -> void
{
    const auto now = boot_clock_now();
    if (!this->is_quarantine_trial &&
        this->refuse_quarantined(
            this->service.get_quarantine().find_refusal(this->judged_prompt(), now)))
    {
        return;
    }
    const auto position =
        this->service.get_view().configuration->find_service(this->target_service);
    if (!position)
    {
        this->apply_step(routing::final_step(routing::send_outcome::not_sent, this->worst_outcome));
        return;
    }
    auto query = make_placement_query(this->service, *position, this->metadata.prompt,
                                      this->metadata.id, this->tried);
    this->affinity = query.affinity;
    routing::placement_failure why;
    auto choice = this->choose_new_version(query);
    if (!choice)
    {
        choice = routing::choose_upstream(this->service.get_upstreams(), query, why);
    }
    if (!choice)
    {
        this->defer_placement(why);
        return;
    }
    this->send_to(this->service.get_upstreams()[choice->position], *choice);
}

auto exchange::choose_new_version(routing::placement_query query) const
    -> std::optional<routing::placement_choice>
{
    const auto versions = this->service.get_rollouts().choose(
        this->target_service, this->route->name, this->sends + this->connect_failures > 0);
    if (!versions)
    {
        return std::nullopt;
    }
    query.versions = *versions;
    routing::placement_failure ignored;
    const auto choice = routing::choose_upstream(this->service.get_upstreams(), query, ignored);
    const auto is_reachable =
        choice && choice->soft_exclusion != routing::exclusion_reason::unreachable;
    return is_reachable ? choice : std::nullopt;
}

auto exchange::defer_placement(const routing::placement_failure& why) -> void
{
    const auto now = boot_clock_now();
    const overload::waiting_request request{now - this->arrived, this->route->objective,
                                            this->deadline - now, this->sends};
    if (!overload::may_wait(request, why))
    {
        this->service.get_log().write(event_code::request_refused,
                                      {{"request", this->metadata.id},
                                       {"route", this->route->name},
                                       {"reason", "no upstream"},
                                       {"most_common", routing::to_text(why.most_common_exclusion)},
                                       {"considered", why.considered},
                                       {"sends", this->sends}});
        if (why.pause_ends_at)
        {
            const auto spread = max_return_spread *
                                (hash_bytes_64(this->metadata.id) % spread_steps) / spread_steps;
            this->retry_after = *why.pause_ends_at - now + spread;
        }
        this->apply_step(routing::final_step(routing::send_outcome::not_sent, this->worst_outcome));
        return;
    }
    auto wait = std::make_shared<boost::asio::steady_timer>(this->service.get_io(),
                                                            placement_retry_interval);
    wait->async_wait(
        [self = this->shared_from_this(), wait](const boost::system::error_code&)
        {
            if (!self->done && !self->connection)
            {
                self->place();
            }
        });
}

auto exchange::send_to(const routing::live_upstream& chosen,
                       const routing::placement_choice& choice) -> void
{
    const auto now = boot_clock_now();
    this->begin_send(chosen, choice, now);
    auto wire = this->encode_for(choice, now);
    const auto non_repeatable = !routing::may_repeat(this->route->kind, this->route->resumable);
    this->connection = this->service.get_pool().take(
        this->upstream->id, now, non_repeatable ? max_idle_non_repeatable : max_idle_repeatable);
    if (!this->connection)
    {
        this->connection = this->service.connect(chosen.known.entry.address);
    }
    this->connection->send(std::move(wire), this);
}

auto exchange::begin_send(const routing::live_upstream& chosen,
                          const routing::placement_choice& choice, time_point now) -> void
{
    this->upstream = chosen.state;
    this->upstream_name = chosen.known.entry.name;
    this->upstream_key = chosen.key;
    this->upstream_version = chosen.known.entry.version;
    this->upstream_was_warm =
        now >= chosen.known.cold_until && !chosen.state->is_restart_suspected(now);
    this->placement = choice;
    this->sent_at = now;
    this->last_progress = now;
    this->is_sent = false;
    this->response = {};
    this->buffered_body.clear();
    this->events = sse_splitter();
    this->comment_bytes = 0;
    this->events_received = 0;
    this->head_at = {};
    this->first_event_at = {};
    this->last_event_at = {};
    this->longest_event_gap = {};
    this->is_proved_harmless = false;

    this->service.get_rollouts().on_placed(this->target_service, this->route->name,
                                           chosen.standing);
    auto& state = *this->upstream;
    // Counted before the connection is established: until then many requests may be placed.
    state.cold_sends.add(now);
    if (state.in_flight++ == 0)
    {
        state.responses_due_since = now;
    }
    this->prefill_tokens = 0;
    if (this->metadata.prompt)
    {
        const auto input = this->metadata.prompt->input_tokens;
        this->prefill_tokens = input - std::min(input, choice.cached_tokens);
        state.pending_prefill_tokens += this->prefill_tokens;
        this->prefill_counted = true;
    }
}

auto exchange::encode_for(const routing::placement_choice& choice, time_point now) const
    -> http::upstream_request
{
    send_options options;
    options.upstream = &this->upstream_name;
    options.time_left = this->deadline - now;
    options.workspace = this->workspace;
    options.priority = this->route->priority;
    if (this->workspace != nullptr && this->workspace->priority)
    {
        options.priority = *this->workspace->priority;
    }
    options.request_id = this->metadata.id;
    const auto resume = this->last_event ? std::to_string(*this->last_event) : std::string();
    options.resume_after = resume;
    if (choice.fetch_from)
    {
        options.fetch_from = &this->service.get_upstreams()[*choice.fetch_from].known.entry.address;
    }
    auto wire =
        this->service.get_adapter().encode_request(this->request, this->body->size(), options);
    if (this->body->size() <= max_copied_body_bytes)
    {
        wire.body = *this->body; // is written together with the head
    }
    else
    {
        wire.shared_body = this->body;
    }
    return wire;
}

auto exchange::on_request_sent() -> void
{
    this->is_sent = true;
    ++this->sends;
    this->tried.push_back(this->upstream->id);
    this->service.count_send(this->target_service, this->sends > 1);
    this->arm_timer(); // starts the progress timeout of this send
}

} // namespace poplardrift::traffic
