#pragma once

#include "routing/prompt.hpp"
#include "routing/upstream_state.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplardrift::routing
{

/// Why an upstream may not take a request now.
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
};

[[nodiscard]] auto to_text(exclusion_reason why) -> std::string_view;

/// What the choice of an upstream depends on besides the upstreams.
struct placement_query
{
    std::size_t service = 0;
    const service_rules* rules = nullptr;
    const prompt_metadata* prompt = nullptr;      ///< null for plain services
    std::uint64_t affinity = 0;                   ///< hash that requests with the same prompt share
    std::span<const upstream_state* const> tried; ///< where this request was sent before
    const zone_name* own_zone = nullptr;
    time_point now{};
    const fleet_bounds* bounds = nullptr;
    std::size_t host_count = 1;
};

/// The chosen upstream and what decided.
struct placement_choice
{
    std::size_t position = 0;
    double cost_ms = 0.0;
    int in_flight = 0; ///< at the upstream, of all hosts, before this request
    double mean_in_flight = 0.0;
    exclusion_reason soft_exclusion =
        exclusion_reason::none; ///< what spoke against it and was overruled
    std::uint32_t cached_tokens = 0;
    std::optional<std::size_t>
        fetch_from;               ///< position of an upstream that has read more of the prompt
    bool is_first_choice = false; ///< by rendezvous hashing on the prompt's affinity
    int candidates = 0;
};

/// Why no upstream was chosen.
struct placement_failure
{
    exclusion_reason most_common_exclusion = exclusion_reason::other_service;
    int considered = 0;
};

/// How loaded the upstreams of a service are as a whole.
struct service_load
{
    double mean_in_flight = 0.0;
    /// Upstreams are out, so that the mean says little of what the others may carry.
    bool is_degraded = false;
};

/// May this upstream take one more request? Bounds over all hosts are kept by this host's part.
/// What rules an upstream out comes before what only speaks against it (ejected, probation_full,
/// silent, and load_bound while others are out).
[[nodiscard]] auto check_eligibility(const live_upstream& candidate, const placement_query& query,
                                     const service_load& load) -> exclusion_reason;

/// Chooses the upstream that costs the request least, in milliseconds of expected wait. Walks all
/// upstreams twice and allocates nothing. `failure` says what stood against it when none is found.
[[nodiscard]] auto choose_upstream(std::span<const live_upstream> upstreams,
                                   const placement_query& query, placement_failure& failure)
    -> std::optional<placement_choice>;

/// What the decision sees in one upstream of the service.
struct candidate_evaluation
{
    std::size_t position = 0;
    exclusion_reason excluded_by = exclusion_reason::none;
    std::optional<placement_choice> choice; ///< nothing when the verdict rules it out
};

/// The same weighing as choose_upstream, told for every upstream of the service. For operators; it
/// allocates.
[[nodiscard]] auto explain_placement(std::span<const live_upstream> upstreams,
                                     const placement_query& query)
    -> std::vector<candidate_evaluation>;

/// Requests that this host may send to a cold upstream in one second.
[[nodiscard]] auto cold_rate_per_host(const service_rules& rules, const fleet_bounds& bounds,
                                      std::size_t host_count) -> double;

} // namespace poplardrift::routing
