// The caller side of an exchange: events, complete responses, errors.

#include "net/clock.hpp"
#include "traffic/exchange.hpp"
#include "traffic/traffic_service.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace poplardrift::traffic
{

namespace
{

using namespace std::chrono_literals;

/// Callers wait for at most this part of the time that they have left, whatever they are told.
constexpr int return_wait_divisor = 3;
/// Retry-After of requests whose deadline is unknown, such as those refused before their route is.
constexpr duration default_longest_wait = 1s;

auto to_seconds_text(duration wait) -> std::string
{
    std::array<char, 32> text{};
    const auto length = std::snprintf(text.data(), text.size(), "%.3f", to_seconds(wait));
    return {text.data(), static_cast<std::size_t>(length)};
}
/// Unsent bytes for a slow caller beyond which reading from its upstream pauses.
constexpr std::size_t max_unsent_bytes = 262'144;
/// Comments between two events may take as many bytes as one event.
constexpr std::size_t max_comment_bytes = sse_splitter::default_max_event_bytes;

} // namespace

auto exchange::forward_events() -> void
{
    while (!this->done)
    {
        const auto event = this->events.next();
        if (!event)
        {
            break;
        }
        if (event->has_content())
        {
            this->comment_bytes = 0;
            this->forward_event(*event);
        }
        else
        {
            this->forward_comment(*event);
        }
    }
    if (!this->done && this->connection && this->events.is_oversized())
    {
        this->fail_malformed("event too large");
        return;
    }
    if (!this->done && this->connection && this->comment_bytes > max_comment_bytes)
    {
        this->fail_malformed("comments without an event");
        return;
    }
    this->pause_if_caller_is_slow();
}

auto exchange::forward_comment(const sse_event& comment) -> void
{
    this->comment_bytes += comment.raw.size();
    if (this->head_committed)
    {
        this->sink->write_body(comment.raw);
        return;
    }
    // Sent with the first event: until then another upstream can still take over.
    this->buffered_body.append(comment.raw);
}

auto exchange::pause_if_caller_is_slow() -> void
{
    if (!this->done && this->connection && this->sink->bytes_waiting() > max_unsent_bytes)
    {
        this->paused = true;
        this->connection->set_reading(false);
    }
}

auto exchange::forward_event(const sse_event& event) -> void
{
    const auto now = boot_clock_now();
    if (this->events_received++ == 0)
    {
        this->first_event_at = now;
        if (this->upstream_was_warm)
        {
            this->service.get_overload().on_first_event(this->target_service, now - this->sent_at,
                                                        this->route->objective);
        }
    }
    else
    {
        this->longest_event_gap = std::max(this->longest_event_gap, now - this->last_event_at);
    }
    this->last_event_at = now;
    this->record_progress(now);
    if (event.sequence && this->last_event && *event.sequence <= *this->last_event)
    {
        return; // already forwarded; a resumed stream may repeat it
    }
    if (this->prefill_counted)
    {
        // The first event shows that the prefill is complete.
        this->upstream->pending_prefill_tokens -= this->prefill_tokens;
        this->prefill_counted = false;
        this->upstream->cache.on_prefilled(*this->metadata.prompt);
        this->service.on_prefill_complete(this->upstream_name, *this->metadata.prompt);
    }
    this->last_progress = now;
    if (!this->head_committed)
    {
        this->first_output = now;
        this->commit_head();
    }
    if (event.sequence)
    {
        this->last_event = event.sequence;
    }
    ++this->events_forwarded;
    this->sink->write_body(event.raw);
}

auto exchange::commit_head() -> void
{
    this->caller_head = this->upstream_head;
    this->head_committed = true;
    this->sink->begin_response(this->caller_head, std::nullopt);
    this->sink->write_body(std::exchange(this->buffered_body, {}));
}

auto exchange::finish_response() -> void
{
    const auto now = boot_clock_now();
    this->done = true;
    this->timer.cancel();
    const auto upstream_used = this->upstream_name;
    this->release_send(send_result::succeeded);
    if (!this->head_committed)
    {
        this->first_output = now;
        this->sink->begin_response(this->upstream_head, this->buffered_body.size());
    }
    if (!this->buffered_body.empty())
    {
        this->sink->write_body(this->buffered_body);
    }
    this->service.get_log().write(
        event_code::request_done,
        {{"request", this->metadata.id},
         {"route", this->route->name},
         {"version", this->configuration->version.value()},
         {"upstream", upstream_used.value()},
         {"sends", this->sends},
         {"cost_ms", this->placement.cost_ms},
         {"candidates", this->placement.candidates},
         {"in_flight", this->placement.in_flight},
         {"mean_in_flight", this->placement.mean_in_flight},
         {"objection", routing::to_text(this->placement.soft_exclusion)},
         {"first_choice", this->placement.is_first_choice},
         {"cached", this->placement.cached_tokens},
         {"shared", this->placement.shared_tokens},
         {"fetched", this->placement.fetch_from.has_value()},
         {"affinity", this->affinity},
         {"first_ms", to_milliseconds(this->first_output - this->arrived)},
         {"total_ms", to_milliseconds(now - this->arrived)},
         {"events", this->events_forwarded}});
    this->service.count_outcome(this->route->name, "done", this->first_output - this->arrived);
    this->sink->end_response();
}

auto exchange::forward_failure() -> void
{
    const auto status = this->upstream_head.status;
    if (!this->last_failure)
    {
        this->service.get_log().write(event_code::upstream_status_withheld,
                                      {{"request", this->metadata.id},
                                       {"route", this->route->name},
                                       {"status", status},
                                       {"upstream", this->upstream_name.value()}});
        this->finish_with(failure_status::bad_gateway, "upstream failure without a proof");
        return;
    }
    this->done = true;
    this->timer.cancel();
    this->service.get_log().write(event_code::request_failed,
                                  {{"request", this->metadata.id},
                                   {"route", this->route->name},
                                   {"reason", "upstream error response"},
                                   {"version", this->configuration->version.value()},
                                   {"status", status},
                                   {"upstream", this->upstream_name.value()},
                                   {"sends", this->sends},
                                   {"age_ms", to_milliseconds(boot_clock_now() - this->arrived)}});
    this->service.count_outcome(this->route->name, "upstream_failure",
                                boot_clock_now() - this->arrived);
    this->sink->begin_response(this->last_failure->get_head(),
                               this->last_failure->get_body().size());
    this->sink->write_body(this->last_failure->get_body());
    this->sink->end_response();
}

auto exchange::prove_not_run() const -> std::optional<routing::not_run_proof>
{
    const auto is_under_way = this->upstream && this->is_sent;
    return is_under_way ? std::nullopt : routing::not_run_proof::from(this->worst_outcome);
}

auto exchange::refuse_or_fail(failure_status otherwise, const char* reason) -> void
{
    if (this->head_committed)
    {
        this->finish_with(interruption{}, reason);
        return;
    }
    if (const auto proof = this->prove_not_run())
    {
        this->finish_with(refusal{*proof}, reason);
        return;
    }
    this->finish_with(otherwise, reason);
}

auto exchange::send_error_response(int status, const char* reason) -> void
{
    http::response_head head;
    head.status = status;
    head.reason = http::reason_phrase(status);
    head.fields.add("Content-Type", "text/plain");
    if (status == 503)
    {
        const auto time_left = this->deadline - boot_clock_now();
        const auto longest_wait =
            this->deadline == time_point{} ? default_longest_wait : time_left / return_wait_divisor;
        const auto wait = this->retry_after
                              ? *this->retry_after
                              : this->service.return_schedule_of(this->target_service)
                                    .book(boot_clock_now(), std::max<duration>(longest_wait, 0ns),
                                          hash_bytes_64(this->metadata.id));
        head.fields.add("Retry-After", to_seconds_text(wait));
    }
    const std::string text = std::string(reason) + "\n";
    this->sink->begin_response(head, text.size());
    this->sink->write_body(text);
    this->sink->end_response();
}

auto exchange::finish_with(const own_response& answer, const char* reason) -> void
{
    struct to_status
    {
        auto operator()(const refusal&) const -> int { return 503; }
        auto operator()(failure_status status) const -> int { return static_cast<int>(status); }
        auto operator()(rejection_status status) const -> int { return static_cast<int>(status); }
        auto operator()(const interruption&) const -> int { return 0; }
    };
    const auto status = std::visit(to_status{}, answer);
    const auto now = boot_clock_now();
    this->done = true;
    this->timer.cancel();
    this->leave_gate();
    const auto code = this->head_committed                      ? event_code::stream_broken
                      : std::holds_alternative<refusal>(answer) ? event_code::request_refused
                      : std::holds_alternative<failure_status>(answer)
                          ? event_code::request_failed
                          : event_code::request_invalid;
    this->service.get_log().write(
        code, {{"request", this->metadata.id},
               {"route", this->route != nullptr ? this->route->name : ""},
               {"version", this->configuration ? this->configuration->version.value() : 0},
               {"status", status},
               {"reason", reason},
               {"worst_fate", to_text(this->worst_outcome)},
               {"upstream", this->upstream_name.value()},
               {"sends", this->sends},
               {"connect_failures", this->connect_failures},
               {"events", this->events_forwarded},
               {"age_ms", to_milliseconds(now - this->arrived)}});
    this->service.count_outcome(this->route != nullptr ? this->route->name : "none", reason,
                                now - this->arrived);
    if (this->head_committed)
    {
        this->sink->abort_response();
        return;
    }
    this->send_error_response(status, reason);
}

} // namespace poplardrift::traffic
