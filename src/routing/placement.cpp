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
constexpr double load_allowance = 2.0;
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
/// Chance that the first choice by hash holds a prompt that no upstream is known to hold: hosts that
/// have just started know nothing yet.
constexpr double first_choice_cached = 0.9;
/// Reading shared parts again takes memory and reading time from all requests of the engine, and its
/// copies push out others': it counts this many times the time that it takes.
constexpr double price_of_reading_again = 4.0;
/// Advantage of the first choice where several engines hold a prompt, so that hosts converge.
constexpr double ms_for_first_choice = 10.0;
/// Cost of an upstream that seems faulty: it is used before a request is refused, after all others.
constexpr double ms_when_ejected = 2000.0;
constexpr double ms_when_silent = 1000.0;
constexpr double ms_when_probation_full = 500.0;
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

auto mean_in_flight_of(std::span<const live_upstream> upstreams, std::size_t service) -> double
{
    double sum = 0.0;
    int count = 0;
    for (const auto& candidate : upstreams)
    {
        if (candidate.service == service && !candidate.known.entry.leaving)
        {
            sum += in_flight_of(candidate);
            ++count;
        }
    }
    return count == 0 ? 0.0 : sum / count;
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
        const auto score = hash_pair_64(query.affinity, candidate.hash);
        if (!first || score > best)
        {
            first = position;
            best = score;
        }
    }
    return first;
}

/// True when an upstream that may be used is known to hold the shared parts of the prompt.
auto is_held_somewhere(std::span<const live_upstream> upstreams, const placement_query& query)
    -> bool
{
    const auto& parts = query.prompt->parts;
    if (parts.size() < 2)
    {
        return false;
    }
    auto shared = 0U;
    for (const auto& part : parts)
    {
        shared += part.tokens;
    }
    shared -= parts.back().tokens;
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [&](const live_upstream& candidate)
                       {
                           return candidate.service == query.service &&
                                  !candidate.known.entry.leaving && !candidate.zone_out &&
                                  !candidate.state->health.is_ejected(query.now) &&
                                  candidate.state->cache.cached_tokens(*query.prompt) >= shared;
                       });
}

auto prompt_cost(const live_upstream& candidate, const placement_query& query, bool is_first,
                 std::uint32_t cached) -> double
{
    const auto& parts = query.prompt->parts;
    const auto own_part = parts.empty() ? 0.0 : static_cast<double>(parts.back().tokens);
    const auto unread = static_cast<double>(query.prompt->input_tokens) - static_cast<double>(cached);
    auto shared_unread = std::max(0.0, unread - own_part);
    if (is_first)
    {
        shared_unread *= 1.0 - first_choice_cached;
    }
    const auto backlog = static_cast<double>(candidate.state->unread_tokens);
    const auto reading = own_part + shared_unread * price_of_reading_again + backlog;
    return reading / tokens_read_in_ms - (is_first ? ms_for_first_choice : 0.0);
}

/// Cost of taking an upstream that the verdict advises against; nothing when it rules it out.
auto cost_of(exclusion verdict) -> std::optional<double>
{
    switch (verdict)
    {
    case exclusion::none:
        return 0.0;
    case exclusion::ejected:
        return ms_when_ejected;
    case exclusion::silent:
        return ms_when_silent;
    case exclusion::probation_full:
        return ms_when_probation_full;
    default:
        return std::nullopt;
    }
}

} // namespace

auto to_text(exclusion why) -> std::string_view
{
    static constexpr std::array<std::string_view, 13> names = {
        "none",     "other_service",  "leaving", "zone_out",   "lapsed",     "misaddressed", "tried",
        "ejected",  "probation_full", "silent",  "cold_limit", "load_bound", "full"};
    return names[static_cast<std::size_t>(why)];
}

auto cold_share(const service_rules& rules, const fleet_bounds& bounds, std::size_t host_count)
    -> double
{
    const auto whole =
        rules.cold_requests_per_second * bounds.cold_multiplier + bounds.cold_slack;
    return used_cold_part * whole / static_cast<double>(host_count);
}

auto judge(const live_upstream& candidate, const placement_query& query, double mean_in_flight)
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
    const auto bound = used_load_part * query.bounds->load_factor * mean_in_flight + load_allowance;
    if (in_flight_of(candidate) + 1 > bound)
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
    const auto mean = mean_in_flight_of(upstreams, query.service);
    const auto first = query.prompt != nullptr && !is_held_somewhere(upstreams, query)
                           ? rendezvous_first(upstreams, query)
                           : std::nullopt;
    std::array<int, 13> refusals{};
    std::optional<placement_choice> best;
    int candidates = 0;
    for (std::size_t position = 0; position < upstreams.size(); ++position)
    {
        const auto& candidate = upstreams[position];
        const auto verdict = judge(candidate, query, mean);
        const auto penalty = cost_of(verdict);
        if (!penalty)
        {
            ++refusals[static_cast<std::size_t>(verdict)];
            continue;
        }
        ++candidates;
        placement_choice choice;
        choice.position = position;
        choice.is_first_choice = first == position;
        choice.cost_ms = *penalty + ms_for_each_in_flight * in_flight_of(candidate) +
                         ms_for_all_failing * candidate.state->health.failure_share();
        if (candidate.known.entry.zone != *query.own_zone)
        {
            choice.cost_ms += ms_for_other_zone;
        }
        if (query.prompt != nullptr)
        {
            choice.cached_tokens = candidate.state->cache.cached_tokens(*query.prompt);
            choice.cost_ms += prompt_cost(candidate, query, choice.is_first_choice, choice.cached_tokens);
        }
        if (!best || choice.cost_ms < best->cost_ms)
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
    why_not.most_common = *most == 0 ? exclusion::other_service
                                     : static_cast<exclusion>(most - refusals.begin());
    for (const auto count : refusals)
    {
        why_not.considered += count;
    }
    return std::nullopt;
}

} // namespace poplardrift::routing
