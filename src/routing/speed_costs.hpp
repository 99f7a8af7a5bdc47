#pragma once

#include "routing/candidate_sample.hpp"
#include "routing/placement.hpp"

namespace poplardrift::routing
{

/// Times of one upstream at the moment of a placement, with its slowness. Only those that the query
/// needs.
struct current_speed
{
    bool is_learnt = false; ///< the other members have no meaning otherwise
    double slowness = 1.0;
    double token_ms = 0.0;    ///< per prompt token
    double response_ms = 0.0; ///< of a plain response
    int slots = 1;
};

[[nodiscard]] auto current_speed_of(const live_upstream& candidate, const placement_query& query)
    -> current_speed;

/// Time in which an upstream reads prompt tokens.
[[nodiscard]] auto prefill_ms(const current_speed& speed, double tokens) -> double;
/// Cost of the requests in flight: the delay that they cause to another one. Where speeds are
/// learnt, the time in which an upstream of a plain service completes them and one more.
[[nodiscard]] auto in_flight_cost(const current_speed& speed, const placement_query& query,
                                  int in_flight) -> double;
/// Estimates the time to the first output for a choice whose other members are filled.
[[nodiscard]] auto estimate_first_output(const live_upstream& candidate,
                                         const placement_query& query, const service_load& load,
                                         const placement_choice& choice) -> placement_estimate;
/// An upstream of a plain service for the draw. `extra_ms` is what a request that goes there costs
/// beside its response time, on average.
[[nodiscard]] auto make_sampled_candidate(const live_upstream& candidate, std::size_t position,
                                          const placement_query& query, const service_load& load,
                                          const current_speed& speed, double extra_ms)
    -> sampled_candidate;

} // namespace poplardrift::routing
