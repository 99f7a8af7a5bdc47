#include "rollout/rollout.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace poplardrift::rollout
{

namespace
{

using namespace std::chrono_literals;

/// Time between the starts of the verdict's tests, as a part of the roll-out's length.
constexpr int test_start_divisor = 60;
constexpr duration min_test_interval = 1s;
/// Finished responses of the new version over all hosts without which it is never used alone.
constexpr std::uint64_t min_finished = 50;
/// A route has traffic if the old version has finished this many responses; the new version needs
/// at least min_finished_on_route there.
constexpr std::uint64_t busy_route_responses = 100;
constexpr std::uint64_t min_finished_on_route = 3;
/// Part of the canary requests that is divided equally among the routes; the rest follows their
/// requests. Without it a route with 5 % of the requests got too few canaries for a verdict.
constexpr double equal_route_part = 0.3;
/// Requests on a route before its share of the canary requests.
constexpr std::uint64_t first_canaries_of_route = 1;
/// A host that started during the roll-out waits this long for one that knows the order's age.
constexpr duration age_wait = 5s;
/// Hosts write one after the other, until one has succeeded.
constexpr duration write_delay_per_rank = 150ms;
constexpr duration max_write_delay = 1s;
/// Time between reads of the store's state while no other host is heard.
constexpr duration read_interval = 1s;
/// Time after the deadline for which a host waits for the decision of others that it doesn't hear,
/// or that have more evidence.
constexpr duration wait_for_others = 10s;

} // namespace

auto to_text(rollback_cause cause) -> std::string_view
{
    static constexpr std::array<std::string_view, 5> names = {
        "", "bad version", "not enough responses by the deadline", "withdrawn",
        "decided by another host"};
    return names[static_cast<std::size_t>(cause)];
}

service_rollout::service_rollout(rollout_order order, const rollout_bounds& bounds, time_point now)
    : order(std::move(order)), bounds(bounds), known_since(now),
      judging(std::max<duration>(min_test_interval, this->order.length / test_start_divisor))
{
    if (this->order.is_fresh)
    {
        this->ordered_at = this->order.seen_at;
        this->want_write(rollout_phase::in_progress, now);
    }
}

auto service_rollout::get_canary_share() const -> double
{
    return canary_share(this->bounds, this->expected_requests);
}

auto service_rollout::age(time_point now) const -> std::optional<duration>
{
    return this->ordered_at ? std::optional(now - *this->ordered_at) : std::nullopt;
}

auto service_rollout::may_send_to_new() const -> bool
{
    return this->ordered_at && !this->stopped_alone &&
           this->counts.own.sent_to_new <
               exposure_limit(this->bounds, this->hosts.share, this->counts.own.requests());
}

auto service_rollout::choose(route_key route, bool is_repeat) const -> version_choice
{
    if (this->phase == rollout_phase::complete)
    {
        return version_choice::only_new;
    }
    // What has failed once is not tried on an unproven version again.
    if (this->phase == rollout_phase::rolled_back || is_repeat || !this->may_send_to_new())
    {
        return version_choice::old_version;
    }
    if (this->phase == rollout_phase::shifting && !this->hosts.is_isolated)
    {
        return version_choice::new_version;
    }
    const auto limit = canary_limit(this->bounds, this->hosts.share, this->counts.own.requests(),
                                    this->expected_requests);
    if (this->counts.own.sent_to_new >= limit)
    {
        return version_choice::old_version;
    }
    const auto own = this->counts.own.routes.find(route);
    const auto requests = own == this->counts.own.routes.end() ? 0 : own->second.requests;
    const auto sent = this->canaries.find(route);
    const auto equal_share =
        static_cast<double>(this->counts.own.requests()) /
        static_cast<double>(std::max<std::size_t>(1, this->counts.own.routes.size()));
    const auto part =
        this->get_canary_share() *
        (equal_route_part * equal_share + (1.0 - equal_route_part) * static_cast<double>(requests));
    const auto is_due = sent == this->canaries.end() ||
                        static_cast<double>(sent->second) < part + first_canaries_of_route;
    return is_due ? version_choice::canary : version_choice::old_version;
}

auto service_rollout::on_sent_to_new(route_key route) -> void
{
    ++this->counts.own.sent_to_new;
    ++this->canaries[route];
}

auto service_rollout::count_response(const judged_response& response) -> void
{
    auto& route = this->counts.own.routes[response.route];
    auto& counts_of_version = response.is_new_version ? route.new_version : route.old_version;
    ++counts_of_version.finished;
    if (response.quality == response_quality::failed)
    {
        ++counts_of_version.failed;
    }
    if (response.quality == response_quality::interrupted)
    {
        ++counts_of_version.interrupted;
        if (response.is_new_version)
        {
            ++this->counts.own.interrupted_by_upstream[response.upstream];
        }
    }
    if (response.slow)
    {
        ++counts_of_version.timed;
        counts_of_version.slow += *response.slow ? 1 : 0;
    }
}

auto service_rollout::on_response(const judged_response& response, time_point now) -> void
{
    this->count_response(response);
    const auto is_bad = response.quality != response_quality::good || response.slow.value_or(false);
    if (response.is_new_version && is_bad && !is_final(this->phase) &&
        this->early.is_due_at_bad_response())
    {
        this->judge(this->counts.sum(), now);
    }
}

auto service_rollout::on_report(host_instance from, const rollout_report& report, time_point now)
    -> void
{
    this->counts.merge(from, report.counts);
    if (report.ordered_at)
    {
        // The order is older than this host thought if it has received the record late.
        this->ordered_at = std::min(this->ordered_at.value_or(now), *report.ordered_at);
    }
    if (report.is_recorded && is_final(report.phase))
    {
        this->on_recorded(report.phase, now);
        return;
    }
    if (report.is_recorded && this->write && this->write->state == report.phase)
    {
        this->write->is_taken = true;
    }
    if (report.phase == rollout_phase::rolled_back)
    {
        this->roll_back(rollback_cause::decided_elsewhere, now);
    }
    this->peer_is_shifting = this->peer_is_shifting || report.phase == rollout_phase::shifting;
}

auto service_rollout::on_recorded(rollout_phase recorded_phase, time_point now) -> void
{
    if (!is_final(recorded_phase))
    {
        if (!is_final(this->phase))
        {
            this->recorded = true;
        }
        return;
    }
    if (is_final(this->phase) && this->recorded)
    {
        return;
    }
    // A state in the store is final, even if this host has decided otherwise: the operators act on
    // it.
    if (recorded_phase == rollout_phase::rolled_back)
    {
        this->roll_back(rollback_cause::decided_elsewhere, now);
    }
    this->phase = recorded_phase;
    this->recorded = true;
    this->write.reset();
}

auto service_rollout::on_withdrawn(time_point now) -> void
{
    this->roll_back(rollback_cause::withdrawn, now);
}

auto service_rollout::roll_back(rollback_cause why, time_point now) -> void
{
    if (is_final(this->phase))
    {
        return;
    }
    this->phase = rollout_phase::rolled_back;
    this->cause = why;
    this->recorded = false;
    this->want_write(rollout_phase::rolled_back, now);
}

auto service_rollout::want_write(rollout_phase state, time_point now) -> void
{
    if (!this->write || this->write->state != state)
    {
        this->write = pending_write{state, now};
    }
}

auto service_rollout::has_enough_evidence(const host_counts& sums) const -> bool
{
    return sums.total().new_version.finished >= min_finished &&
           std::all_of(sums.routes.begin(), sums.routes.end(),
                       [](const auto& item)
                       {
                           const auto& counts = item.second;
                           return counts.old_version.finished < busy_route_responses ||
                                  counts.new_version.finished >= min_finished_on_route;
                       });
}

auto service_rollout::assume_age(time_point now) -> void
{
    // All hosts may have started after the order.
    if (!this->ordered_at && !this->hosts.is_isolated && now - this->known_since >= age_wait)
    {
        this->ordered_at = this->known_since;
    }
}

auto service_rollout::judge(const host_counts& sums, time_point now) -> void
{
    if (const auto found = this->judging.observe(sums, now))
    {
        this->verdict = found;
        this->roll_back(rollback_cause::bad_version, now);
        return;
    }
    const auto own_bad = this->counts.own.total().new_version.bad();
    const auto own_limit = std::max<std::uint64_t>(
        1, certain_bad_responses / std::max<std::size_t>(1, this->hosts.share.hosts));
    this->stopped_alone = this->stopped_alone || (this->hosts.is_isolated && own_bad >= own_limit);
}

auto service_rollout::update_expected_requests(const host_counts& sums, duration order_age) -> void
{
    constexpr duration min_age = 500ms;
    if (order_age >= min_age)
    {
        const auto remaining = to_seconds(this->order.length) / to_seconds(order_age);
        this->expected_requests = static_cast<double>(sums.requests()) * std::max(1.0, remaining);
    }
}

auto service_rollout::advance(const host_counts& sums, duration order_age, time_point now) -> void
{
    this->update_expected_requests(sums, order_age);
    const auto requests = this->counts.own.requests();
    const auto limit = exposure_limit(this->bounds, this->hosts.share, requests);
    const auto unspent = static_cast<double>(limit) -
                         static_cast<double>(std::min(limit, this->counts.own.sent_to_new));
    const auto plan = plan_shift(this->bounds, this->order.length, order_age, requests, unspent);
    const auto is_tried = this->has_enough_evidence(sums) && !this->hosts.is_isolated;
    if (this->phase == rollout_phase::in_progress && is_tried && order_age >= plan.begins_at)
    {
        this->phase = rollout_phase::shifting;
    }
    if (this->phase == rollout_phase::shifting && is_tried && order_age >= plan.completes_at)
    {
        this->want_write(rollout_phase::complete, now);
    }
    const auto others_decide = this->hosts.is_isolated || this->peer_is_shifting;
    const auto last_moment = this->order.length + (others_decide ? wait_for_others : duration(0ns));
    if (this->phase == rollout_phase::in_progress && order_age >= last_moment)
    {
        this->roll_back(rollback_cause::no_evidence, now);
    }
}

auto service_rollout::tick(time_point now) -> void
{
    if (is_final(this->phase))
    {
        return;
    }
    this->assume_age(now);
    const auto sums = this->counts.sum();
    this->judge(sums, now);
    if (const auto order_age = this->age(now); order_age && !is_final(this->phase))
    {
        this->advance(sums, *order_age, now);
    }
}

auto service_rollout::take_due_write(time_point now) -> std::optional<rollout_phase>
{
    if (!this->write || this->write->is_taken)
    {
        return std::nullopt;
    }
    const auto delay = std::min<duration>(
        write_delay_per_rank * static_cast<std::int64_t>(this->hosts.share.rank), max_write_delay);
    if (now - this->write->since < delay)
    {
        return std::nullopt;
    }
    this->write->is_taken = true;
    return this->write->state;
}

auto service_rollout::take_due_read(time_point now) -> bool
{
    const auto is_needed =
        !is_final(this->phase) &&
        (!this->ordered_at ||
         (this->hosts.is_isolated && now - *this->ordered_at >= this->order.length / 2));
    if (!is_needed || now < this->next_read_at)
    {
        return false;
    }
    this->next_read_at = now + read_interval;
    return true;
}

auto service_rollout::report() const -> rollout_report
{
    return {this->order.service, this->order.position, this->ordered_at,
            this->phase,         this->recorded,       this->counts.own};
}

} // namespace poplardrift::rollout
