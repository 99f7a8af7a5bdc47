#include "daemon/service_relay.hpp"

#include "net/clock.hpp"

#include <random>
#include <thread>

namespace poplardrift
{

namespace
{

constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int too_many_requests = 429;
constexpr duration first_backoff = std::chrono::milliseconds(20);
constexpr duration longest_backoff = std::chrono::seconds(1);

/// Waits before a retry: doubled each time, with full jitter.
auto back_off(std::int64_t attempt, time_point deadline) -> void
{
    thread_local std::mt19937_64 generator(std::random_device{}());
    const auto most = std::min(
        first_backoff * (std::int64_t{1} << std::min<std::int64_t>(attempt, 10)), longest_backoff);
    std::uniform_int_distribution<duration::rep> pick(0, most.count());
    const auto pause = std::min(duration(pick(generator)),
                                std::max<duration>(deadline - monotonic_now(), duration{}));
    std::this_thread::sleep_for(pause);
}

} // namespace

service_relay::service_relay(traffic_context& context, service_request request)
    : context(context), asked(std::move(request))
{
}

auto service_relay::fail(int status, const std::string& detail, request_outcome what,
                         int retry_after) -> void
{
    const auto* title = what == request_outcome::not_run ? "Not run" : "Outcome unknown";
    this->why = problem{status, title, detail, what, retry_after};
}

auto service_relay::fail_refused(transaction_refusal reason) -> void
{
    const auto what =
        guarantees_not_run(reason) ? request_outcome::not_run : request_outcome::unknown;
    const auto status =
        reason == transaction_refusal::key_conflict || reason == transaction_refusal::bad_ticket
            ? unprocessable
        : what == request_outcome::not_run ? service_unavailable
                                           : conflict;
    this->fail(status, std::string(to_text(reason)), what, status == service_unavailable ? 1 : 0);
}

auto service_relay::acquire_slot() -> bool
{
    const auto& caller = this->asked.caller;
    placement_request wish;
    wish.id = this->context.slots.next_request_id();
    wish.pool = caller.view->pools[caller.route->pool.value()].id;
    wish.workspace = caller.workspace->id;
    wish.share = caller.workspace->declared.share;
    wish.max_queued = caller.workspace->declared.max_queued;
    wish.priority = caller.priority;
    wish.deadline =
        std::min(monotonic_now() + caller.route->declared.queue_timeout, caller.deadline);
    wish.excluded = this->excluded;
    const auto result = this->context.slots.acquire(wish);
    if (const auto* refusal = std::get_if<refused>(&result))
    {
        const auto full = refusal->reason == refusal::queue_full;
        this->fail(full ? too_many_requests : service_unavailable,
                   std::string(to_text(refusal->reason)), request_outcome::not_run, 1);
        return false;
    }
    this->holds_slot = true;
    this->upstream.id = std::get<placed>(result).upstream;
    const auto view = this->context.slots.view();
    for (const auto& pool : view->pools)
    {
        for (const auto& item : pool.upstreams)
        {
            this->upstream = item.id == this->upstream.id ? item : this->upstream;
        }
    }
    return true;
}

auto service_relay::release_slot() -> void
{
    if (this->holds_slot)
    {
        this->holds_slot = false;
        this->context.slots.release(this->upstream.id, this->asked.caller.workspace->id);
    }
}

auto service_relay::exchange(bool fresh) -> exchange_end
{
    const auto& route = this->asked.caller.route->declared;
    exchange_timeouts timeouts;
    const auto left = std::max<duration>(this->asked.caller.deadline - monotonic_now(),
                                         std::chrono::milliseconds(1));
    timeouts.progress = std::min(route.progress_timeout, left);
    auto connection =
        this->context.upstreams.take(this->upstream.address, this->upstream.port, timeouts, fresh);
    httplib::Request request;
    request.method = this->asked.method;
    request.path = this->asked.target;
    request.headers = this->asked.headers;
    request.headers.emplace("x-request-id", this->asked.caller.id);
    request.body = this->asked.body;
    httplib::Response response;
    auto error = httplib::Error::Success;
    const auto answered = connection.client->send(request, response, error);
    const auto echoed = response.get_header_value("x-request-id");
    const auto ours = echoed.empty() || echoed == this->asked.caller.id;
    if (!answered || !ours)
    {
        this->context.on_upstream_result(this->upstream, false);
        return answered || !is_never_sent(error) ? exchange_end::unknown : exchange_end::never_sent;
    }
    const auto says_not_run =
        response.get_header_value("x-outcome") == "not-run" && this->upstream.refusals_are_true;
    this->context.on_upstream_result(this->upstream, response.status < 500);
    this->context.upstreams.give_back(std::move(connection));
    if (says_not_run)
    {
        return exchange_end::said_not_run;
    }
    this->got.answer = {response.status, response.get_header_value("content-type"),
                        std::move(response.body), true};
    return exchange_end::answered;
}

// Requests that may be repeated.

auto service_relay::run_idempotent() -> void
{
    const auto most = this->asked.caller.route->declared.attempts;
    for (std::int64_t attempt = 1; attempt <= most; ++attempt)
    {
        if (!this->acquire_slot())
        {
            return;
        }
        const auto end = this->exchange(attempt > 1);
        this->release_slot();
        if (end == exchange_end::answered && this->got.answer.status < 500)
        {
            this->why.reset();
            return;
        }
        const auto what = end == exchange_end::never_sent || end == exchange_end::said_not_run
                              ? request_outcome::not_run
                              : request_outcome::unknown;
        this->fail(bad_gateway, "the service did not answer", what, 1);
        if (monotonic_now() >= this->asked.caller.deadline)
        {
            this->fail(gateway_timeout, "the deadline has passed", what, 0);
            return;
        }
        if (attempt == most || !this->context.take_retry())
        {
            // Its own error is the best answer there is.
            if (end == exchange_end::answered)
            {
                this->why.reset();
            }
            return;
        }
        this->excluded[this->excluded_count++ % this->excluded.size()] = this->upstream.id;
        back_off(attempt, this->asked.caller.deadline);
    }
}

// Requests that may run once only.

auto service_relay::run_once() -> run_result
{
    const auto most = this->asked.caller.route->declared.attempts;
    for (std::int64_t attempt = 1; attempt <= most; ++attempt)
    {
        if (!this->acquire_slot())
        {
            return run_not_sent{};
        }
        // The process may have been paused since the claim or since the slot was given.
        if (!this->context.transactions.may_send(this->asked.caller.number) ||
            !this->context.slots.still_valid(this->upstream.id))
        {
            this->release_slot();
            this->fail_refused(transaction_refusal::window_passed);
            return run_not_sent{};
        }
        // A new connection: when it cannot be made, nothing was sent, and that is proof.
        const auto end = this->exchange(true);
        this->release_slot();
        if (end == exchange_end::answered)
        {
            this->why.reset();
            return run_answered{this->got.answer};
        }
        if (end == exchange_end::unknown)
        {
            this->fail_refused(transaction_refusal::outcome_unknown);
            return run_unknown{};
        }
        this->fail(service_unavailable, "no service could be reached", request_outcome::not_run, 1);
        this->excluded[this->excluded_count++ % this->excluded.size()] = this->upstream.id;
        if (!this->context.take_retry() || monotonic_now() >= this->asked.caller.deadline)
        {
            break;
        }
    }
    return run_not_sent{};
}

auto service_relay::forward_to(const forward_transaction& verdict) -> void
{
    const auto directory = this->context.control.directory();
    const auto found = directory->hosts.find(verdict.to);
    if (found == directory->hosts.end() || found->second.where.address.empty())
    {
        this->fail_refused(transaction_refusal::owner_gone);
        return;
    }
    const auto& where = found->second.where;
    const auto left = std::max<duration>(this->asked.caller.deadline - monotonic_now(),
                                         std::chrono::milliseconds(1));
    exchange_timeouts timeouts;
    timeouts.progress = left;
    auto connection = this->context.upstreams.take(where.address, where.http_port, timeouts, true);
    httplib::Request request;
    request.method = this->asked.method;
    request.path = this->asked.target;
    request.headers = this->asked.headers;
    request.headers.erase("x-poplardrift-forwarded");
    request.headers.emplace("x-poplardrift-forwarded", "1");
    request.headers.emplace(
        "x-deadline-ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
    request.body = this->asked.body;
    httplib::Response response;
    auto error = httplib::Error::Success;
    if (!connection.client->send(request, response, error))
    {
        this->fail_refused(transaction_refusal::owner_gone);
        return;
    }
    this->got.answer = {response.status, response.get_header_value("content-type"),
                        std::move(response.body), true};
    this->got.replayed = true;
}

auto service_relay::run_transaction_request() -> void
{
    transaction_request wish;
    wish.id = this->asked.caller.number;
    wish.workspace = this->asked.caller.workspace->id;
    wish.key = this->asked.key;
    wish.fingerprint = make_fingerprint(this->asked.method, this->asked.target, this->asked.body);
    wish.forwarded = this->asked.forwarded;
    wish.deadline = this->asked.caller.deadline;
    const auto verdict = this->context.transactions.begin(wish);
    if (const auto* run = std::get_if<run_transaction>(&verdict))
    {
        this->got.key = run->key;
        const auto result = this->run_once();
        this->context.transactions.on_run_result(wish.id, result);
    }
    else if (const auto* replay = std::get_if<replay_answer>(&verdict))
    {
        this->got.answer = replay->answer;
        this->got.replayed = true;
    }
    else if (const auto* forward = std::get_if<forward_transaction>(&verdict))
    {
        this->forward_to(*forward);
    }
    else
    {
        this->fail_refused(std::get<refuse_transaction>(verdict).reason);
    }
}

auto service_relay::run() -> void
{
    this->context.on_request(this->asked.caller.view->limits.retry_budget);
    if (this->asked.caller.route->declared.kind == route_kind::non_idempotent)
    {
        this->run_transaction_request();
    }
    else
    {
        this->run_idempotent();
    }
    this->finish();
}

auto service_relay::finish() -> void
{
    const auto& caller = this->asked.caller;
    const auto& route = caller.route->declared.path;
    this->context.figures.of_route(route, caller.workspace->declared.path)
        .total->Observe(to_seconds(monotonic_now() - caller.arrived));
    const auto outcome_text = this->why ? std::string(to_text(this->why->what)) : "done";
    this->context.figures.count_request(route, outcome_text);
    const auto code = !this->why                                    ? event_code::request_done
                      : this->why->what == request_outcome::not_run ? event_code::request_refused
                                                                    : event_code::request_failed;
    this->context.log.write(code,
                            "request " + caller.id + (this->why ? ": " + this->why->detail : ""));
}

} // namespace poplardrift
