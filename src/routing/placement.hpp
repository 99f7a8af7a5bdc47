#pragma once

#include "routing/prompt.hpp"
#include "routing/upstream_state.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplardrift::routing
{

/// Reason why an upstream may not or should not receive a request.
enum class exclusion_reason : std::uint8_t
{
    none,
    other_service,
    leaving,
    zone_out,
    entry_expired,
    misaddressed,
    tried,
    ejected,
    probation_full,
    silent,
    cold_limit,
    load_bound,
    unreachable,
    paused,
    other_version,
};
/// Number of exclusion reasons.
constexpr std::size_t exclusion_reason_count = 15;

[[nodiscard]] auto to_text(exclusion_reason why) -> std::string_view;

/// Inputs of a placement decision besides the list of upstreams.
struct placement_query
{
    std::size_t service = 0;
    const service_rules* rules = nullptr;
    const prompt_metadata* prompt = nullptr;  ///< null for services without engines
    std::uint64_t affinity = 0;               ///< equal for requests with the same prompt prefix
    std::span<const upstream_state_id> tried; ///< upstreams that the request was already sent to
    const zone_name* own_zone = nullptr;
    time_point now{};
    const fleet_bounds* bounds = nullptr;
    const host_group* hosts = nullptr;
    version_filter versions;
    /// What is learnt of the service's speed. Null where learning is off: costs are constants then,
    /// and each request goes to the upstream with the lowest cost.
    const service_speed* speed = nullptr;
    std::uint64_t draw = 0; ///< pseudo-random, different for each request
};

/// The chosen upstream and the inputs of its cost.
struct placement_choice
{
    std::size_t position = 0;
    double cost_ms = 0.0;
    int in_flight = 0; ///< at the upstream, from all hosts, without this request
    double mean_in_flight = 0.0;
    exclusion_reason soft_exclusion = exclusion_reason::none; ///< reason that only added a penalty
    std::uint32_t cached_tokens = 0;
    std::uint32_t shared_tokens = 0; ///< of the parts that other requests share
    std::optional<std::size_t>
        fetch_from;               ///< position of an upstream that caches more of the prompt
    bool is_first_choice = false; ///< highest rendezvous hash for the affinity
    int candidates = 0;
    placement_estimate estimate; ///< only where speeds are learnt
};

/// Reason why no upstream could be chosen.
struct placement_failure
{
    exclusion_reason most_common_exclusion = exclusion_reason::other_service;
    int considered = 0;
    /// An upstream is excluded only by a limit or state that changes within tens of ms.
    bool may_clear_soon = false;
    /// Earliest end of a pause, if pauses are all that keeps the request from being sent.
    std::optional<time_point> pause_ends_at;
};

/// Load over all upstreams of a service.
struct service_load
{
    double mean_in_flight = 0.0;
    /// Some upstreams are unavailable, so the mean underestimates what the others must carry.
    bool is_degraded = false;
    /// Sums, only where speeds are learnt: requests from other hosts, and slots.
    int in_flight_elsewhere = 0;
    int slots = 0;
};

/// Checks whether the upstream may receive one more request. Applies this host's share of the cold
/// limit. Reasons that exclude the upstream take precedence over those that only add a penalty
/// (unreachable, ejected, probation_full, silent, and load_bound while the service is degraded).
[[nodiscard]] auto check_eligibility(const live_upstream& candidate, const placement_query& query,
                                     const service_load& load) -> exclusion_reason;

/// Chooses the upstream with the lowest cost in milliseconds of expected wait. Where speeds are
/// learnt, plain services choose among a few upstreams drawn at random in proportion to their
/// capacity; see candidate_sample. Linear in the number of upstreams; does not allocate. Fills
/// `failure` if no upstream is eligible.
[[nodiscard]] auto choose_upstream(std::span<const live_upstream> upstreams,
                                   const placement_query& query, placement_failure& failure)
    -> std::optional<placement_choice>;

/// Evaluation of one upstream of the service.
struct candidate_evaluation
{
    std::size_t position = 0;
    exclusion_reason excluded_by = exclusion_reason::none;
    std::optional<placement_choice> choice; ///< empty if the upstream is excluded
};

/// Evaluates every upstream of the service as choose_upstream does, for the operators' explain
/// page. Allocates.
[[nodiscard]] auto explain_placement(std::span<const live_upstream> upstreams,
                                     const placement_query& query)
    -> std::vector<candidate_evaluation>;

} // namespace poplardrift::routing
