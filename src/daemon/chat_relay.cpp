#include "daemon/chat_relay.hpp"

#include "daemon/forwarding.hpp"
#include "net/clock.hpp"
#include "net/response_check.hpp"
#include "routing/resend_policy.hpp"

namespace poplardrift
{

namespace
{

constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int not_found = 404;
/// Timeout for connecting to the host that owns an upstream. When it expires, the request waits for
/// another slot.
constexpr duration owner_connect_timeout = std::chrono::milliseconds(300);

/// A later turn of a chat waits this long, per kilobyte of the request body and up to
/// `max_affinity_wait`, for the engine that has its prompt cached.
constexpr duration affinity_wait_per_kilobyte = std::chrono::milliseconds(8);
constexpr duration max_affinity_wait = std::chrono::milliseconds(90);

auto priority_text(std::int32_t priority) -> const char*
{
    return priority > 0 ? "high" : priority < 0 ? "low" : "normal";
}

} // namespace

chat_relay::chat_relay(traffic_context& context, chat_request request)
    : context(context), chat(std::move(request)),
      latencies(context.process_metrics.of_route(this->chat.caller.route->declared.path,
                                                 this->chat.caller.workspace->declared.path))
{
}

auto chat_relay::is_out_of_time() const -> bool
{
    return monotonic_now() >= this->chat.caller.deadline;
}

auto chat_relay::fail(int problem_status, const std::string& detail, request_outcome outcome,
                      int retry_after) -> void
{
    if (this->may_have_run && outcome == request_outcome::not_run)
    {
        outcome = request_outcome::unknown;
        problem_status = routing::is_promise(problem_status) ? bad_gateway : problem_status;
        retry_after = 0;
    }
    const auto* title = outcome == request_outcome::not_run ? "Not run" : "Not completed";
    this->last_problem = problem{problem_status, title, detail, outcome, retry_after};
}

// Slots.

auto chat_relay::make_slot_request() -> placement_request
{
    const auto& caller = this->chat.caller;
    placement_request result;
    result.id = this->context.admission.next_request_id();
    result.pool = caller.view->pools[caller.route->pool.value()].id;
    result.workspace = caller.workspace->id;
    result.share = caller.workspace->declared.share;
    result.max_queued = caller.workspace->declared.max_queued;
    result.conversation = this->chat.conversation;
    result.hint = this->chat.hint;
    result.priority = caller.priority;
    result.deadline =
        std::min(monotonic_now() + caller.route->declared.queue_timeout, caller.deadline);
    result.excluded = this->excluded;
    result.pinned = this->chat.pinned;
    result.may_forward = !this->chat.pinned.has_value();
    result.is_new = this->chat.is_new;
    // The prefill time saved by a cached prompt grows with its length, so a longer wait pays off.
    const auto wait_by_prompt_size =
        affinity_wait_per_kilobyte * static_cast<std::int64_t>(this->chat.body.size()) / 1024;
    result.target_wait =
        this->chat.is_new ? duration{} : std::min(wait_by_prompt_size, max_affinity_wait);
    return result;
}

auto chat_relay::set_upstream(upstream_id id) -> bool
{
    // The view may have changed while the request waited for a slot.
    const auto view = this->context.admission.view();
    for (const auto& pool : view->pools)
    {
        for (const auto& item : pool.upstreams)
        {
            if (item.id == id)
            {
                this->upstream = item;
                return true;
            }
        }
    }
    this->upstream.id = id;
    return false;
}

auto chat_relay::apply_wait_result(const wait_result& result) -> bool
{
    this->forward_target.reset();
    if (const auto* refusal = std::get_if<refused>(&result))
    {
        this->no_slot = refusal->reason == refusal::no_slot;
        const auto queue_full = refusal->reason == refusal::queue_full;
        this->fail(queue_full ? too_many_requests : service_unavailable,
                   std::string(to_text(refusal->reason)),
                   this->committed ? request_outcome::unknown : request_outcome::not_run, 1);
        return false;
    }
    if (const auto* forward = std::get_if<forward_to_owner>(&result))
    {
        this->forward_target = *forward;
        return this->set_upstream(forward->upstream);
    }
    const auto placement = std::get<placed>(result);
    this->holds_slot = true;
    return this->set_upstream(placement.upstream);
}

auto chat_relay::acquire_slot() -> bool
{
    while (true)
    {
        this->slot_request = this->make_slot_request();
        if (!this->apply_wait_result(this->context.admission.acquire(this->slot_request)))
        {
            this->release_slot();
            return false;
        }
        // The process may have been paused since the slot was granted.
        if (this->forward_target || this->context.admission.still_valid(this->upstream.id))
        {
            return true;
        }
        this->release_slot();
    }
}

auto chat_relay::acquire_next_slot(bool owner_reached) -> bool
{
    const auto tried_target = *this->forward_target;
    return this->apply_wait_result(this->context.admission.acquire_after_denial(
        this->slot_request, tried_target, owner_reached));
}

auto chat_relay::release_slot() -> void
{
    if (this->holds_slot)
    {
        this->holds_slot = false;
        this->context.admission.release(this->upstream.id, this->chat.caller.workspace->id);
    }
}

auto chat_relay::exclude_upstream() -> void
{
    this->excluded[this->excluded_count++ % this->excluded.size()] = this->upstream.id;
    // The affinity hint may name the engine that has just failed.
    this->chat.hint.reset();
}

// Attempts.

auto chat_relay::run_stream(const commit_function& on_commit, const write_function& on_write)
    -> void
{
    this->commit = on_commit;
    this->write = on_write;
    this->run_attempts();
    this->finish();
}

auto chat_relay::run_unstreamed() -> void
{
    this->run_attempts();
    this->finish();
}

auto chat_relay::run_attempts() -> void
{
    this->context.on_request(this->chat.caller.view->limits.retry_budget);
    const auto max_attempts = this->chat.caller.route->declared.attempts;
    for (std::int64_t attempt = 1; attempt <= max_attempts; ++attempt)
    {
        if (!this->acquire_slot())
        {
            return;
        }
        const auto end = this->run_attempt();
        this->release_slot();
        if (end == attempt_result::complete || end == attempt_result::engine_refused)
        {
            this->last_problem.reset();
            this->complete = true;
            return;
        }
        if (end == attempt_result::caller_gone)
        {
            this->caller_gone = true;
            return;
        }
        if (this->no_slot ||
            (end == attempt_result::out_of_time && this->last_problem && !this->is_out_of_time()))
        {
            return;
        }
        if (end == attempt_result::out_of_time)
        {
            this->fail(gateway_timeout, "the deadline has passed", request_outcome::unknown, 0);
            return;
        }
        this->exclude_upstream();
        if (attempt < max_attempts && !this->context.take_retry())
        {
            this->fail(service_unavailable,
                       "the retry budget is used up: " + this->last_problem->detail,
                       this->last_problem->outcome, 1);
            return;
        }
    }
}

auto chat_relay::run_attempt() -> attempt_result
{
    auto end = this->exchange(false, false);
    while (end == attempt_result::denied || end == attempt_result::owner_failed)
    {
        if (!this->acquire_next_slot(end == attempt_result::denied))
        {
            return attempt_result::out_of_time;
        }
        end = this->exchange(false, false);
    }
    // The peer may have closed the idle connection; repeat the exchange on a new one.
    if (end == attempt_result::resume_stream && this->stream_id.empty())
    {
        end = this->exchange(false, true);
    }
    if (end != attempt_result::resume_stream || this->forward_target)
    {
        return end == attempt_result::resume_stream ? attempt_result::retry_elsewhere : end;
    }
    // The engine may still hold the answer: resume after the last event sent to the caller.
    const auto resumed = this->exchange(true, true);
    if (resumed == attempt_result::complete)
    {
        this->context.log.write(event_code::stream_resumed,
                                "request " + this->chat.caller.id + " at " + this->upstream.path);
    }
    return resumed == attempt_result::resume_stream ? attempt_result::retry_elsewhere : resumed;
}

auto chat_relay::make_continuation_body() const -> std::string
{
    // The sequencer's text is already JSON-escaped.
    auto text = this->chat.body;
    const auto end = text.rfind('}');
    text.insert(end, ",\"continue_from\":\"" + this->sequencer.text() + "\"");
    return text;
}

auto chat_relay::make_request(bool resume) const -> httplib::Request
{
    httplib::Request request;
    request.method = "POST";
    request.path = resume ? "/v1/streams/" + this->stream_id + "/resume" : "/v1/chat/completions";
    request.headers = this->chat.forwarded_headers;
    request.headers.emplace("x-request-id", this->chat.caller.id);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->chat.caller.deadline - monotonic_now());
    request.headers.emplace("x-deadline-ms",
                            std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
    request.headers.emplace("x-priority", priority_text(this->chat.caller.priority));
    const auto last = this->sequencer.last();
    if (last > 0 || resume)
    {
        request.headers.emplace("last-event-id", std::to_string(last));
    }
    request.body = resume ? "{}" : last > 0 ? this->make_continuation_body() : this->chat.body;
    request.headers.emplace("content-type", "application/json");
    if (this->forward_target)
    {
        this->add_forward_headers(request);
    }
    return request;
}

auto chat_relay::add_forward_headers(httplib::Request& request) const -> void
{
    request.headers.emplace("authorization", "Bearer " + this->chat.caller.api_key);
    request.headers.emplace(
        "x-poplardrift-via",
        format_via({this->upstream.id, this->chat.conversation, this->chat.caller.id},
                   this->context.settings.host_secret));
    request.headers.emplace("x-poplardrift-load",
                            this->context.make_load_header(this->chat.caller));
}

auto chat_relay::record_owner_load(const httplib::Response& response) -> void
{
    this->context.on_load_header(response.get_header_value("x-poplardrift-load"));
    this->context.on_free_slots_header(this->upstream.id,
                                       response.get_header_value("x-poplardrift-free"));
}

auto chat_relay::on_headers(const httplib::Response& response) -> bool
{
    if (!has_valid_head(response))
    {
        this->mismatched = true;
        return false;
    }
    this->status = response.status;
    if (this->forward_target)
    {
        this->record_owner_load(response);
        this->no_slot = response.has_header("x-poplardrift-no-slot");
        this->owner_accepted = !this->no_slot;
    }
    this->content_type = response.get_header_value("content-type");
    // Rejects an answer that echoes the id of another request.
    const auto echoed = response.get_header_value("x-request-id");
    this->mismatched = !echoed.empty() && echoed != this->chat.caller.id;
    if (this->mismatched)
    {
        return false;
    }
    if (this->status != 200 || !this->chat.stream)
    {
        return true;
    }
    if (!this->content_type.starts_with("text/event-stream"))
    {
        this->mismatched = true;
        return false;
    }
    this->stream_id = response.get_header_value("x-stream-id");
    if (this->forward_target)
    {
        this->context.admission.on_forward_accepted(this->slot_request, this->upstream.id);
    }
    if (!this->committed)
    {
        this->committed = true;
        this->commit();
    }
    return true;
}

auto chat_relay::record_event_latency() -> void
{
    const auto now = monotonic_now();
    if (this->last_event == time_point{})
    {
        this->latencies.first_token->Observe(to_seconds(now - this->chat.caller.arrived));
    }
    else
    {
        this->latencies.between_tokens->Observe(to_seconds(now - this->last_event));
    }
    this->last_event = now;
}

auto chat_relay::on_bytes(std::string_view bytes) -> bool
{
    if (this->status != 200 || !this->chat.stream)
    {
        this->body.append(bytes);
        return !this->is_out_of_time();
    }
    this->splitter.feed(bytes);
    while (const auto event = this->splitter.next())
    {
        this->ready_events.clear();
        this->sequencer.add_event(*event, this->ready_events);
        for (const auto& raw : this->ready_events)
        {
            this->record_event_latency();
            if (!this->write(raw))
            {
                this->caller_gone = true;
                return false;
            }
        }
    }
    const auto usable = !this->splitter.is_oversized() && !this->sequencer.has_lost_event();
    return usable && !this->is_out_of_time();
}

auto chat_relay::exchange(bool resume, bool dial_new) -> attempt_result
{
    const auto& route = this->chat.caller.route->declared;
    exchange_timeouts timeouts;
    timeouts.progress = std::min(route.progress_timeout,
                                 std::max<duration>(this->chat.caller.deadline - monotonic_now(),
                                                    std::chrono::milliseconds(1)));
    auto address = this->upstream.address;
    auto port = this->upstream.port;
    if (this->forward_target &&
        !this->context.find_host_address(this->forward_target->owner, address, port))
    {
        return attempt_result::owner_failed;
    }
    timeouts.connect = this->forward_target ? owner_connect_timeout : timeouts.connect;
    auto connection = this->context.upstreams.take_connection(address, port, timeouts, dial_new);
    this->no_slot = false;
    this->owner_accepted = false;
    this->splitter = sse_splitter();
    this->sequencer.start_connection();
    this->body.clear();
    this->stream_id = resume ? this->stream_id : "";
    this->status = 0;
    auto request = this->make_request(resume);
    request.response_handler = [this](const httplib::Response& response)
    { return this->on_headers(response); };
    request.content_receiver = [this](const char* data, std::size_t size, std::uint64_t,
                                      std::uint64_t) {
        return this->on_bytes({data, size});
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    const auto answered = connection.client->send(request, response, error);
    const auto end = this->classify_exchange(response, answered, error, connection.reused);
    if (this->owner_accepted)
    {
        this->context.admission.on_forward_ended(this->upstream.id);
    }
    if (answered && (end == attempt_result::denied || end == attempt_result::complete ||
                     end == attempt_result::engine_refused))
    {
        this->context.upstreams.return_connection(std::move(connection));
    }
    return end;
}

auto chat_relay::report_upstream_result(bool succeeded) -> void
{
    // For a forwarded request, the host that owns the engine records the result.
    if (!this->forward_target)
    {
        this->context.on_upstream_result(this->upstream, succeeded);
    }
}

auto chat_relay::classify_error_status(int answer_status) -> attempt_result
{
    const auto is_retryable = answer_status == too_many_requests || answer_status >= 500;
    if (is_retryable || (answer_status == not_found && this->committed))
    {
        this->fail(bad_gateway, "the engine answered " + std::to_string(answer_status),
                   this->committed ? request_outcome::unknown : request_outcome::not_run, 1);
        this->report_upstream_result(false);
        if (answer_status == service_unavailable && !this->forward_target)
        {
            this->context.on_suspected_cold_upstream(this->upstream);
        }
        return attempt_result::retry_elsewhere;
    }
    return attempt_result::engine_refused;
}

auto chat_relay::classify_exchange(const httplib::Response& response, bool answered,
                                   httplib::Error error, bool reused) -> attempt_result
{
    (void)response;
    if (this->caller_gone)
    {
        return attempt_result::caller_gone;
    }
    if (this->no_slot)
    {
        this->no_slot = false;
        return attempt_result::denied;
    }
    this->may_have_run = this->may_have_run || answered || !proves_request_not_sent(error);
    if (this->forward_target && !answered && this->status == 0 && proves_request_not_sent(error))
    {
        return attempt_result::owner_failed;
    }
    if (this->is_out_of_time())
    {
        return attempt_result::out_of_time;
    }
    const auto succeeded = answered && this->status == 200 &&
                           (this->chat.stream ? this->sequencer.is_complete() : !this->mismatched);
    if (succeeded)
    {
        this->report_upstream_result(true);
        return attempt_result::complete;
    }
    if (answered && this->status != 200)
    {
        return this->classify_error_status(this->status);
    }
    const auto stale = reused && this->status == 0 && error == httplib::Error::Read;
    const auto outcome = this->committed ? request_outcome::unknown : request_outcome::not_run;
    this->fail(bad_gateway, "the engine's answer broke off: " + httplib::to_string(error), outcome,
               1);
    if (!stale)
    {
        this->report_upstream_result(false);
    }
    if (this->forward_target)
    {
        return stale ? attempt_result::resume_stream : attempt_result::retry_elsewhere;
    }
    if (this->status == 200 || (!stale && proves_request_not_sent(error)))
    {
        this->context.on_suspected_cold_upstream(this->upstream);
    }
    const auto can_resume =
        this->status == 200 && this->sequencer.is_numbered() && !this->stream_id.empty();
    if (can_resume || stale)
    {
        return attempt_result::resume_stream;
    }
    // An answer without event numbers cannot be continued after part of it was sent to the caller.
    const auto cannot_continue =
        this->committed && this->sequencer.last() == 0 && this->last_event != time_point{};
    return cannot_continue ? attempt_result::out_of_time : attempt_result::retry_elsewhere;
}

auto chat_relay::finish() -> void
{
    const auto& caller = this->chat.caller;
    const auto& route = caller.route->declared.path;
    this->latencies.total->Observe(to_seconds(monotonic_now() - caller.arrived));
    if (this->complete)
    {
        this->context.process_metrics.count_request(route, "done");
        this->context.log.write(event_code::request_done,
                                "request " + caller.id + " at " + this->upstream.path);
        return;
    }
    if (this->caller_gone)
    {
        this->context.process_metrics.count_request(route, "caller-gone");
        return;
    }
    if (this->chat.pinned && this->no_slot)
    {
        return;
    }
    const auto failed_before_commit = !this->committed;
    this->context.process_metrics.count_request(route,
                                                std::string(to_text(this->last_problem->outcome)));
    const auto code = !failed_before_commit ? event_code::stream_broken
                      : this->last_problem->outcome == request_outcome::not_run
                          ? event_code::request_refused
                          : event_code::request_failed;
    this->context.log.write(code, "request " + caller.id + ": " + this->last_problem->detail);
}

} // namespace poplardrift
