#include "daemon/chat_relay.hpp"

#include "daemon/forwarding.hpp"
#include "net/clock.hpp"

namespace poplardrift
{

namespace
{

constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int not_found = 404;
/// An owner that does not answer a connection by then is passed over.
constexpr duration owner_connect_timeout = std::chrono::milliseconds(300);

/// Time that a returning chat waits for the engine that holds its prompt, by the prompt's size.
constexpr duration affinity_patience_a_kilobyte = std::chrono::milliseconds(8);
constexpr duration longest_affinity_patience = std::chrono::milliseconds(90);

auto priority_text(std::int32_t priority) -> const char*
{
    return priority > 0 ? "high" : priority < 0 ? "low" : "normal";
}

} // namespace

chat_relay::chat_relay(traffic_context& context, chat_request request)
    : context(context), asked(std::move(request)),
      times(context.figures.of_route(this->asked.caller.route->declared.path,
                                     this->asked.caller.workspace->declared.path))
{
}

auto chat_relay::is_out_of_time() const -> bool
{
    return monotonic_now() >= this->asked.caller.deadline;
}

auto chat_relay::fail(int problem_status, const std::string& detail, request_outcome what,
                      int retry_after) -> void
{
    const auto* title = what == request_outcome::not_run ? "Not run" : "Not completed";
    this->why = problem{problem_status, title, detail, what, retry_after};
}

// Slots.

auto chat_relay::make_wish() -> placement_request
{
    const auto& caller = this->asked.caller;
    placement_request result;
    result.id = this->context.slots.next_request_id();
    result.pool = caller.view->pools[caller.route->pool.value()].id;
    result.workspace = caller.workspace->id;
    result.share = caller.workspace->declared.share;
    result.max_queued = caller.workspace->declared.max_queued;
    result.conversation = this->asked.conversation;
    result.hint = this->asked.hint;
    result.priority = caller.priority;
    result.deadline =
        std::min(monotonic_now() + caller.route->declared.queue_timeout, caller.deadline);
    result.excluded = this->excluded;
    result.pinned = this->asked.pinned;
    result.may_forward = !this->asked.pinned.has_value();
    result.is_new = this->asked.is_new;
    // What a cached prompt saves grows with its length, and so does what waiting for it is worth.
    const auto worth =
        affinity_patience_a_kilobyte * static_cast<std::int64_t>(this->asked.body.size()) / 1024;
    result.target_wait =
        this->asked.is_new ? duration{} : std::min(worth, longest_affinity_patience);
    return result;
}

auto chat_relay::find_upstream(upstream_id id) -> bool
{
    // The view may have changed during the wait.
    const auto view = this->context.slots.view();
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

auto chat_relay::take_place(const wait_result& result) -> bool
{
    this->through.reset();
    if (const auto* refusal = std::get_if<refused>(&result))
    {
        this->no_slot = refusal->reason == refusal::no_slot;
        const auto full = refusal->reason == refusal::queue_full;
        this->fail(full ? too_many_requests : service_unavailable,
                   std::string(to_text(refusal->reason)),
                   this->committed ? request_outcome::unknown : request_outcome::not_run, 1);
        return false;
    }
    if (const auto* forward = std::get_if<forward_to_owner>(&result))
    {
        this->through = *forward;
        return this->find_upstream(forward->upstream);
    }
    const auto place = std::get<placed>(result);
    this->holds_slot = true;
    return this->find_upstream(place.upstream);
}

auto chat_relay::acquire_slot() -> bool
{
    while (true)
    {
        this->wish = this->make_wish();
        if (!this->take_place(this->context.slots.acquire(this->wish)))
        {
            this->release_slot();
            return false;
        }
        // The process may have been paused since the slot was given.
        if (this->through || this->context.slots.still_valid(this->upstream.id))
        {
            return true;
        }
        this->release_slot();
    }
}

auto chat_relay::next_after_denial(bool reached) -> bool
{
    const auto tried = *this->through;
    return this->take_place(this->context.slots.acquire_after_denial(this->wish, tried, reached));
}

auto chat_relay::release_slot() -> void
{
    if (this->holds_slot)
    {
        this->holds_slot = false;
        this->context.slots.release(this->upstream.id, this->asked.caller.workspace->id);
    }
}

auto chat_relay::exclude_upstream() -> void
{
    this->excluded[this->excluded_count++ % this->excluded.size()] = this->upstream.id;
    // A hint to an engine that has just failed is of no use.
    this->asked.hint.reset();
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

auto chat_relay::run_whole() -> void
{
    this->run_attempts();
    this->finish();
}

auto chat_relay::run_attempts() -> void
{
    this->context.on_request(this->asked.caller.view->limits.retry_budget);
    const auto most = this->asked.caller.route->declared.attempts;
    for (std::int64_t attempt = 1; attempt <= most; ++attempt)
    {
        if (!this->acquire_slot())
        {
            return;
        }
        const auto end = this->attempt_at_slot();
        this->release_slot();
        if (end == attempt_end::complete || end == attempt_end::engine_refused)
        {
            this->why.reset();
            this->complete = true;
            return;
        }
        if (end == attempt_end::caller_gone)
        {
            this->caller_gone = true;
            return;
        }
        if (this->no_slot ||
            (end == attempt_end::out_of_time && this->why && !this->is_out_of_time()))
        {
            return;
        }
        if (end == attempt_end::out_of_time)
        {
            this->fail(gateway_timeout, "the deadline has passed", request_outcome::unknown, 0);
            return;
        }
        this->exclude_upstream();
        if (attempt < most && !this->context.take_retry())
        {
            this->fail(service_unavailable, "the retry budget is used up: " + this->why->detail,
                       this->why->what, 1);
            return;
        }
    }
}

auto chat_relay::attempt_at_slot() -> attempt_end
{
    auto end = this->exchange(false, false);
    while (end == attempt_end::denied || end == attempt_end::owner_failed)
    {
        if (!this->next_after_denial(end == attempt_end::denied))
        {
            return attempt_end::out_of_time;
        }
        end = this->exchange(false, false);
    }
    // A kept connection may have gone stale; a new one tells.
    if (end == attempt_end::try_resume && this->stream_id.empty())
    {
        end = this->exchange(false, true);
    }
    if (end != attempt_end::try_resume || this->through)
    {
        return end == attempt_end::try_resume ? attempt_end::try_elsewhere : end;
    }
    // The engine may still hold the answer: go on after the last event that the caller has.
    const auto resumed = this->exchange(true, true);
    if (resumed == attempt_end::complete)
    {
        this->context.log.write(event_code::stream_resumed,
                                "request " + this->asked.caller.id + " at " + this->upstream.path);
    }
    return resumed == attempt_end::try_resume ? attempt_end::try_elsewhere : resumed;
}

auto chat_relay::body_to_continue() const -> std::string
{
    // The text so far is JSON-escaped already: it goes in as it is.
    auto text = this->asked.body;
    const auto end = text.rfind('}');
    text.insert(end, ",\"continue_from\":\"" + this->sequencer.text() + "\"");
    return text;
}

auto chat_relay::make_request(bool resume) const -> httplib::Request
{
    httplib::Request request;
    request.method = "POST";
    request.path = resume ? "/v1/streams/" + this->stream_id + "/resume" : "/v1/chat/completions";
    request.headers = this->asked.forwarded;
    request.headers.emplace("x-request-id", this->asked.caller.id);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->asked.caller.deadline - monotonic_now());
    request.headers.emplace("x-deadline-ms",
                            std::to_string(std::max<std::int64_t>(left.count(), 1)));
    request.headers.emplace("x-priority", priority_text(this->asked.caller.priority));
    const auto last = this->sequencer.last();
    if (last > 0 || resume)
    {
        request.headers.emplace("last-event-id", std::to_string(last));
    }
    request.body = resume ? "{}" : last > 0 ? this->body_to_continue() : this->asked.body;
    request.headers.emplace("content-type", "application/json");
    if (this->through)
    {
        this->add_forward_headers(request);
    }
    return request;
}

auto chat_relay::add_forward_headers(httplib::Request& request) const -> void
{
    request.headers.emplace("authorization", "Bearer " + this->asked.caller.api_key);
    request.headers.emplace(
        "x-poplardrift-via",
        format_via({this->upstream.id, this->asked.conversation, this->asked.caller.id},
                   this->context.settings.host_secret));
    request.headers.emplace("x-poplardrift-load", this->context.load_text(this->asked.caller));
}

auto chat_relay::note_owner_load(const httplib::Response& response) -> void
{
    this->context.hear_load(response.get_header_value("x-poplardrift-load"));
    this->context.hear_free(this->upstream.id, response.get_header_value("x-poplardrift-free"));
}

auto chat_relay::on_headers(const httplib::Response& response) -> bool
{
    this->status = response.status;
    if (this->through)
    {
        this->note_owner_load(response);
        this->no_slot = response.has_header("x-poplardrift-no-slot");
        this->owner_accepted = !this->no_slot;
    }
    this->content_type = response.get_header_value("content-type");
    // An answer belongs to its request.
    const auto echoed = response.get_header_value("x-request-id");
    this->mismatched = !echoed.empty() && echoed != this->asked.caller.id;
    if (this->mismatched)
    {
        return false;
    }
    if (this->status != 200 || !this->asked.stream)
    {
        return true;
    }
    if (!this->content_type.starts_with("text/event-stream"))
    {
        this->mismatched = true;
        return false;
    }
    this->stream_id = response.get_header_value("x-stream-id");
    if (this->through)
    {
        this->context.slots.on_forward_accepted(this->wish, this->upstream.id);
    }
    if (!this->committed)
    {
        this->committed = true;
        this->commit();
    }
    return true;
}

auto chat_relay::note_event_times() -> void
{
    const auto now = monotonic_now();
    if (this->last_event == time_point{})
    {
        this->times.first_token->Observe(to_seconds(now - this->asked.caller.arrived));
    }
    else
    {
        this->times.between_tokens->Observe(to_seconds(now - this->last_event));
    }
    this->last_event = now;
}

auto chat_relay::on_bytes(std::string_view bytes) -> bool
{
    if (this->status != 200 || !this->asked.stream)
    {
        this->body.append(bytes);
        return !this->is_out_of_time();
    }
    this->splitter.feed(bytes);
    while (const auto event = this->splitter.next())
    {
        this->due.clear();
        this->sequencer.take(*event, this->due);
        for (const auto& raw : this->due)
        {
            this->note_event_times();
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

auto chat_relay::exchange(bool resume, bool fresh) -> attempt_end
{
    const auto& route = this->asked.caller.route->declared;
    exchange_timeouts timeouts;
    timeouts.progress = std::min(route.progress_timeout,
                                 std::max<duration>(this->asked.caller.deadline - monotonic_now(),
                                                    std::chrono::milliseconds(1)));
    auto address = this->upstream.address;
    auto port = this->upstream.port;
    if (this->through && !this->context.find_host(this->through->owner, address, port))
    {
        return attempt_end::owner_failed;
    }
    timeouts.connect = this->through ? owner_connect_timeout : timeouts.connect;
    auto connection = this->context.upstreams.take(address, port, timeouts, fresh);
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
    const auto end = this->judge(response, answered, error, connection.reused);
    if (this->owner_accepted)
    {
        this->context.slots.on_forward_ended(this->upstream.id);
    }
    if (answered && (end == attempt_end::denied || end == attempt_end::complete ||
                     end == attempt_end::engine_refused))
    {
        this->context.upstreams.give_back(std::move(connection));
    }
    return end;
}

auto chat_relay::note_result(bool succeeded) -> void
{
    // What an owner saw of its engine, it notes itself.
    if (!this->through)
    {
        this->context.on_upstream_result(this->upstream, succeeded);
    }
}

auto chat_relay::judge_status(int answer_status) -> attempt_end
{
    const auto busy = answer_status == too_many_requests || answer_status >= 500;
    if (busy || (answer_status == not_found && this->committed))
    {
        this->fail(bad_gateway, "the engine answered " + std::to_string(answer_status),
                   this->committed ? request_outcome::unknown : request_outcome::not_run, 1);
        this->note_result(false);
        if (answer_status == service_unavailable && !this->through)
        {
            this->context.on_cold_sign(this->upstream);
        }
        return attempt_end::try_elsewhere;
    }
    return attempt_end::engine_refused;
}

auto chat_relay::judge(const httplib::Response& response, bool answered, httplib::Error error,
                       bool reused) -> attempt_end
{
    (void)response;
    if (this->caller_gone)
    {
        return attempt_end::caller_gone;
    }
    if (this->no_slot)
    {
        this->no_slot = false;
        return attempt_end::denied;
    }
    if (this->through && !answered && this->status == 0 && is_never_sent(error))
    {
        return attempt_end::owner_failed;
    }
    if (this->is_out_of_time())
    {
        return attempt_end::out_of_time;
    }
    const auto whole = answered && this->status == 200 &&
                       (this->asked.stream ? this->sequencer.is_complete() : !this->mismatched);
    if (whole)
    {
        this->note_result(true);
        return attempt_end::complete;
    }
    if (answered && this->status != 200)
    {
        return this->judge_status(this->status);
    }
    const auto stale = reused && this->status == 0 && error == httplib::Error::Read;
    const auto what = this->committed ? request_outcome::unknown : request_outcome::not_run;
    this->fail(bad_gateway, "the engine's answer broke off: " + httplib::to_string(error), what, 1);
    if (!stale)
    {
        this->note_result(false);
    }
    if (this->through)
    {
        return stale ? attempt_end::try_resume : attempt_end::try_elsewhere;
    }
    if (this->status == 200 || (!stale && is_never_sent(error)))
    {
        this->context.on_cold_sign(this->upstream);
    }
    const auto can_resume =
        this->status == 200 && this->sequencer.is_numbered() && !this->stream_id.empty();
    if (can_resume || stale)
    {
        return attempt_end::try_resume;
    }
    // An answer without numbers cannot be taken up once a part of it has gone out.
    const auto lost =
        this->committed && this->sequencer.last() == 0 && this->last_event != time_point{};
    return lost ? attempt_end::out_of_time : attempt_end::try_elsewhere;
}

auto chat_relay::finish() -> void
{
    const auto& caller = this->asked.caller;
    const auto& route = caller.route->declared.path;
    this->times.total->Observe(to_seconds(monotonic_now() - caller.arrived));
    if (this->complete)
    {
        this->context.figures.count_request(route, "done");
        this->context.log.write(event_code::request_done,
                                "request " + caller.id + " at " + this->upstream.path);
        return;
    }
    if (this->caller_gone)
    {
        this->context.figures.count_request(route, "caller-gone");
        return;
    }
    if (this->asked.pinned && this->no_slot)
    {
        return;
    }
    const auto refused_it = !this->committed;
    this->context.figures.count_request(route, std::string(to_text(this->why->what)));
    const auto code = !refused_it                                   ? event_code::stream_broken
                      : this->why->what == request_outcome::not_run ? event_code::request_refused
                                                                    : event_code::request_failed;
    this->context.log.write(code, "request " + caller.id + ": " + this->why->detail);
}

} // namespace poplardrift
