#include "routing/speed_costs.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift::routing
{

namespace
{

using namespace std::chrono_literals;

/// Prefill throughput of an engine where no speed is learnt, in prompt tokens per millisecond.
constexpr double prefill_tokens_per_ms = 101.0;
/// Cost per request in flight where no speed is learnt: each one slows down the decode steps of all
/// others.
constexpr double cost_ms_per_in_flight = 1.5;
/// The other hosts' counts are at least this old: the interval of reports in a small fleet.
constexpr duration min_load_age = 100ms;

/// Requests that are expected at a plain service's upstream now. The other hosts' counts are of
/// some time ago, so their differences from a division by slots are of use only as long as the
/// requests counted then are still running.
auto expected_in_flight(const live_upstream& candidate, const placement_query& query,
                        const service_load& load, double response_ms) -> double
{
    const auto& state = *candidate.state;
    const auto even_share = load.slots == 0 ? 0.0
                                            : load.in_flight_elsewhere * state.speed.slots() /
                                                  static_cast<double>(load.slots);
    const auto age_ms =
        to_seconds(std::max(query.now - state.loads_received_at, min_load_age)) * 1e3;
    // Beyond this multiple of the response time the rest is far below one request.
    constexpr double negligible_after = 8.0;
    const auto rest =
        age_ms > negligible_after * response_ms ? 0.0 : std::exp(-age_ms / response_ms);
    return state.in_flight + even_share + (state.in_flight_elsewhere - even_share) * rest;
}

} // namespace

auto current_speed_of(const live_upstream& candidate, const placement_query& query) -> current_speed
{
    current_speed speed;
    if (query.speed == nullptr)
    {
        return speed;
    }
    const auto& known = candidate.state->speed;
    speed.is_learnt = true;
    speed.slowness = known.slowness(query.now);
    if (query.prompt != nullptr)
    {
        speed.token_ms = known.token_ms(*query.speed, query.now) * speed.slowness;
        return speed;
    }
    speed.response_ms = known.response_ms(*query.speed, query.now) * speed.slowness;
    speed.slots = known.slots();
    return speed;
}

auto prefill_ms(const current_speed& speed, double tokens) -> double
{
    return speed.is_learnt ? tokens * speed.token_ms : tokens / prefill_tokens_per_ms;
}

auto in_flight_cost(const current_speed& speed, const placement_query& query, int in_flight)
    -> double
{
    if (!speed.is_learnt)
    {
        return cost_ms_per_in_flight * in_flight;
    }
    return query.prompt != nullptr ? in_flight_ms_of(speed.token_ms) * in_flight
                                   : speed.response_ms * (in_flight + 1.0) / speed.slots;
}

auto estimate_first_output(const live_upstream& candidate, const placement_query& query,
                           const service_load& load, const placement_choice& choice)
    -> placement_estimate
{
    placement_estimate estimate;
    const auto speed = current_speed_of(candidate, query);
    if (!speed.is_learnt)
    {
        return estimate;
    }
    estimate.slowness = speed.slowness;
    if (query.prompt == nullptr)
    {
        const auto in_flight = expected_in_flight(candidate, query, load, speed.response_ms);
        estimate.turns = std::max(1.0, (in_flight + 1.0) / speed.slots);
        estimate.expected_ms = speed.response_ms * estimate.turns;
        return estimate;
    }
    if (choice.fetch_from)
    {
        return estimate; // the time of a fetch says nothing of the time to read a prompt
    }
    estimate.waiting_tokens = candidate.state->pending_prefill_tokens;
    const auto input = query.prompt->input_tokens;
    const auto own = input - std::min(input, choice.cached_tokens);
    estimate.expected_ms = (static_cast<double>(estimate.waiting_tokens) + own) * speed.token_ms +
                           choice.in_flight * in_flight_ms_of(speed.token_ms);
    return estimate;
}

auto make_sampled_candidate(const live_upstream& candidate, std::size_t position,
                            const placement_query& query, const service_load& load,
                            const current_speed& speed, double extra_ms) -> sampled_candidate
{
    sampled_candidate sampled;
    sampled.position = position;
    sampled.slots = speed.slots;
    sampled.capacity = speed.slots / (speed.response_ms + extra_ms);
    sampled.in_flight = expected_in_flight(candidate, query, load, speed.response_ms);
    sampled.draw = hash_pair_64(query.draw, candidate.key);
    return sampled;
}

} // namespace poplardrift::routing
