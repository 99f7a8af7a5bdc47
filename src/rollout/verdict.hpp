#pragma once

#include "poplardrift/base/time.hpp"
#include "rollout/evidence.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>

namespace poplardrift::rollout
{

/// A bad verdict is reached at this many bad responses at the latest, if the old version has less
/// than a third of the share.
constexpr std::uint64_t certain_bad_responses = 50;

/// Bad responses among those judged.
struct response_share
{
    double bad = 0.0;
    double all = 0.0;

    [[nodiscard]] auto value() const -> double { return this->all > 0.0 ? this->bad / all : 0.0; }
};

enum class judged_metric : std::uint8_t
{
    bad_responses,
    slow_responses,
};

[[nodiscard]] constexpr auto to_text(judged_metric metric) -> std::string_view
{
    return metric == judged_metric::bad_responses ? "bad responses" : "slow responses";
}

/// Why a version is bad.
struct bad_verdict
{
    judged_metric metric = judged_metric::bad_responses;
    std::optional<route_key> route; ///< empty: over all routes
    response_share new_version;
    response_share old_version;
    double log_evidence = 0.0; ///< logarithm of the likelihood ratio; 0 for the rule of 50
};

/// Logarithm of a mixture likelihood ratio: how much more likely the new version's responses are if
/// its share of bad ones is clearly higher than the old version's. Exceeds log(1 / a) at any time
/// with probability at most a while the new version is no worse (Ville's inequality).
[[nodiscard]] auto log_evidence(judged_metric metric, const response_share& new_version,
                                const response_share& old_version) -> double;

/// Judges a new version by the merged counters of all hosts. Compares the versions on the same
/// routes over the same time; tests begin anew in the course of a roll-out, because a version may
/// turn bad after many good responses.
class version_judge final
{
public:
    /// `restart_interval` is the time between the starts of tests.
    explicit version_judge(duration restart_interval) : restart_interval(restart_interval) {}

    /// Adds the current sums; their counters must not fall.
    auto observe(const host_counts& sums, time_point now) -> std::optional<bad_verdict>;

private:
    /// Interruptions of one upstream that are taken for one crash.
    struct crash_episode
    {
        std::uint64_t seen = 0;
        time_point began_at{};
        std::uint64_t size = 0;
    };
    struct metric_shares
    {
        response_share new_version;
        response_share old_version;
        double unadjusted_bad = 0.0; ///< of the new version, each crash in full
    };
    /// Shares since the order, by metric.
    struct route_shares
    {
        std::array<metric_shares, 2> metrics;
    };
    using shares_by_route = std::map<route_key, route_shares>;
    struct checkpoint
    {
        shares_by_route routes;
        int number = 0; ///< of the test that begins here; the first is 1
    };

    auto update_shares(const host_counts& sums, time_point now) -> void;
    /// Number of new causes among the new interruptions, for each of them.
    auto causes_per_interruption(const host_counts& sums, time_point now) -> double;
    [[nodiscard]] auto judge_since(const checkpoint& start) const -> std::optional<bad_verdict>;
    [[nodiscard]] auto judge_metric(judged_metric metric, const metric_shares& since_start,
                                    const metric_shares& overall, double error_rate) const
        -> std::optional<bad_verdict>;

    duration restart_interval;
    host_counts last;
    shares_by_route current;
    std::map<std::uint32_t, crash_episode> episodes;
    std::uint64_t largest_episode = 0;
    std::deque<checkpoint> checkpoints;
    time_point next_checkpoint_at{};
    int tests = 0;
};

} // namespace poplardrift::rollout
