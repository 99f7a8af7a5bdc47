#pragma once

#include "poplardrift/base/time.hpp"
#include "rollout/rollout_order.hpp"

#include <cstddef>
#include <cstdint>

namespace poplardrift::rollout
{

/// This host among those that share the budget.
struct budget_share
{
    std::size_t hosts = 1; ///< that may be alive
    std::size_t rank = 0;  ///< of this host in the order's rendezvous order
    bool has_slack = true; ///< false for a host that started during the roll-out
};

/// Number of requests that this host may send to the new version in all, after `requests` requests
/// to the service. Fractions are rounded by rank, so that the hosts' sum is close to the exact one
/// even if each host's part is below one request.
[[nodiscard]] auto exposure_limit(const rollout_bounds& bounds, const budget_share& share,
                                  std::uint64_t requests) -> std::uint64_t;

/// The same for canary requests, which leave the rest of the budget to the final shift.
/// `expected_requests` is the number of all hosts by the deadline: with few, canary requests take
/// more of the budget, because the verdict needs a certain number.
[[nodiscard]] auto canary_limit(const rollout_bounds& bounds, const budget_share& share,
                                std::uint64_t requests, double expected_requests) -> std::uint64_t;

/// Share of the requests that canaries take in the long run.
[[nodiscard]] auto canary_share(const rollout_bounds& bounds, double expected_requests) -> double;

/// Times of the final shift, as ages of the order.
struct shift_plan
{
    duration begins_at{};
    duration completes_at{}; ///< when the state is written
    duration ends_at{};      ///< the deadline, with an allowance for the delivery of the order
};

/// Plans the final shift so that requests from its begin to the deadline, as many a second as in
/// `age` so far, fit into the unspent budget.
[[nodiscard]] auto plan_shift(const rollout_bounds& bounds, duration length, duration age,
                              std::uint64_t requests, double unspent) -> shift_plan;

} // namespace poplardrift::rollout
