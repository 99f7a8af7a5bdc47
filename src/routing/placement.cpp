#include "routing/placement.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace poplardrift::routing
{

namespace
{

using namespace std::chrono_literals;

/// Part of the cold limit that is used: hosts that have just been added are not known at once.
constexpr double cold_limit_margin_factor = 0.8;
/// Part of the load bound that is used: other hosts' counts are a few hundred ms old.
constexpr double load_bound_margin_factor = 0.8;
/// The load bound allows this many requests beyond the multiple of the mean.
constexpr double load_bound_allowance = 3.0;
/// An engine with requests under way sends events every few tens of ms.
constexpr duration engine_silence_timeout = 400ms;
/// A plain service answers in tens of ms, its slowest answers in about 200.
constexpr duration plain_service_silence_timeout = 600ms;
/// Requests that may probe an upstream after an ejection.
constexpr int max_probes_in_flight = 1;

/// Prompt tokens that an engine reads in a millisecond (letter 1's engines; a scale for costs).
constexpr double prefill_tokens_per_ms = 101.0;
/// Cost of each request under way: it lengthens the steps of all others.
constexpr double cost_ms_per_in_flight = 1.5;
/// Cost of leaving the zone: a round trip between zones, and bytes that are paid for.
constexpr double cross_zone_cost_ms = 4.0;
/// Chance that the first choice by hash holds a prompt that no upstream is known to hold: hosts
/// that have just started know nothing yet.
constexpr double first_choice_hit_probability = 0.9;
/// Reading shared parts again takes memory and reading time from all requests of the engine, and
/// its copies push out others': it counts this many times the time that it takes.
constexpr double repeated_prefill_cost_factor = 4.0;
/// Engines copy what others have read; this is the fixed time of a copy (site files: 2.7 ms).
constexpr double fetch_setup_ms = 2.7;
/// A copy takes links and memory that others use as well.
constexpr double fetch_cost_factor = 2.0;
/// Fewer tokens are read in less time than a copy is set up.
constexpr std::uint32_t min_fetched_tokens = 300;
/// Advantage of the first choice where several engines hold a prompt, so that hosts converge.
constexpr double first_choice_discount_ms = 10.0;
/// Costs of upstreams that something speaks against. They are used before a request is refused,
/// after all others, in this order: a prompt never costs as much, the load bound goes before
/// findings that may be wrong, and trying what cannot be reached only takes time.
constexpr double zone_silent_penalty_ms = 400.0;
constexpr double probation_full_penalty_ms = 500.0;
constexpr double silent_penalty_ms = 1500.0;
constexpr double ejected_penalty_ms = 2000.0;
constexpr double load_bound_penalty_ms = 3000.0;
constexpr double zone_unreachable_penalty_ms = 4000.0;
constexpr double unreachable_penalty_ms = 5000.0;
/// An upstream that was heard more recently is reached, whatever the hosts of its zone do.
constexpr duration recent_answer_window = 250ms;
/// Cost of the recent failure share: a failed request waits for its second send.
constexpr double failure_share_cost_ms = 300.0;

auto is_tried(const placement_query& query, const upstream_state* state) -> bool
{
    return std::find(query.tried.begin(), query.tried.end(), state) != query.tried.end();
}

auto is_cold(const live_upstream& candidate, time_point now) -> bool
{
    return now < candidate.known.cold_until || now < candidate.state->suspected_cold_until;
}

auto in_flight_of(const live_upstream& candidate) -> int
{
    return candidate.state->in_flight + candidate.state->in_flight_elsewhere;
}

auto zone_cost(const live_upstream& candidate, const placement_query& query) -> double
{
    if (candidate.known.entry.zone == *query.own_zone)
    {
        return 0.0;
    }
    const auto answered_recently =
        query.now - candidate.state->last_byte_received_at <= recent_answer_window;
    if (answered_recently || !candidate.zone_silent)
    {
        return cross_zone_cost_ms;
    }
    return candidate.zone_unreachable ? zone_unreachable_penalty_ms : zone_silent_penalty_ms;
}

auto compute_service_load(std::span<const live_upstream> upstreams, const placement_query& query)
    -> service_load
{
    service_load load;
    double sum = 0.0;
    int count = 0;
    for (const auto& candidate : upstreams)
    {
        if (candidate.service != query.service || candidate.known.entry.leaving)
        {
            continue;
        }
        sum += in_flight_of(candidate);
        ++count;
        load.is_degraded = load.is_degraded || candidate.zone_silent ||
                           candidate.state->health.is_ejected(query.now);
    }
    load.mean_in_flight = count == 0 ? 0.0 : sum / count;
    return load;
}

auto find_rendezvous_first(std::span<const live_upstream> upstreams, const placement_query& query)
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> first;
    std::uint64_t best = 0;
    for (std::size_t position = 0; position < upstreams.size(); ++position)
    {
        const auto& candidate = upstreams[position];
        if (candidate.service != query.service || candidate.known.entry.leaving ||
            candidate.zone_out || candidate.state->health.is_ejected(query.now))
        {
            continue;
        }
        const auto score = hash_pair_64(query.affinity, candidate.key);
        if (!first || score > best)
        {
            first = position;
            best = score;
        }
    }
    return first;
}

/// Tokens of the prompt that other requests share.
auto shared_tokens_of(const prompt_metadata& prompt) -> std::uint32_t
{
    std::uint32_t tokens = 0;
    for (const auto& part : prompt.parts)
    {
        tokens += part.tokens;
    }
    return prompt.parts.empty() ? 0 : tokens - prompt.parts.back().tokens;
}

/// The upstream that is known to hold most of the shared parts; one that is leaving counts, since
/// it can still be copied from.
struct prompt_holder
{
    std::size_t position = 0;
    std::uint32_t tokens = 0;
    bool may_serve = false; ///< not leaving and not taken out
};

auto find_holder(std::span<const live_upstream> upstreams, const placement_query& query)
    -> std::optional<prompt_holder>
{
    std::optional<prompt_holder> best;
    const auto shared = shared_tokens_of(*query.prompt);
    for (std::size_t position = 0; position < upstreams.size(); ++position)
    {
        const auto& candidate = upstreams[position];
        if (candidate.service != query.service || candidate.state->misaddressed ||
            query.now >= candidate.known.usable_until ||
            candidate.state->health.is_ejected(query.now))
        {
            continue;
        }
        const auto tokens = std::min(shared, candidate.state->cache.cached_tokens(*query.prompt));
        const auto may_serve = !candidate.known.entry.leaving && !candidate.zone_out;
        const auto better = !best || tokens > best->tokens ||
                            (tokens == best->tokens && may_serve && !best->may_serve);
        if (tokens > 0 && better)
        {
            best = prompt_holder{position, tokens, may_serve};
        }
    }
    return best;
}

/// Time for copying tokens from one engine to another; nothing when engines do not do that.
auto fetch_ms(const service_rules& rules, std::uint32_t tokens) -> std::optional<double>
{
    if (!rules.engine || rules.engine->bytes_per_token <= 0.0 ||
        rules.engine->link_megabits_per_second <= 0.0)
    {
        return std::nullopt;
    }
    constexpr double bits_per_byte = 8.0;
    constexpr double bits_per_ms_per_megabit = 1000.0;
    const auto bits = rules.engine->bytes_per_token * bits_per_byte * tokens;
    return fetch_setup_ms +
           bits / (rules.engine->link_megabits_per_second * bits_per_ms_per_megabit);
}

/// Expected time for the parts of the prompt at one upstream, and whether it should copy them.
auto compute_prompt_cost(const live_upstream& candidate, const placement_query& query,
                         const std::optional<prompt_holder>& holder, placement_choice& choice)
    -> double
{
    const auto& prompt = *query.prompt;
    const auto shared = shared_tokens_of(prompt);
    const auto cached = std::min(shared, choice.cached_tokens);
    auto uncached_tokens = static_cast<double>(shared - cached);
    double ms = 0.0;
    if (holder && holder->tokens >= cached + min_fetched_tokens)
    {
        const auto fetched = holder->tokens - cached;
        if (const auto transfer_ms = fetch_ms(*query.rules, fetched))
        {
            choice.fetch_from = holder->position;
            uncached_tokens -= fetched;
            ms += *transfer_ms * fetch_cost_factor;
        }
    }
    if (choice.is_first_choice)
    {
        uncached_tokens *= 1.0 - first_choice_hit_probability;
        ms -= first_choice_discount_ms;
    }
    const auto unshared_tokens =
        static_cast<double>(prompt.input_tokens) - static_cast<double>(shared);
    const auto backlog = static_cast<double>(candidate.state->pending_prefill_tokens);
    return ms + (std::max(0.0, unshared_tokens) + uncached_tokens * repeated_prefill_cost_factor +
                 backlog) /
                    prefill_tokens_per_ms;
}

/// Cost of taking an upstream that the verdict advises against; nothing when it rules it out.
auto exclusion_penalty(exclusion_reason excluded_by, const service_load& load)
    -> std::optional<double>
{
    switch (excluded_by)
    {
    case exclusion_reason::none:
        return 0.0;
    case exclusion_reason::unreachable:
        return unreachable_penalty_ms;
    case exclusion_reason::ejected:
        return ejected_penalty_ms;
    case exclusion_reason::silent:
        return silent_penalty_ms;
    case exclusion_reason::probation_full:
        return probation_full_penalty_ms;
    case exclusion_reason::load_bound:
        return load.is_degraded ? std::optional(load_bound_penalty_ms) : std::nullopt;
    default:
        return std::nullopt;
    }
}

/// What is the same for all candidates of one query.
struct placement_context
{
    service_load load;
    std::optional<prompt_holder> holder;
    std::optional<std::size_t> first; ///< position of the first choice by rendezvous hashing
};

auto make_context(std::span<const live_upstream> upstreams, const placement_query& query)
    -> placement_context
{
    placement_context context;
    context.load = compute_service_load(upstreams, query);
    if (query.prompt == nullptr)
    {
        return context;
    }
    context.holder = find_holder(upstreams, query);
    const auto is_held = context.holder && context.holder->may_serve &&
                         context.holder->tokens >= shared_tokens_of(*query.prompt);
    if (!is_held)
    {
        context.first = find_rendezvous_first(upstreams, query);
    }
    return context;
}

/// The cost of one candidate; nothing when the verdict rules it out.
auto evaluate_candidate(std::span<const live_upstream> upstreams, std::size_t position,
                        const placement_query& query, const placement_context& context,
                        exclusion_reason excluded_by) -> std::optional<placement_choice>
{
    const auto penalty = exclusion_penalty(excluded_by, context.load);
    if (!penalty)
    {
        return std::nullopt;
    }
    const auto& candidate = upstreams[position];
    placement_choice choice;
    choice.position = position;
    choice.is_first_choice = context.first == position;
    choice.in_flight = in_flight_of(candidate);
    choice.mean_in_flight = context.load.mean_in_flight;
    choice.soft_exclusion = excluded_by;
    choice.cost_ms = *penalty + cost_ms_per_in_flight * in_flight_of(candidate) +
                     failure_share_cost_ms * candidate.state->health.failure_share();
    choice.cost_ms += zone_cost(candidate, query);
    if (query.prompt != nullptr)
    {
        choice.cached_tokens = candidate.state->cache.cached_tokens(*query.prompt);
        choice.cost_ms += compute_prompt_cost(candidate, query, context.holder, choice);
    }
    return choice;
}

} // namespace

auto to_text(exclusion_reason why) -> std::string_view
{
    static constexpr std::array<std::string_view, 13> names = {
        "none",    "other_service",  "leaving", "zone_out",   "lapsed",     "misaddressed", "tried",
        "ejected", "probation_full", "silent",  "cold_limit", "load_bound", "unreachable"};
    return names[static_cast<std::size_t>(why)];
}

auto cold_rate_per_host(const service_rules& rules, const fleet_bounds& bounds,
                        std::size_t host_count) -> double
{
    const auto whole = rules.cold_requests_per_second * bounds.cold_multiplier + bounds.cold_slack;
    return cold_limit_margin_factor * whole / static_cast<double>(host_count);
}

auto check_eligibility(const live_upstream& candidate, const placement_query& query,
                       const service_load& load) -> exclusion_reason
{
    auto& state = *candidate.state;
    if (candidate.service != query.service)
    {
        return exclusion_reason::other_service;
    }
    if (candidate.known.entry.leaving)
    {
        return exclusion_reason::leaving;
    }
    if (candidate.zone_out)
    {
        return exclusion_reason::zone_out;
    }
    if (query.now >= candidate.known.usable_until)
    {
        return exclusion_reason::entry_expired;
    }
    if (state.misaddressed)
    {
        return exclusion_reason::misaddressed;
    }
    if (is_tried(query, candidate.state.get()))
    {
        return exclusion_reason::tried;
    }
    if (query.rules->cold_requests_per_second > 0.0 && is_cold(candidate, query.now) &&
        static_cast<double>(state.cold_sends.total(query.now)) + 1.0 >
            cold_rate_per_host(*query.rules, *query.bounds, query.host_count))
    {
        return exclusion_reason::cold_limit;
    }
    const auto bound = load_bound_margin_factor * query.bounds->load_factor * load.mean_in_flight +
                       load_bound_allowance;
    const auto over_bound = in_flight_of(candidate) + 1 > bound;
    if (over_bound && !load.is_degraded)
    {
        return exclusion_reason::load_bound;
    }
    if (state.health.is_unreachable(query.now))
    {
        return exclusion_reason::unreachable;
    }
    if (over_bound)
    {
        return exclusion_reason::load_bound;
    }
    if (state.health.is_ejected(query.now))
    {
        return exclusion_reason::ejected;
    }
    if (state.health.is_on_probation() && state.in_flight >= max_probes_in_flight)
    {
        return exclusion_reason::probation_full;
    }
    if (state.is_silent(query.now, query.prompt != nullptr ? engine_silence_timeout
                                                           : plain_service_silence_timeout))
    {
        return exclusion_reason::silent;
    }
    return exclusion_reason::none;
}

auto choose_upstream(std::span<const live_upstream> upstreams, const placement_query& query,
                     placement_failure& failure) -> std::optional<placement_choice>
{
    const auto context = make_context(upstreams, query);
    std::array<int, 13> refusals{};
    std::optional<placement_choice> best;
    int candidates = 0;
    for (std::size_t position = 0; position < upstreams.size(); ++position)
    {
        const auto excluded_by = check_eligibility(upstreams[position], query, context.load);
        const auto choice = evaluate_candidate(upstreams, position, query, context, excluded_by);
        if (!choice)
        {
            ++refusals[static_cast<std::size_t>(excluded_by)];
            continue;
        }
        ++candidates;
        if (!best || choice->cost_ms < best->cost_ms)
        {
            best = choice;
        }
    }
    if (best)
    {
        best->candidates = candidates;
        return best;
    }
    refusals[static_cast<std::size_t>(exclusion_reason::other_service)] = 0;
    const auto most = std::max_element(refusals.begin(), refusals.end());
    failure.most_common_exclusion = *most == 0
                                        ? exclusion_reason::other_service
                                        : static_cast<exclusion_reason>(most - refusals.begin());
    for (const auto count : refusals)
    {
        failure.considered += count;
    }
    return std::nullopt;
}

auto explain_placement(std::span<const live_upstream> upstreams, const placement_query& query)
    -> std::vector<candidate_evaluation>
{
    const auto context = make_context(upstreams, query);
    std::vector<candidate_evaluation> evaluations;
    for (std::size_t position = 0; position < upstreams.size(); ++position)
    {
        const auto excluded_by = check_eligibility(upstreams[position], query, context.load);
        if (excluded_by != exclusion_reason::other_service)
        {
            evaluations.push_back(
                {position, excluded_by,
                 evaluate_candidate(upstreams, position, query, context, excluded_by)});
        }
    }
    return evaluations;
}

} // namespace poplardrift::routing
