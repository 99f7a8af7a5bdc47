#include "traffic/exchange.hpp"

#include "net/clock.hpp"
#include "overload/wait_policy.hpp"
#include "traffic/placement_request.hpp"
#include "traffic/traffic_service.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace poplardrift::traffic
{

namespace
{

using namespace std::chrono_literals;
using routing::next_step;
using routing::route_kind;
using routing::send_outcome;
using routing::upstream_fault;

/// Failed connection attempts after which a request is given up. Nothing has been sent on them, so
/// they do not count as sends.
constexpr int max_connect_failures = 4;
/// Multiple of the route's latency objective after which a repeatable request without output is
/// sent to another upstream: the response has missed the objective, and the upstream is probably
/// stuck.
constexpr double first_output_timeout_factor = 1.5;
/// Multiple of the route's event gap after which a resumable stream resumes at another upstream.
constexpr double event_timeout_factor = 2.0;
/// Lower bound of both progress timeouts: the slowest plain responses take about 220 ms.
constexpr duration min_progress_timeout = 280ms;
/// Plain responses up to this size are buffered until they are complete, so that the request can be
/// repeated after a broken one; larger ones are forwarded as they arrive.
constexpr std::size_t max_buffered_bytes = 1'048'576;

auto scaled(duration length, double factor) -> duration
{
    return std::chrono::duration_cast<duration>(length * factor);
}

} // namespace

exchange::exchange(traffic_service& service, response_sink* sink, http::request_head head,
                   std::string body, time_point arrived)
    : service(service), sink(sink), request(std::move(head)),
      body(std::make_shared<const std::string>(std::move(body))), arrived(arrived),
      timer(service.get_io())
{
}

auto exchange::body_memory() const -> std::size_t
{
    return http::memory_of(*this->body);
}

auto exchange::other_memory() const -> std::size_t
{
    return this->request.fields.allocated_bytes() + this->buffered_body.capacity() +
           (this->last_failure ? this->last_failure->get_body().capacity() : 0);
}

auto exchange::is_stream() const -> bool
{
    return this->route->kind == route_kind::streaming;
}

auto exchange::start() -> void
{
    this->metadata = this->service.get_adapter().decode_request(this->request);
    this->configuration = this->service.get_view().configuration;
    if (!this->admit())
    {
        return;
    }
    const auto timeout = std::min(this->route->timeout,
                                  this->metadata.caller_timeout.value_or(this->route->timeout));
    this->deadline = this->arrived + timeout;
    const auto service_index = choose_service(*this->route, this->metadata.id);
    this->target_service = this->configuration->services[service_index].name;
    this->service.retry_budget_of(this->target_service).on_request(boot_clock_now());
    this->service.get_rollouts().on_request(this->target_service, this->route->name);
    if (!overload::has_time_for_send(timeout))
    {
        this->refuse_or_fail(failure_status::bad_gateway, "deadline too short");
        return;
    }
    auto& prompts = this->service.get_quarantine();
    const auto now = boot_clock_now();
    const auto parts = this->judged_prompt();
    this->is_quarantine_trial = prompts.find_refusal(parts, now).has_value();
    if (this->refuse_quarantined(prompts.admit(parts, this->service.get_view().hosts, now)))
    {
        return;
    }
    this->arm_timer();
    this->pass_gate();
}

auto exchange::admit() -> bool
{
    if (!this->configuration || !this->service.get_view().upstreams_known)
    {
        this->refuse_or_fail(failure_status::bad_gateway, "no configuration yet");
        return false;
    }
    this->route =
        this->configuration->find_route(host_name_of(this->request), path_of(this->request.target));
    if (this->route == nullptr)
    {
        this->finish_with(rejection_status::not_found, "no route");
        return false;
    }
    if (this->configuration->requires_keys() && !this->route->anonymous)
    {
        this->workspace = this->configuration->find_workspace(this->metadata.workspace_key);
        if (this->workspace == nullptr)
        {
            this->finish_with(rejection_status::unauthorized, "unknown workspace key");
            return false;
        }
    }
    if (this->metadata.id.empty())
    {
        this->finish_with(rejection_status::bad_request, "no request id");
        return false;
    }
    return true;
}

auto exchange::on_response_head(const http::response_head& head) -> void
{
    const auto now = boot_clock_now();
    this->upstream->on_bytes_received(now, this->connection->get_established_at());
    this->last_progress = now;
    this->head_at = now;
    this->upstream_head = head;
    this->response = this->service.get_adapter().decode_response(head);
    if (this->is_misaddressed())
    {
        this->upstream->misaddressed = true;
        this->service.get_log().write(
            event_code::upstream_misaddressed,
            {{"upstream", this->upstream_name.value()}, {"request", this->metadata.id}});
    }
    this->service.get_speeds().on_response_head(*this->upstream, this->target_service,
                                                this->response, now);
    this->apply_notices();
    if (this->response.success && !this->response.trusted)
    {
        const auto self = this->shared_from_this();
        this->fail_malformed("response not authenticated");
    }
}

auto exchange::apply_notices() -> void
{
    if (this->response.leaving)
    {
        this->service.on_upstream_leaving(*this->upstream, this->upstream_name);
    }
    if (this->response.pause)
    {
        this->service.on_upstream_paused(*this->upstream, this->upstream_name, this->target_service,
                                         *this->response.pause);
    }
    if (this->response.has_malformed_notice)
    {
        this->service.get_log().write(
            event_code::upstream_notice_ignored,
            {{"upstream", this->upstream_name.value()}, {"request", this->metadata.id}});
    }
}

auto exchange::on_response_body(std::string bytes) -> void
{
    const auto self = this->shared_from_this();
    const auto now = boot_clock_now();
    this->upstream->on_bytes_received(now, this->connection->get_established_at());
    if (this->response.success && this->is_stream())
    {
        this->events.feed(bytes);
        this->forward_events();
        return;
    }
    this->buffered_body.append(bytes);
    this->sink->on_memory_changed();
    if (this->done)
    {
        return; // there was no room for the response
    }
    if (this->buffered_body.size() <= max_buffered_bytes)
    {
        return;
    }
    if (!this->response.success)
    {
        this->fail_malformed("failure response too large");
        return;
    }
    if (!this->head_committed)
    {
        this->caller_head = this->upstream_head;
        this->head_committed = true;
        const auto length = this->upstream_head.framing == http::body_framing::length
                                ? std::optional(this->upstream_head.content_length)
                                : std::nullopt;
        this->sink->begin_response(this->caller_head, length);
    }
    this->sink->write_body(this->buffered_body);
    this->buffered_body.clear();
    this->pause_if_caller_is_slow();
}

auto exchange::fail_malformed(const char* reason) -> void
{
    this->abandon_upstream();
    this->record_fault(upstream_fault::broken);
    this->finish_send(send_outcome::unknown, send_result::broken, reason);
}

auto exchange::on_response_end() -> void
{
    const auto self = this->shared_from_this();
    if (this->is_declined())
    {
        this->finish_send(send_outcome::declined, send_result::declined, "declined");
        return;
    }
    if (this->response.success)
    {
        if (this->is_stream() && this->events.has_partial_event())
        {
            constexpr const char* reason = "response ends within an event";
            this->record_interruption(reason, true);
            this->record_fault(upstream_fault::broken);
            this->finish_send(send_outcome::unknown, send_result::broken, reason);
            return;
        }
        if (this->is_stream() && this->events_received == 0 &&
            this->upstream_head.framing == http::body_framing::until_close)
        {
            constexpr const char* reason = "response ends before its first event";
            this->record_interruption(reason, true);
            this->record_fault(upstream_fault::broken);
            this->finish_send(send_outcome::unknown, send_result::broken, reason);
            return;
        }
        this->record_success();
        this->finish_response();
        return;
    }
    const auto status = this->upstream_head.status;
    this->last_failure =
        forwardable_failure::from(this->upstream_head, std::exchange(this->buffered_body, {}));
    if (status < 500 && this->last_failure && this->response.trusted)
    {
        // The error concerns the request itself; another upstream would respond alike.
        this->record_success();
        this->worst_outcome = std::max(this->worst_outcome, send_outcome::failed);
        this->release_send(send_result::rejected);
        this->apply_step(this->head_committed ? next_step::abort_response
                                              : next_step::forward_failure);
        return;
    }
    if (!this->response.pause)
    {
        this->record_fault(upstream_fault::failed);
    }
    this->finish_send(this->response.trusted ? send_outcome::failed : send_outcome::unknown,
                      send_result::failed, "error response");
}

auto exchange::is_misaddressed() const -> bool
{
    // The upstream that was addressed does not answer as another one.
    return this->response.misaddressed && this->response.stated_name != this->upstream_name.value();
}

auto exchange::is_declined() const -> bool
{
    return this->response.declined || this->is_misaddressed();
}

auto exchange::on_response_failed(http::transport_failure why) -> void
{
    const auto self = this->shared_from_this();
    if (why == http::transport_failure::not_connected)
    {
        ++this->connect_failures;
        this->tried.push_back(this->upstream->id);
        this->record_fault(upstream_fault::unreachable);
        this->service.get_pool().close_all(this->upstream->id);
        this->finish_send(send_outcome::not_sent, send_result::not_connected, "not connected");
        return;
    }
    const auto* const reason =
        why == http::transport_failure::malformed ? "malformed" : "connection broken";
    this->record_interruption(reason, why == http::transport_failure::broken);
    this->record_fault(upstream_fault::broken);
    this->finish_send(send_outcome::unknown, send_result::broken, reason);
}

auto exchange::record_success() -> void
{
    this->service.return_schedule_of(this->target_service).on_completion(boot_clock_now());
    this->upstream->health.on_success(boot_clock_now());
    this->upstream->notices.on_success();
    if (this->response.success)
    {
        const auto now = boot_clock_now();
        this->mark_harmless(this->events_received > 0 ? this->first_event_at : now, now);
    }
}

auto exchange::record_fault(upstream_fault fault) -> void
{
    this->service.on_upstream_fault(*this->upstream, this->upstream_name, this->target_service,
                                    fault);
}

auto exchange::report_send(send_result result) const -> void
{
    finished_send send{this->target_service,   *this->route,    this->workspace, this->upstream_key,
                       this->upstream_version, *this->upstream, result};
    send.is_repeat = this->sends > 1;
    send.was_warm = this->upstream_was_warm;
    send.in_flight = this->placement.in_flight;
    send.estimate = this->placement.estimate;
    send.prefill_tokens = this->prefill_tokens;
    send.events = this->events_received;
    send.sent_at = this->sent_at;
    send.ended_at = boot_clock_now();
    const auto output_at = this->is_stream() ? this->first_event_at : this->head_at;
    if (output_at != time_point{})
    {
        send.first_output = output_at - this->sent_at;
    }
    send.longest_event_gap = this->longest_event_gap;
    this->service.on_send_finished(send);
}

auto exchange::release_send(send_result result) -> void
{
    if (!this->upstream)
    {
        return;
    }
    this->report_send(result);
    --this->upstream->in_flight;
    if (std::exchange(this->prefill_counted, false))
    {
        this->upstream->pending_prefill_tokens -= this->prefill_tokens;
    }
    if (this->connection)
    {
        if (this->paused)
        {
            this->paused = false;
            this->connection->set_reading(true);
        }
        this->service.get_pool().put_back(this->upstream->id, std::move(this->connection),
                                          boot_clock_now());
        this->connection = nullptr;
    }
    this->upstream = nullptr;
}

auto exchange::abandon_upstream() -> void
{
    if (this->connection)
    {
        this->connection->abandon();
    }
}

auto exchange::finish_send(send_outcome outcome, send_result result, const char* reason) -> void
{
    const auto now = boot_clock_now();
    const auto last_upstream = this->upstream_name;
    this->release_send(result);
    if (this->head_committed)
    {
        outcome = send_outcome::broken_midway;
    }
    this->worst_outcome = std::max(this->worst_outcome, outcome);

    routing::resend_context context;
    context.kind = this->route->kind;
    context.resumable = this->route->resumable;
    context.max_attempts = this->route->max_attempts;
    context.sends = this->sends;
    context.last = outcome;
    context.worst = this->worst_outcome;
    context.interruptions = this->interruptions;
    context.is_suspect = this->service.get_quarantine().is_suspect(this->judged_prompt());
    context.time_left = overload::has_time_for_send(this->deadline - now) &&
                        this->connect_failures < max_connect_failures &&
                        (!this->head_committed || this->is_stream());
    auto step = routing::decide_next_step(context);
    if (step == next_step::send_again && this->sends > 0 &&
        !this->service.consume_retry(this->target_service))
    {
        step = routing::final_step(outcome, this->worst_outcome);
        reason = "retry budget";
    }
    if (step != next_step::send_again)
    {
        this->apply_step(step);
        return;
    }
    this->service.get_log().write(this->head_committed ? event_code::stream_resumed
                                                       : event_code::request_sent_again,
                                  {{"request", this->metadata.id},
                                   {"route", this->route->name},
                                   {"upstream", last_upstream.value()},
                                   {"fate", to_text(outcome)},
                                   {"reason", reason},
                                   {"sends", this->sends},
                                   {"age_ms", to_milliseconds(now - this->arrived)}});
    this->place();
}

auto exchange::apply_step(next_step step) -> void
{
    switch (step)
    {
    case next_step::send_again:
        this->place();
        return;
    case next_step::refuse:
        this->refuse_or_fail(failure_status::bad_gateway, "not run");
        return;
    case next_step::forward_failure:
        this->forward_failure();
        return;
    case next_step::fail:
        this->finish_with(failure_status::bad_gateway, "no whole answer");
        return;
    case next_step::abort_response:
        this->finish_with(interruption{}, "broken off");
        return;
    }
}

auto exchange::on_caller_gone() -> void
{
    if (this->done)
    {
        return;
    }
    this->done = true;
    this->timer.cancel();
    this->leave_gate();
    this->abandon_upstream();
    this->release_send(send_result::cancelled);
    this->service.get_log().write(event_code::request_cancelled,
                                  {{"request", this->metadata.id},
                                   {"upstream", this->upstream_name.value()},
                                   {"sends", this->sends},
                                   {"events", this->events_forwarded},
                                   {"age_ms", to_milliseconds(boot_clock_now() - this->arrived)}});
    this->service.count_outcome(this->route != nullptr ? this->route->name : "none", "cancelled",
                                boot_clock_now() - this->arrived);
}

auto exchange::on_caller_drained() -> void
{
    if (this->paused && this->connection)
    {
        this->paused = false;
        this->connection->set_reading(true);
    }
}

auto exchange::progress_deadline() const -> time_point
{
    if (!this->is_sent || !this->connection || this->sends >= this->route->max_attempts ||
        !routing::may_repeat(this->route->kind, this->route->resumable))
    {
        return time_point::max();
    }
    const auto has_output = this->last_progress > this->sent_at && this->is_stream();
    const auto limit = has_output ? scaled(this->route->event_gap, event_timeout_factor)
                                  : scaled(this->route->objective, first_output_timeout_factor);
    const auto since =
        std::max(has_output ? this->last_progress : this->sent_at, this->progress_checked_at);
    return since + std::max(limit, min_progress_timeout);
}

auto exchange::arm_timer() -> void
{
    const auto now = boot_clock_now();
    // The timer's clock stops while the machine is suspended, the boot clock does not: a short
    // interval bounds the delay after a resume.
    constexpr duration max_timer_interval = 500ms;
    const auto due = std::min(this->deadline, this->progress_deadline());
    this->timer.expires_after(std::clamp<duration>(due - now, 1ms, max_timer_interval));
    this->timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code& error)
        {
            if (!error && !self->done)
            {
                self->on_timer();
            }
        });
}

auto exchange::can_move() -> bool
{
    const auto position =
        this->service.get_view().configuration->find_service(this->target_service);
    if (!position || !this->service.may_retry(this->target_service))
    {
        return false;
    }
    const auto query = make_placement_query(this->service, *position, this->metadata.prompt,
                                            this->metadata.id, this->tried);
    routing::placement_failure why;
    return routing::choose_upstream(this->service.get_upstreams(), query, why).has_value();
}

auto exchange::on_no_progress(time_point now) -> void
{
    if (!this->can_move())
    {
        // The upstream may only be slow; ending its work would leave the caller with nothing.
        this->progress_checked_at = now;
        return;
    }
    this->record_fault(upstream_fault::silent);
    this->abandon_upstream();
    this->finish_send(send_outcome::unknown, send_result::silent, "no progress");
}

auto exchange::on_timer() -> void
{
    const auto now = boot_clock_now();
    if (now >= this->deadline)
    {
        const auto was_sent = this->is_sent && this->upstream;
        if (was_sent)
        {
            this->worst_outcome = std::max(this->worst_outcome, send_outcome::unknown);
            this->record_fault(upstream_fault::silent);
        }
        this->abandon_upstream();
        this->release_send(send_result::silent);
        this->refuse_or_fail(failure_status::gateway_timeout, "deadline");
        return;
    }
    if (now >= this->progress_deadline())
    {
        this->on_no_progress(now);
    }
    if (!this->done)
    {
        this->arm_timer();
    }
}

} // namespace poplardrift::traffic
