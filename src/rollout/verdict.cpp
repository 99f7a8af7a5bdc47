#include "rollout/verdict.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace poplardrift::rollout
{

namespace
{

using namespace std::chrono_literals;

/// Probability of rolling back a good version, over all tests of one roll-out. Half of the
/// specified one in 100: the old version's share is only estimated.
constexpr double total_error_rate = 0.005;
/// Metrics, and scopes (all routes together, each route), among which the error rate is divided.
constexpr double metric_count = 2.0;
constexpr double scope_count = 2.0;
/// Factor for the old version's share, so that a version that is hardly worse is not tested for.
constexpr double tolerated_ratio = 1.25;
/// Shares up to these are no sign of a bad version.
constexpr double tolerated_bad_share = 0.01;
constexpr double tolerated_slow_share = 0.10;
constexpr double max_reference_share = 0.9;
/// Standard deviations added to the estimate of the old version's share.
constexpr double estimate_deviations = 2.0;
/// Shares above the reference for which the test looks, as parts of the way from it to 1.
constexpr std::array<double, 7> alternative_parts = {0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.95};
/// Interruptions at one upstream within this time are taken for one crash. Reports of other hosts
/// arrive up to 0.5 s after the event.
constexpr duration crash_episode_length = 1500ms;
/// The old version has less than this part of the new version's share: rule of 50.
constexpr double certain_ratio = 1.0 / 3.0;
/// The old version's share during a test is used from this many responses on.
constexpr double min_compared_responses = 30.0;
/// Fewer bad responses are never enough.
constexpr double min_bad_responses = 2.0;
/// Tests that run at the same time, the oldest and the newest ones.
constexpr std::size_t max_tests_at_once = 48;

auto upper_estimate(const response_share& share) -> double
{
    const auto estimate = (share.bad + 1.0) / (share.all + 2.0);
    const auto deviation = std::sqrt(estimate * (1.0 - estimate) / (share.all + 2.0));
    return estimate + estimate_deviations * deviation;
}

auto reference_share(judged_metric metric, const response_share& old_version) -> double
{
    const auto tolerated =
        metric == judged_metric::bad_responses ? tolerated_bad_share : tolerated_slow_share;
    return std::clamp(tolerated_ratio * upper_estimate(old_version), tolerated,
                      max_reference_share);
}

auto difference(const response_share& end, const response_share& start) -> response_share
{
    return {std::max(0.0, end.bad - start.bad), std::max(0.0, end.all - start.all)};
}

auto add_to(response_share& sum, const response_share& share) -> void
{
    sum.bad += share.bad;
    sum.all += share.all;
}

auto grown(std::uint64_t now, std::uint64_t before) -> double
{
    return now > before ? static_cast<double>(now - before) : 0.0;
}

} // namespace

auto log_evidence(judged_metric metric, const response_share& new_version,
                  const response_share& old_version) -> double
{
    const auto reference = reference_share(metric, old_version);
    const auto good = new_version.all - new_version.bad;
    std::array<double, alternative_parts.size()> logs{};
    for (std::size_t index = 0; index < alternative_parts.size(); ++index)
    {
        const auto share = reference + (1.0 - reference) * alternative_parts[index];
        logs[index] = new_version.bad * std::log(share / reference) +
                      good * std::log((1.0 - share) / (1.0 - reference));
    }
    const auto highest = *std::max_element(logs.begin(), logs.end());
    double sum = 0.0;
    for (const auto log : logs)
    {
        sum += std::exp(log - highest);
    }
    return highest + std::log(sum / static_cast<double>(alternative_parts.size()));
}

auto version_judge::causes_per_interruption(const host_counts& sums, time_point now) -> double
{
    double interruptions = 0.0;
    double causes = 0.0;
    for (const auto& [upstream, count] : sums.interrupted_by_upstream)
    {
        auto& episode = this->episodes[upstream];
        if (count <= episode.seen)
        {
            continue;
        }
        const auto added = count - std::exchange(episode.seen, count);
        interruptions += static_cast<double>(added);
        if (now - episode.began_at > crash_episode_length)
        {
            episode.began_at = now;
            episode.size = 0;
            causes += 1.0;
        }
        episode.size += added;
        this->largest_episode = std::max(this->largest_episode, episode.size);
    }
    return interruptions > 0.0 ? causes / interruptions : 1.0;
}

auto version_judge::update_shares(const host_counts& sums, time_point now) -> void
{
    const auto factor = this->causes_per_interruption(sums, now);
    for (const auto& [route, counts] : sums.routes)
    {
        const auto& before = this->last.routes[route];
        const auto& fresh = counts.new_version;
        const auto& old = counts.old_version;
        const auto interrupted = grown(fresh.interrupted, before.new_version.interrupted);
        const auto failed = grown(fresh.failed, before.new_version.failed);
        auto& [bad, slow] = this->current[route].metrics;
        bad.unadjusted_bad += failed + interrupted;
        add_to(bad.new_version, {failed + interrupted * factor,
                                 std::max(0.0, grown(fresh.finished, before.new_version.finished) -
                                                   interrupted * (1.0 - factor))});
        add_to(bad.old_version, {grown(old.bad(), before.old_version.bad()),
                                 grown(old.finished, before.old_version.finished)});
        const auto slow_now = grown(fresh.slow, before.new_version.slow);
        slow.unadjusted_bad += slow_now;
        add_to(slow.new_version, {slow_now, grown(fresh.timed, before.new_version.timed)});
        add_to(slow.old_version, {grown(old.slow, before.old_version.slow),
                                  grown(old.timed, before.old_version.timed)});
    }
    this->last = sums;
}

auto version_judge::observe(const host_counts& sums, time_point now) -> std::optional<bad_verdict>
{
    if (now >= this->next_checkpoint_at)
    {
        this->next_checkpoint_at = now + this->restart_interval;
        this->checkpoints.push_back({this->current, ++this->tests});
        if (this->checkpoints.size() > max_tests_at_once)
        {
            // The first test covers the whole time; later ones are replaced by newer ones.
            this->checkpoints.erase(this->checkpoints.begin() + 1);
        }
    }
    this->update_shares(sums, now);
    for (const auto& start : this->checkpoints)
    {
        if (auto verdict = this->judge_since(start))
        {
            return verdict;
        }
    }
    return std::nullopt;
}

auto version_judge::judge_since(const checkpoint& start) const -> std::optional<bad_verdict>
{
    // The rates of all tests, over n (n + 1), sum up to the total.
    const auto rate = total_error_rate / metric_count / scope_count /
                      (static_cast<double>(start.number) * (start.number + 1.0));
    const auto since = [](const metric_shares& end, const metric_shares& begin)
    {
        return metric_shares{difference(end.new_version, begin.new_version),
                             difference(end.old_version, begin.old_version),
                             end.unadjusted_bad - begin.unadjusted_bad};
    };
    for (const auto metric : {judged_metric::bad_responses, judged_metric::slow_responses})
    {
        const auto index = static_cast<std::size_t>(metric);
        metric_shares all;
        metric_shares all_overall;
        for (const auto& [route, shares] : this->current)
        {
            const auto found = start.routes.find(route);
            const auto& overall = shares.metrics[index];
            const auto part =
                since(overall,
                      found == start.routes.end() ? metric_shares{} : found->second.metrics[index]);
            auto verdict = this->judge_metric(metric, part, overall,
                                              rate / static_cast<double>(this->current.size()));
            if (verdict)
            {
                verdict->route = route;
                return verdict;
            }
            // Weighted by the new version's responses, so that a difference in the mix of routes is
            // none between the versions.
            const auto weight = part.new_version.all;
            add_to(all.new_version, part.new_version);
            add_to(all.old_version, {weight * part.old_version.value(), weight});
            all.unadjusted_bad += part.unadjusted_bad;
            add_to(all_overall.old_version, overall.old_version);
        }
        // The estimate of the old share is as certain as its own responses make it.
        double old_responses = 0.0;
        for (const auto& [route, shares] : this->current)
        {
            old_responses += shares.metrics[index].old_version.all;
        }
        all.old_version = {all.old_version.value() * old_responses, old_responses};
        if (auto verdict = this->judge_metric(metric, all, all_overall, rate))
        {
            return verdict;
        }
    }
    return std::nullopt;
}

auto version_judge::judge_metric(judged_metric metric, const metric_shares& since_start,
                                 const metric_shares& overall, double error_rate) const
    -> std::optional<bad_verdict>
{
    const auto& fresh = since_start.new_version;
    if (fresh.bad < min_bad_responses)
    {
        return std::nullopt;
    }
    // The higher of both estimates: what both versions suffer now, and what is usual. During the
    // final shift the old version has no responses to compare with.
    const auto& old = since_start.old_version.all >= min_compared_responses &&
                              reference_share(metric, since_start.old_version) >
                                  reference_share(metric, overall.old_version)
                          ? since_start.old_version
                          : overall.old_version;
    const auto crash = metric == judged_metric::bad_responses && this->largest_episode > 0
                           ? static_cast<double>(this->largest_episode - 1)
                           : 0.0;
    const auto certain = since_start.unadjusted_bad - crash;
    const bad_verdict verdict{metric, std::nullopt, fresh, old, 0.0};
    if (certain >= static_cast<double>(certain_bad_responses) &&
        std::max(since_start.old_version.value(), overall.old_version.value()) <
            certain_ratio * since_start.unadjusted_bad / std::max(1.0, fresh.all))
    {
        return verdict;
    }
    const auto evidence = log_evidence(metric, fresh, old);
    if (evidence >= -std::log(error_rate))
    {
        auto with_evidence = verdict;
        with_evidence.log_evidence = evidence;
        return with_evidence;
    }
    return std::nullopt;
}

} // namespace poplardrift::rollout
