#include "routing/placement.hpp"

#include "routing/cold_allowance.hpp"
#include "routing/speed_costs.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace poplardrift::routing
{

namespace
{

using namespace std::chrono_literals;

/// Uses only part of the load bound: the other hosts' counts are a few hundred ms old.
constexpr double load_bound_margin_factor = 0.8;
/// Requests in flight that the load bound allows in addition to the multiple of the mean.
constexpr double load_bound_allowance = 3.0;
/// An engine with requests in flight sends events every few tens of ms.
constexpr duration engine_silence_timeout = 400ms;
/// A plain service responds in tens of ms; its slowest responses take about 200 ms.
constexpr duration plain_service_silence_timeout = 600ms;
/// Concurrent probe requests to an upstream on probation (half-open) after an ejection.
constexpr int max_probes_in_flight = 1;

/// Cost of another zone: a round trip between zones and billed traffic.
constexpr double cross_zone_cost_ms = 4.0;
/// Assumed probability that the first choice has cached a prompt that no upstream is known to have
/// cached. Accounts for hosts that have just started and have an empty cache model.
constexpr double first_choice_hit_probability = 0.9;
/// Weight of the prefill time for shared parts that the engine has not cached. Their prefill takes
/// memory and compute time from all requests of the engine and evicts other cached prompts.
constexpr double repeated_prefill_cost_factor = 4.0;
/// Fixed time, in ms, for an engine to fetch cached parts from another engine.
constexpr double fetch_setup_ms = 2.7;
/// Weight of the fetch time: a fetch uses links and memory that other requests share.
constexpr double fetch_cost_factor = 2.0;
/// Fewer tokens are not fetched: their prefill takes less time than the setup of a fetch.
constexpr std::uint32_t min_fetched_tokens = 300;
/// Discount for the first choice, so that all hosts converge on the same engine.
constexpr double first_choice_discount_ms = 10.0;
/// Penalties for upstreams that are used only as a last resort before a request is refused. They
/// are meant to exceed the cost of a prompt, so that these upstreams are tried after all others, in
/// the order below. The load bound has a higher penalty than ejection and silence, which may be
/// false positives. Unreachable upstreams are tried last; a failed connection attempt costs only
/// time.
constexpr double zone_silent_penalty_ms = 400.0;
constexpr double probation_full_penalty_ms = 500.0;
constexpr double silent_penalty_ms = 1500.0;
constexpr double ejected_penalty_ms = 2000.0;
constexpr double load_bound_penalty_ms = 3000.0;
constexpr double zone_unreachable_penalty_ms = 4000.0;
constexpr double unreachable_penalty_ms = 5000.0;
/// An upstream that responded within this time counts as reachable even if its zone's hosts are
/// silent.
constexpr duration recent_response_window = 250ms;
/// Cost at a failure share of 1: a failed request has to wait for a second attempt.
constexpr double failure_share_cost_ms = 300.0;

auto is_tried(const placement_query& query, const upstream_state& state) -> bool
{
    return std::find(query.tried.begin(), query.tried.end(), state.id) != query.tried.end();
}

auto is_cold(const live_upstream& candidate, time_point now) -> bool
{
    return now < candidate.known.cold_until || candidate.state->is_restart_suspected(now);
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
    const auto responded_recently =
        query.now - candidate.state->last_byte_received_at <= recent_response_window;
    if (responded_recently || !candidate.zone_silent)
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
        if (candidate.service != query.service || candidate.is_leaving())
        {
            continue;
        }
        sum += in_flight_of(candidate);
        ++count;
        load.is_degraded = load.is_degraded || candidate.zone_silent ||
                           candidate.state->health.is_ejected(query.now);
        if (query.speed != nullptr)
        {
            load.in_flight_elsewhere += candidate.state->in_flight_elsewhere;
            load.slots += candidate.state->speed.slots();
        }
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
        if (candidate.service != query.service || !query.versions.admits(candidate.standing) ||
            candidate.is_leaving() || candidate.zone_out ||
            candidate.state->health.is_ejected(query.now) ||
            candidate.state->notices.is_paused(query.now))
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

/// Tokens of all parts but the last; other requests share these.
auto shared_tokens_of(const prompt_metadata& prompt) -> std::uint32_t
{
    std::uint32_t tokens = 0;
    for (const auto& part : prompt.parts)
    {
        tokens += part.tokens;
    }
    return prompt.parts.empty() ? 0 : tokens - prompt.parts.back().tokens;
}

/// The upstream that is known to cache the most tokens of the shared parts. May be draining, since
/// other engines can still fetch from it.
struct prompt_holder
{
    std::size_t position = 0;
    std::uint32_t tokens = 0;
    bool may_serve = false; ///< neither leaving nor in a zone out of service
};

auto find_holder(std::span<const live_upstream> upstreams, const placement_query& query)
    -> std::optional<prompt_holder>
{
    std::optional<prompt_holder> best;
    const auto shared = shared_tokens_of(*query.prompt);
    for (std::size_t position = 0; position < upstreams.size(); ++position)
    {
        const auto& candidate = upstreams[position];
        if (candidate.service != query.service || !query.versions.admits(candidate.standing) ||
            candidate.state->misaddressed || query.now >= candidate.known.usable_until ||
            candidate.state->health.is_ejected(query.now))
        {
            continue;
        }
        const auto tokens = std::min(shared, candidate.state->cache.cached_tokens(*query.prompt));
        const auto may_serve = !candidate.is_leaving() && !candidate.zone_out;
        const auto better = !best || tokens > best->tokens ||
                            (tokens == best->tokens && may_serve && !best->may_serve);
        if (tokens > 0 && better)
        {
            best = prompt_holder{position, tokens, may_serve};
        }
    }
    return best;
}

/// Time for fetching cached tokens from another engine; empty if the engines do not support it.
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

/// Prompt cost at one upstream in ms. Sets `choice.fetch_from` if the engine should fetch cached
/// parts from the holder.
auto compute_prompt_cost(const live_upstream& candidate, const placement_query& query,
                         const std::optional<prompt_holder>& holder, const current_speed& speed,
                         placement_choice& choice) -> double
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
    return ms + prefill_ms(speed, std::max(0.0, unshared_tokens) +
                                      uncached_tokens * repeated_prefill_cost_factor + backlog);
}

/// Penalty in ms for an exclusion reason; empty if the reason excludes the upstream.
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

/// Values that all candidates of one query share.
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
    const auto is_fully_cached = context.holder && context.holder->may_serve &&
                                 context.holder->tokens >= shared_tokens_of(*query.prompt);
    if (!is_fully_cached)
    {
        context.first = find_rendezvous_first(upstreams, query);
    }
    return context;
}

/// Evaluates the cost of one candidate; empty if it is excluded.
auto evaluate_candidate(std::span<const live_upstream> upstreams, std::size_t position,
                        const placement_query& query, const placement_context& context,
                        exclusion_reason excluded_by, const current_speed& speed)
    -> std::optional<placement_choice>
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
    choice.cost_ms = *penalty + in_flight_cost(speed, query, choice.in_flight) +
                     failure_share_cost_ms * candidate.state->health.failure_share();
    choice.cost_ms += zone_cost(candidate, query);
    if (query.prompt != nullptr)
    {
        choice.cached_tokens = candidate.state->cache.cached_tokens(*query.prompt);
        choice.shared_tokens = shared_tokens_of(*query.prompt);
        choice.cost_ms += compute_prompt_cost(candidate, query, context.holder, speed, choice);
    }
    return choice;
}

} // namespace

auto to_text(exclusion_reason why) -> std::string_view
{
    static constexpr std::array<std::string_view, exclusion_reason_count> names = {
        "none",         "other_service", "leaving",     "zone_out",       "lapsed",
        "misaddressed", "tried",         "ejected",     "probation_full", "silent",
        "cold_limit",   "load_bound",    "unreachable", "paused",         "other_version"};
    return names[static_cast<std::size_t>(why)];
}

auto check_eligibility(const live_upstream& candidate, const placement_query& query,
                       const service_load& load) -> exclusion_reason
{
    auto& state = *candidate.state;
    if (candidate.service != query.service)
    {
        return exclusion_reason::other_service;
    }
    if (!query.versions.admits(candidate.standing))
    {
        return exclusion_reason::other_version;
    }
    if (candidate.is_leaving())
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
    if (state.notices.is_paused(query.now))
    {
        return exclusion_reason::paused;
    }
    if (is_tried(query, *candidate.state))
    {
        return exclusion_reason::tried;
    }
    if (query.rules->cold_requests_per_second > 0.0 && is_cold(candidate, query.now) &&
        static_cast<double>(state.cold_sends.total(query.now)) + 1.0 >
            cold_rate_of_host(*query.rules, *query.bounds, *query.hosts, candidate.key))
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
    if ((state.health.is_on_probation() || state.notices.is_resuming()) &&
        state.in_flight >= max_probes_in_flight)
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
    std::array<int, exclusion_reason_count> exclusion_counts{};
    std::optional<placement_choice> best;
    candidate_sample sample;
    int candidates = 0;
    for (std::size_t position = 0; position < upstreams.size(); ++position)
    {
        const auto excluded_by = check_eligibility(upstreams[position], query, context.load);
        const auto speed = current_speed_of(upstreams[position], query);
        const auto choice =
            evaluate_candidate(upstreams, position, query, context, excluded_by, speed);
        if (!choice)
        {
            ++exclusion_counts[static_cast<std::size_t>(excluded_by)];
            if (excluded_by == exclusion_reason::paused)
            {
                const auto end = upstreams[position].state->notices.get_paused_until();
                failure.pause_ends_at = std::min(failure.pause_ends_at.value_or(end), end);
            }
            continue;
        }
        ++candidates;
        if (query.speed != nullptr && query.prompt == nullptr &&
            excluded_by == exclusion_reason::none)
        {
            const auto extra_ms =
                zone_cost(upstreams[position], query) +
                failure_share_cost_ms * upstreams[position].state->health.failure_share();
            sample.add(make_sampled_candidate(upstreams[position], position, query, context.load,
                                              speed, extra_ms));
        }
        if (!best || choice->cost_ms < best->cost_ms)
        {
            best = choice;
        }
    }
    if (const auto drawn = sample.choose())
    {
        best = evaluate_candidate(upstreams, *drawn, query, context, exclusion_reason::none,
                                  current_speed_of(upstreams[*drawn], query));
    }
    if (best)
    {
        best->candidates = candidates;
        best->estimate =
            estimate_first_output(upstreams[best->position], query, context.load, *best);
        return best;
    }
    exclusion_counts[static_cast<std::size_t>(exclusion_reason::other_service)] = 0;
    const auto most = std::max_element(exclusion_counts.begin(), exclusion_counts.end());
    failure.most_common_exclusion =
        *most == 0 ? exclusion_reason::other_service
                   : static_cast<exclusion_reason>(most - exclusion_counts.begin());
    for (const auto count : exclusion_counts)
    {
        failure.considered += count;
    }
    const auto count_of = [&](exclusion_reason reason)
    { return exclusion_counts[static_cast<std::size_t>(reason)]; };
    failure.may_clear_soon =
        count_of(exclusion_reason::cold_limit) + count_of(exclusion_reason::load_bound) > 0;
    if (failure.may_clear_soon || count_of(exclusion_reason::tried) > 0)
    {
        failure.pause_ends_at.reset();
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
                 evaluate_candidate(upstreams, position, query, context, excluded_by,
                                    current_speed_of(upstreams[position], query))});
        }
    }
    return evaluations;
}

} // namespace poplardrift::routing
