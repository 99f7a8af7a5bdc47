#include "rollout/exposure_budget.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace poplardrift::rollout
{

namespace
{

using namespace std::chrono_literals;

/// Uses only part of the bound: hosts that have just started aren't counted yet, and the order
/// reaches hosts later than the service's requests begin to count.
constexpr double budget_margin_factor = 0.85;
/// Part of the budget for canary requests; the final shift takes the rest.
constexpr double usual_canary_part = 0.5;
constexpr double max_canary_part = 0.8;
/// Canary requests of all hosts that the verdict needs, with some to spare.
constexpr double needed_canaries = 70.0;
/// Time by which the order may have reached this host late.
constexpr duration delivery_allowance = 100ms;
/// Time for two attempts to write the state: the store answers in 4 ms, and in 60 times that when
/// it is slow.
constexpr duration min_write_time = 200ms;
constexpr duration max_write_time = 1500ms;

auto exact_limit(const rollout_bounds& bounds, const budget_share& share, std::uint64_t requests)
    -> double
{
    const auto hosts = static_cast<double>(std::max<std::size_t>(1, share.hosts));
    const auto slack = share.has_slack ? bounds.exposure_slack / hosts : 0.0;
    return budget_margin_factor * (bounds.exposure_share * static_cast<double>(requests) + slack);
}

auto round_by_rank(double limit, const budget_share& share) -> std::uint64_t
{
    const auto hosts = static_cast<double>(std::max<std::size_t>(1, share.hosts));
    const auto offset = share.has_slack
                            ? (std::min(static_cast<double>(share.rank), hosts - 1.0) + 0.5) / hosts
                            : 0.0;
    return static_cast<std::uint64_t>(std::floor(limit + offset));
}

auto canary_part(const rollout_bounds& bounds, double expected_requests) -> double
{
    const auto whole =
        budget_margin_factor * (bounds.exposure_share * expected_requests + bounds.exposure_slack);
    return std::clamp(needed_canaries / std::max(1.0, whole), usual_canary_part, max_canary_part);
}

} // namespace

auto exposure_limit(const rollout_bounds& bounds, const budget_share& share, std::uint64_t requests)
    -> std::uint64_t
{
    return round_by_rank(exact_limit(bounds, share, requests), share);
}

auto canary_limit(const rollout_bounds& bounds, const budget_share& share, std::uint64_t requests,
                  double expected_requests) -> std::uint64_t
{
    return round_by_rank(
        canary_part(bounds, expected_requests) * exact_limit(bounds, share, requests), share);
}

auto canary_share(const rollout_bounds& bounds, double expected_requests) -> double
{
    return canary_part(bounds, expected_requests) * budget_margin_factor * bounds.exposure_share;
}

auto plan_shift(const rollout_bounds& bounds, duration length, duration age, std::uint64_t requests,
                double unspent) -> shift_plan
{
    // Each request of the shift spends one and earns the budget's share.
    const auto spent_per_request = 1.0 - budget_margin_factor * bounds.exposure_share;
    const auto usual =
        from_seconds(to_seconds(length) * budget_margin_factor * bounds.exposure_share *
                     (1.0 - usual_canary_part) / spent_per_request);
    const auto rate = age > 0ns ? static_cast<double>(requests) / to_seconds(age) : 0.0;
    const auto affordable = rate * to_seconds(usual) * spent_per_request <= unspent
                                ? usual
                                : from_seconds(std::max(0.0, unspent) / (rate * spent_per_request));
    const auto write_time = std::clamp<duration>(usual / 2, min_write_time, max_write_time);
    shift_plan plan;
    plan.ends_at = length - std::min(delivery_allowance, length / 10);
    plan.completes_at = plan.ends_at - std::min(write_time, plan.ends_at);
    // At the latest when the state is written, or else nothing would be tried at full load.
    plan.begins_at = std::min(plan.ends_at - std::min(affordable, plan.ends_at), plan.completes_at);
    return plan;
}

} // namespace poplardrift::rollout
