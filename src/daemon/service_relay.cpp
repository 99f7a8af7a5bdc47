#include "daemon/service_relay.hpp"

#include "net/clock.hpp"
#include "net/response_check.hpp"
#include "routing/resend_policy.hpp"

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
constexpr duration initial_backoff = std::chrono::milliseconds(20);
constexpr duration max_backoff = std::chrono::seconds(1);

/// Sleeps before a retry: exponential backoff with full jitter, not past the deadline.
auto sleep_backoff(std::int64_t attempt, time_point deadline) -> void
{
    thread_local std::mt19937_64 generator(std::random_device{}());
    const auto bound = std::min(
        initial_backoff * (std::int64_t{1} << std::min<std::int64_t>(attempt, 10)), max_backoff);
    std::uniform_int_distribution<duration::rep> pick(0, bound.count());
    const auto pause = std::min(duration(pick(generator)),
                                std::max<duration>(deadline - monotonic_now(), duration{}));
    std::this_thread::sleep_for(pause);
}

} // namespace

service_relay::service_relay(traffic_context& context, service_request request)
    : context(context), original(std::move(request))
{
}

auto service_relay::fail(int status, const std::string& detail, request_outcome outcome,
                         int retry_after) -> void
{
    if (this->may_have_run && outcome == request_outcome::not_run)
    {
        outcome = request_outcome::unknown;
        status = routing::is_promise(status) ? bad_gateway : status;
        retry_after = 0;
    }
    const auto* title = outcome == request_outcome::not_run ? "Not run" : "Outcome unknown";
    this->last_problem = problem{status, title, detail, outcome, retry_after};
}

auto service_relay::fail_with_refusal(transaction_refusal reason) -> void
{
    const auto outcome =
        guarantees_not_run(reason) ? request_outcome::not_run : request_outcome::unknown;
    const auto status =
        reason == transaction_refusal::key_conflict || reason == transaction_refusal::bad_ticket
            ? unprocessable
        : outcome == request_outcome::not_run ? service_unavailable
                                              : conflict;
    this->fail(status, std::string(to_text(reason)), outcome,
               status == service_unavailable ? 1 : 0);
}

auto service_relay::acquire_slot() -> bool
{
    const auto& caller = this->original.caller;
    placement_request slot_request;
    slot_request.id = this->context.admission.next_request_id();
    slot_request.pool = caller.view->pools[caller.route->pool.value()].id;
    slot_request.workspace = caller.workspace->id;
    slot_request.share = caller.workspace->declared.share;
    slot_request.max_queued = caller.workspace->declared.max_queued;
    slot_request.priority = caller.priority;
    slot_request.deadline =
        std::min(monotonic_now() + caller.route->declared.queue_timeout, caller.deadline);
    slot_request.excluded = this->excluded;
    const auto result = this->context.admission.acquire(slot_request);
    if (const auto* refusal = std::get_if<refused>(&result))
    {
        const auto queue_full = refusal->reason == refusal::queue_full;
        this->fail(queue_full ? too_many_requests : service_unavailable,
                   std::string(to_text(refusal->reason)), request_outcome::not_run, 1);
        return false;
    }
    this->holds_slot = true;
    this->upstream.id = std::get<placed>(result).upstream;
    const auto view = this->context.admission.view();
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
        this->context.admission.release(this->upstream.id, this->original.caller.workspace->id);
    }
}

auto service_relay::exchange(bool dial_new) -> exchange_end
{
    const auto& route = this->original.caller.route->declared;
    exchange_timeouts timeouts;
    const auto remaining = std::max<duration>(this->original.caller.deadline - monotonic_now(),
                                              std::chrono::milliseconds(1));
    timeouts.progress = std::min(route.progress_timeout, remaining);
    auto connection = this->context.upstreams.take_connection(
        this->upstream.address, this->upstream.port, timeouts, dial_new);
    httplib::Request request;
    request.method = this->original.method;
    request.path = this->original.target;
    request.headers = this->original.headers;
    request.headers.emplace("x-request-id", this->original.caller.id);
    request.body = this->original.body;
    httplib::Response response;
    auto error = httplib::Error::Success;
    const auto answered = connection.client->send(request, response, error);
    const auto echoed = response.get_header_value("x-request-id");
    const auto id_matches = echoed.empty() || echoed == this->original.caller.id;
    if (!answered || !id_matches || !has_valid_head(response))
    {
        this->context.on_upstream_result(this->upstream, false);
        if (!answered && proves_request_not_sent(error))
        {
            return exchange_end::not_sent;
        }
        this->may_have_run = true;
        return exchange_end::unknown;
    }
    const auto not_run_reported =
        response.get_header_value("x-outcome") == "not-run" && this->upstream.refusals_are_true;
    this->context.on_upstream_result(this->upstream, response.status < 500);
    this->context.upstreams.return_connection(std::move(connection));
    if (not_run_reported)
    {
        return exchange_end::reported_not_run;
    }
    this->may_have_run = true;
    this->reply.answer = {response.status, response.get_header_value("content-type"),
                          std::move(response.body), true};
    return exchange_end::answered;
}

// Idempotent requests.

auto service_relay::run_idempotent() -> void
{
    const auto max_attempts = this->original.caller.route->declared.attempts;
    for (std::int64_t attempt = 1; attempt <= max_attempts; ++attempt)
    {
        if (!this->acquire_slot())
        {
            return;
        }
        const auto end = this->exchange(attempt > 1);
        this->release_slot();
        if (end == exchange_end::answered && this->reply.answer.status < 500)
        {
            this->last_problem.reset();
            return;
        }
        const auto outcome = end == exchange_end::not_sent || end == exchange_end::reported_not_run
                                 ? request_outcome::not_run
                                 : request_outcome::unknown;
        this->fail(bad_gateway, "the service did not answer", outcome, 1);
        if (monotonic_now() >= this->original.caller.deadline)
        {
            this->fail(gateway_timeout, "the deadline has passed", outcome, 0);
            return;
        }
        if (attempt == max_attempts || !this->context.take_retry())
        {
            // No retry is left: the caller gets the service's own error response.
            if (end == exchange_end::answered)
            {
                this->last_problem.reset();
            }
            return;
        }
        this->excluded[this->excluded_count++ % this->excluded.size()] = this->upstream.id;
        sleep_backoff(attempt, this->original.caller.deadline);
    }
}

// Non-idempotent requests.

auto service_relay::run_once() -> run_result
{
    const auto max_attempts = this->original.caller.route->declared.attempts;
    for (std::int64_t attempt = 1; attempt <= max_attempts; ++attempt)
    {
        if (!this->acquire_slot())
        {
            return run_not_sent{};
        }
        // The process may have been paused since the transaction began or the slot was granted.
        if (!this->context.transactions.may_send(this->original.caller.numeric_id) ||
            !this->context.admission.still_valid(this->upstream.id))
        {
            this->release_slot();
            this->fail_with_refusal(transaction_refusal::window_passed);
            return run_not_sent{};
        }
        // A new connection: failing to connect proves that nothing was sent.
        const auto end = this->exchange(true);
        this->release_slot();
        if (end == exchange_end::answered)
        {
            this->last_problem.reset();
            return run_answered{this->reply.answer};
        }
        if (end == exchange_end::unknown)
        {
            this->fail_with_refusal(transaction_refusal::outcome_unknown);
            return run_unknown{};
        }
        this->fail(service_unavailable, "no service could be reached", request_outcome::not_run, 1);
        this->excluded[this->excluded_count++ % this->excluded.size()] = this->upstream.id;
        if (!this->context.take_retry() || monotonic_now() >= this->original.caller.deadline)
        {
            break;
        }
    }
    return run_not_sent{};
}

auto service_relay::forward_to_owner_host(const forward_transaction& decision) -> void
{
    const auto directory = this->context.control.directory();
    const auto found = directory->hosts.find(decision.to);
    if (found == directory->hosts.end() || found->second.where.address.empty())
    {
        this->fail_with_refusal(transaction_refusal::owner_gone);
        return;
    }
    const auto& where = found->second.where;
    const auto remaining = std::max<duration>(this->original.caller.deadline - monotonic_now(),
                                              std::chrono::milliseconds(1));
    exchange_timeouts timeouts;
    timeouts.progress = remaining;
    auto connection =
        this->context.upstreams.take_connection(where.address, where.http_port, timeouts, true);
    httplib::Request request;
    request.method = this->original.method;
    request.path = this->original.target;
    request.headers = this->original.headers;
    request.headers.erase("x-poplardrift-forwarded");
    request.headers.emplace("x-poplardrift-forwarded", "1");
    request.headers.emplace(
        "x-deadline-ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count()));
    request.body = this->original.body;
    httplib::Response response;
    auto error = httplib::Error::Success;
    if (!connection.client->send(request, response, error) || !has_valid_head(response))
    {
        this->fail_with_refusal(transaction_refusal::owner_gone);
        return;
    }
    this->reply.answer = {response.status, response.get_header_value("content-type"),
                          std::move(response.body), true};
    this->reply.replayed = true;
    this->is_from_owner = true;
}

auto service_relay::run_as_transaction() -> void
{
    transaction_request transaction;
    transaction.id = this->original.caller.numeric_id;
    transaction.workspace = this->original.caller.workspace->id;
    transaction.key = this->original.key;
    transaction.fingerprint =
        make_fingerprint(this->original.method, this->original.target, this->original.body);
    transaction.forwarded = this->original.forwarded;
    transaction.deadline = this->original.caller.deadline;
    const auto decision = this->context.transactions.begin(transaction);
    if (const auto* run = std::get_if<run_transaction>(&decision))
    {
        this->reply.key = run->key;
        const auto result = this->run_once();
        this->context.transactions.on_run_result(transaction.id, result);
    }
    else if (const auto* replay = std::get_if<replay_answer>(&decision))
    {
        this->reply.answer = replay->answer;
        this->reply.replayed = true;
    }
    else if (const auto* forward = std::get_if<forward_transaction>(&decision))
    {
        this->forward_to_owner_host(*forward);
    }
    else
    {
        this->fail_with_refusal(std::get<refuse_transaction>(decision).reason);
    }
}

auto service_relay::run() -> void
{
    this->context.on_request(this->original.caller.view->limits.retry_budget);
    if (this->original.caller.route->declared.kind == route_kind::non_idempotent)
    {
        this->run_as_transaction();
    }
    else
    {
        this->run_idempotent();
    }
    this->finish();
}

auto service_relay::withhold_promise() -> void
{
    const auto status = this->reply.answer.status;
    if (!this->last_problem && !this->is_from_owner && routing::is_promise(status))
    {
        this->fail(bad_gateway,
                   "the service failed with " + std::to_string(status) + " after it may have run",
                   request_outcome::unknown, 0);
    }
}

auto service_relay::finish() -> void
{
    this->withhold_promise();
    const auto& caller = this->original.caller;
    const auto& route = caller.route->declared.path;
    this->context.process_metrics.of_route(route, caller.workspace->declared.path)
        .total->Observe(to_seconds(monotonic_now() - caller.arrived));
    const auto outcome_text =
        this->last_problem ? std::string(to_text(this->last_problem->outcome)) : "done";
    this->context.process_metrics.count_request(route, outcome_text);
    const auto code = !this->last_problem ? event_code::request_done
                      : this->last_problem->outcome == request_outcome::not_run
                          ? event_code::request_refused
                          : event_code::request_failed;
    this->context.log.write(code,
                            "request " + caller.id +
                                (this->last_problem ? ": " + this->last_problem->detail : ""));
}

} // namespace poplardrift
