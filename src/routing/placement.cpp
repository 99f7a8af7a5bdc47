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
constexpr double used_cold_part = 0.8;
/// Part of the load bound that is used: other hosts' counts are a few hundred ms old.
constexpr double used_load_part = 0.8;
/// The load bound allows this many requests beyond the multiple of the mean.
constexpr double load_allowance = 3.0;
/// An engine with requests under way sends events every few tens of ms.
constexpr duration engine_silence = 400ms;
/// A plain service answers in tens of ms, its slowest answers in about 200.
constexpr duration plain_silence = 600ms;
/// Requests that may probe an upstream after an ejection.
constexpr int probation_width = 1;

/// Prompt tokens that an engine reads in a millisecond (letter 1's engines; a scale for costs).
constexpr double tokens_read_in_ms = 101.0;
/// Cost of each request under way: it lengthens the steps of all others.
constexpr double ms_for_each_in_flight = 1.5;
/// Cost of leaving the zone: a round trip between zones, and bytes that are paid for.
constexpr double ms_for_other_zone = 4.0;
/// Chance that the first choice by hash holds a prompt that no upstream is known to hold: hosts
/// that have just started know nothing yet.
constexpr double first_choice_cached = 0.9;
/// Reading shared parts again takes memory and reading time from all requests of the engine, and
/// its copies push out others': it counts this many times the time that it takes.
constexpr double price_of_reading_again = 4.0;
/// Engines copy what others have read; this is the fixed time of a copy (site files: 2.7 ms).
constexpr double fetch_setup_ms = 2.7;
/// A copy takes links and memory that others use as well.
constexpr double price_of_fetching = 2.0;
/// Fewer tokens are read in less time than a copy is set up.
constexpr std::uint32_t least_fetched_tokens = 300;
/// Advantage of the first choice where several engines hold a prompt, so that hosts converge.
constexpr double ms_for_first_choice = 10.0;
/// Costs of upstreams that something speaks against. They are used before a request is refused,
/// after all others, in this order: a prompt never costs as much, the load bound goes before
/// findings that may be wrong, and trying what cannot be reached only takes time.
constexpr double ms_when_zone_silent = 400.0;
constexpr double ms_when_probation_full = 500.0;
constexpr double ms_when_silent = 1500.0;
constexpr double ms_when_ejected = 2000.0;
constexpr double ms_when_over_bound = 3000.0;
constexpr double ms_when_zone_unreachable = 4000.0;
constexpr double ms_when_unreachable = 5000.0;
/// An upstream that was heard more recently is reached, whatever the hosts of its zone do.
constexpr duration recently_heard = 250ms;
/// Cost of the recent failure share: a failed request waits for its second send.
constexpr double ms_for_all_failing = 300.0;

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
    const auto was_heard = query.now - candidate.state->last_heard <= recently_heard;
    if (was_heard || !candidate.zone_silent)
    {
        return ms_for_other_zone;
    }
    return candidate.zone_unreachable ? ms_when_zone_unreachable : ms_when_zone_silent;
}

auto weigh_load(std::span<const live_upstream> upstreams, const placement_query& query)
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
        load.disturbed = load.disturbed || candidate.zone_silent ||
                         candidate.state->health.is_ejected(query.now);
    }
    load.mean_in_flight = count == 0 ? 0.0 : sum / count;
    return load;
}

auto rendezvous_first(std::span<const live_upstream> upstreams, const placement_query& query)
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
auto shared_tokens_of(const prompt_shape& prompt) -> std::uint32_t
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
    if (!rules.engine || rules.engine->bytes_per_token <= 0.0 || rules.engine->link_megabits <= 0.0)
    {
        return std::nullopt;
    }
    constexpr double bits_a_byte = 8.0;
    constexpr double bits_in_megabit_ms = 1000.0;
    const auto bits = rules.engine->bytes_per_token * bits_a_byte * tokens;
    return fetch_setup_ms + bits / (rules.engine->link_megabits * bits_in_megabit_ms);
}

/// Expected time for the parts of the prompt at one upstream, and whether it should copy them.
auto weigh_prompt(const live_upstream& candidate, const placement_query& query,
                  const std::optional<prompt_holder>& holder, placement_choice& choice) -> double
{
    const auto& prompt = *query.prompt;
    const auto shared = shared_tokens_of(prompt);
    const auto cached = std::min(shared, choice.cached_tokens);
    auto missing = static_cast<double>(shared - cached);
    double ms = 0.0;
    if (holder && holder->tokens >= cached + least_fetched_tokens)
    {
        const auto fetched = holder->tokens - cached;
        if (const auto time = fetch_ms(*query.rules, fetched))
        {
            choice.fetch_from = holder->position;
            missing -= fetched;
            ms += *time * price_of_fetching;
        }
    }
    if (choice.is_first_choice)
    {
        missing *= 1.0 - first_choice_cached;
        ms -= ms_for_first_choice;
    }
    const auto own_part = static_cast<double>(prompt.input_tokens) - static_cast<double>(shared);
    const auto backlog = static_cast<double>(candidate.state->unread_tokens);
    return ms + (std::max(0.0, own_part) + missing * price_of_reading_again + backlog) /
                    tokens_read_in_ms;
}

/// Cost of taking an upstream that the verdict advises against; nothing when it rules it out.
auto cost_of(exclusion verdict, const service_load& load) -> std::optional<double>
{
    switch (verdict)
    {
    case exclusion::none:
        return 0.0;
    case exclusion::unreachable:
        return ms_when_unreachable;
    case exclusion::ejected:
        return ms_when_ejected;
    case exclusion::silent:
        return ms_when_silent;
    case exclusion::probation_full:
        return ms_when_probation_full;
    case exclusion::load_bound:
        return load.disturbed ? std::optional(ms_when_over_bound) : std::nullopt;
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
    context.load = weigh_load(upstreams, query);
    if (query.prompt == nullptr)
    {
        return context;
    }
    context.holder = find_holder(upstreams, query);
    const auto is_held = context.holder && context.holder->may_serve &&
                         context.holder->tokens >= shared_tokens_of(*query.prompt);
    if (!is_held)
    {
        context.first = rendezvous_first(upstreams, query);
    }
    return context;
}

/// The cost of one candidate; nothing when the verdict rules it out.
auto weigh(std::span<const live_upstream> upstreams, std::size_t position,
           const placement_query& query, const placement_context& context, exclusion verdict)
    -> std::optional<placement_choice>
{
    const auto penalty = cost_of(verdict, context.load);
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
    choice.objection = verdict;
    choice.cost_ms = *penalty + ms_for_each_in_flight * in_flight_of(candidate) +
                     ms_for_all_failing * candidate.state->health.failure_share();
    choice.cost_ms += zone_cost(candidate, query);
    if (query.prompt != nullptr)
    {
        choice.cached_tokens = candidate.state->cache.cached_tokens(*query.prompt);
        choice.cost_ms += weigh_prompt(candidate, query, context.holder, choice);
    }
    return choice;
}

} // namespace

auto to_text(exclusion why) -> std::string_view
{
    static constexpr std::array<std::string_view, 13> names = {
        "none",    "other_service",  "leaving", "zone_out",   "lapsed",     "misaddressed", "tried",
        "ejected", "probation_full", "silent",  "cold_limit", "load_bound", "unreachable"};
    return names[static_cast<std::size_t>(why)];
}

auto cold_share(const service_rules& rules, const fleet_bounds& bounds, std::size_t host_count)
    -> double
{
    const auto whole = rules.cold_requests_per_second * bounds.cold_multiplier + bounds.cold_slack;
    return used_cold_part * whole / static_cast<double>(host_count);
}

auto judge(const live_upstream& candidate, const placement_query& query, const service_load& load)
    -> exclusion
{
    auto& state = *candidate.state;
    if (candidate.service != query.service)
    {
        return exclusion::other_service;
    }
    if (candidate.known.entry.leaving)
    {
        return exclusion::leaving;
    }
    if (candidate.zone_out)
    {
        return exclusion::zone_out;
    }
    if (query.now >= candidate.known.usable_until)
    {
        return exclusion::lapsed;
    }
    if (state.misaddressed)
    {
        return exclusion::misaddressed;
    }
    if (is_tried(query, candidate.state.get()))
    {
        return exclusion::tried;
    }
    if (query.rules->cold_requests_per_second > 0.0 && is_cold(candidate, query.now) &&
        static_cast<double>(state.cold_sends.total(query.now)) + 1.0 >
            cold_share(*query.rules, *query.bounds, query.host_count))
    {
        return exclusion::cold_limit;
    }
    const auto bound =
        used_load_part * query.bounds->load_factor * load.mean_in_flight + load_allowance;
    const auto over_bound = in_flight_of(candidate) + 1 > bound;
    if (over_bound && !load.disturbed)
    {
        return exclusion::load_bound;
    }
    if (state.health.is_unreachable(query.now))
    {
        return exclusion::unreachable;
    }
    if (over_bound)
    {
        return exclusion::load_bound;
    }
    if (state.health.is_ejected(query.now))
    {
        return exclusion::ejected;
    }
    if (state.health.is_on_probation() && state.in_flight >= probation_width)
    {
        return exclusion::probation_full;
    }
    if (state.is_silent(query.now, query.prompt != nullptr ? engine_silence : plain_silence))
    {
        return exclusion::silent;
    }
    return exclusion::none;
}

auto choose_upstream(std::span<const live_upstream> upstreams, const placement_query& query,
                     placement_refusal& why_not) -> std::optional<placement_choice>
{
    const auto context = make_context(upstreams, query);
    std::array<int, 13> refusals{};
    std::optional<placement_choice> best;
    int candidates = 0;
    for (std::size_t position = 0; position < upstreams.size(); ++position)
    {
        const auto verdict = judge(upstreams[position], query, context.load);
        const auto choice = weigh(upstreams, position, query, context, verdict);
        if (!choice)
        {
            ++refusals[static_cast<std::size_t>(verdict)];
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
    refusals[static_cast<std::size_t>(exclusion::other_service)] = 0;
    const auto most = std::max_element(refusals.begin(), refusals.end());
    why_not.most_common =
        *most == 0 ? exclusion::other_service : static_cast<exclusion>(most - refusals.begin());
    for (const auto count : refusals)
    {
        why_not.considered += count;
    }
    return std::nullopt;
}

auto explain_placement(std::span<const live_upstream> upstreams, const placement_query& query)
    -> std::vector<candidate_account>
{
    const auto context = make_context(upstreams, query);
    std::vector<candidate_account> accounts;
    for (std::size_t position = 0; position < upstreams.size(); ++position)
    {
        const auto verdict = judge(upstreams[position], query, context.load);
        if (verdict != exclusion::other_service)
        {
            accounts.push_back(
                {position, verdict, weigh(upstreams, position, query, context, verdict)});
        }
    }
    return accounts;
}

} // namespace poplardrift::routing
