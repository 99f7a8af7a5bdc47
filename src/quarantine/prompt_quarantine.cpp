#include "quarantine/prompt_quarantine.hpp"

#include "poplardrift/base/ids.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace poplardrift::quarantine
{

namespace
{

using namespace std::chrono_literals;
using routing::judged_prompt;
using routing::prompt_part_id;

constexpr duration first_quarantine = 60s;
constexpr duration max_quarantine = 3600s;
/// One host sends one trial request in each such period after a quarantine.
constexpr duration trial_period = 10s;

/// Evidence is repeated to other hosts for this long after a change.
constexpr duration share_time = 5s;
constexpr duration open_case_lifetime = 600s;
constexpr duration refuted_case_lifetime = 30s;
constexpr std::size_t max_cases = 512;
constexpr std::size_t cases_dropped_at_once = 64;
constexpr std::size_t max_upstreams_noted = 128;
constexpr std::size_t max_harmless_parts = 4096;

/// Number of the trial period after the quarantine, from 1.
auto trial_number(const part_evidence& evidence, time_point now) -> std::uint64_t
{
    return static_cast<std::uint64_t>((now - evidence.quarantined_until) / trial_period) + 1;
}

} // namespace

auto to_text(release_reason reason) -> std::string_view
{
    switch (reason)
    {
    case release_reason::harmless_answer:
        return "harmless answer";
    case release_reason::other_host:
        return "other host";
    case release_reason::other_part:
        return "other part";
    case release_reason::requests:
        return "requests";
    }
    return "";
}

auto quarantine_time(int level) -> duration
{
    auto time = first_quarantine;
    for (int passed = 1; passed < level && time < max_quarantine; ++passed)
    {
        time *= 2;
    }
    return std::min<duration>(time, max_quarantine);
}

prompt_quarantine::prompt_quarantine(quarantine_listener& listener)
    : listener(listener), harmless(max_harmless_parts), interrupted(chance_window),
      begun(chance_window)
{
}

auto prompt_quarantine::find_or_open(prompt_part_id part, time_point now) -> part_case*
{
    const auto found = this->cases.find(part);
    if (found != this->cases.end())
    {
        return &found->second;
    }
    if (this->cases.size() >= max_cases && !this->drop_least_suspect())
    {
        return nullptr;
    }
    auto& opened = this->cases[part];
    opened.evidence.part = part;
    opened.evidence.was_harmless = this->harmless.contains(part);
    opened.opened_at = now;
    return &opened;
}

auto prompt_quarantine::drop_least_suspect() -> bool
{
    using ranked_part = std::tuple<std::size_t, time_point, prompt_part_id>;
    std::vector<ranked_part> parts;
    parts.reserve(this->cases.size());
    for (const auto& [part, it] : this->cases)
    {
        if (!it.evidence.is_quarantined())
        {
            parts.emplace_back(it.evidence.count_open_marks(), it.changed_at, part);
        }
    }
    // Several at a time: a walk over all cases for each part of an interrupted prompt takes long.
    const auto dropped =
        parts.begin() + static_cast<std::ptrdiff_t>(std::min(parts.size(), cases_dropped_at_once));
    std::nth_element(parts.begin(), dropped, parts.end());
    std::for_each(parts.begin(), dropped,
                  [&](const ranked_part& it) { this->cases.erase(std::get<2>(it)); });
    return dropped != parts.begin();
}

auto prompt_quarantine::on_changed(part_case& changed, time_point now) -> void
{
    changed.changed_at = now;
    changed.was_held = changed.was_held || changed.evidence.is_quarantined();
    changed.is_explained = changed.is_explained && changed.evidence.is_quarantined();
    const auto listed =
        std::find(this->quarantined.begin(), this->quarantined.end(), changed.evidence.part);
    if (changed.evidence.is_quarantined() && listed == this->quarantined.end())
    {
        this->quarantined.push_back(changed.evidence.part);
    }
    else if (!changed.evidence.is_quarantined() && listed != this->quarantined.end())
    {
        this->quarantined.erase(listed);
    }
}

auto prompt_quarantine::note_upstream(part_case& suspect, upstream_instance upstream) -> void
{
    if (suspect.upstreams.size() < max_upstreams_noted && !has_noted(suspect, upstream))
    {
        suspect.upstreams.push_back(upstream);
    }
}

auto prompt_quarantine::has_noted(const part_case& suspect, upstream_instance upstream) -> bool
{
    return std::find(suspect.upstreams.begin(), suspect.upstreams.end(), upstream) !=
           suspect.upstreams.end();
}

auto prompt_quarantine::add_mark(prompt_part_id part, std::size_t depth, const crash_mark& mark)
    -> void
{
    auto* const suspect = this->find_or_open(part, mark.at);
    if (suspect == nullptr)
    {
        return;
    }
    note_upstream(*suspect, mark.upstream);
    suspect->interrupted.add(mark.at);
    auto& evidence = suspect->evidence;
    if (evidence.add(mark))
    {
        evidence.depth = std::max(evidence.depth, depth);
        this->on_changed(*suspect, mark.at);
    }
    if (is_in_force(*suspect) && mark.at >= evidence.quarantined_until)
    {
        // A trial request was interrupted.
        this->quarantine(*suspect, quarantine_time(evidence.level + 1), mark.at);
    }
}

auto prompt_quarantine::on_upstream_ended(upstream_instance upstream, time_point now) -> void
{
    this->ends.add(upstream, now);
}

auto prompt_quarantine::on_interrupted(const judged_prompt& prompt, upstream_instance upstream,
                                       request_key request, time_point now) -> void
{
    this->interrupted.add(now);
    this->ends.add(upstream, now);
    crash_mark mark{upstream, request, now, false, true, this->begun_in_all};
    if (prompt.whole)
    {
        this->add_mark(*prompt.whole, part_evidence::request_depth, mark);
        // For a shared part all attempts of one request are the same request.
        mark.request = key_of(*prompt.whole);
    }
    for (std::size_t depth = 0; depth < prompt.shared.size(); ++depth)
    {
        this->add_mark(prompt.shared[depth].id, depth, mark);
    }
    this->evaluate(now);
}

auto prompt_quarantine::refute(prompt_part_id part, time_point began_at, time_point now) -> bool
{
    const auto found = this->cases.find(part);
    if (found == this->cases.end())
    {
        return false;
    }
    auto& suspect = found->second;
    const auto was_in_force = is_in_force(suspect);
    // Most answers refute nothing: no copy is made for them.
    const auto marks = was_in_force ? suspect.evidence.open_marks() : std::vector<crash_mark>{};
    if (suspect.evidence.refute(began_at))
    {
        suspect.interrupted = routing::sliding_counter(chance_window);
        this->on_changed(suspect, now);
    }
    const auto is_released = was_in_force && !suspect.evidence.is_quarantined();
    if (is_released)
    {
        this->listener.on_released(suspect.evidence, {release_reason::harmless_answer, {}, marks});
    }
    return is_released;
}

auto prompt_quarantine::on_harmless(const judged_prompt& prompt, time_point began_at,
                                    time_point now) -> void
{
    this->begun.add(now);
    ++this->begun_in_all;
    auto has_released = false;
    for (const auto& part : prompt.shared)
    {
        this->harmless.add(part.id);
        has_released = this->refute(part.id, began_at, now) || has_released;
    }
    if (prompt.whole)
    {
        has_released = this->refute(*prompt.whole, began_at, now) || has_released;
    }
    if (has_released)
    {
        this->apply_explanations(now);
    }
}

auto prompt_quarantine::merge(const std::vector<part_evidence>& evidence, time_point now) -> void
{
    for (auto received : evidence)
    {
        auto* const known = this->find_or_open(received.part, now);
        if (known == nullptr)
        {
            continue;
        }
        for (auto& mark : received.marks)
        {
            mark.begun_before = this->begun_in_all;
            note_upstream(*known, mark.upstream);
            if (now - mark.at < chance_window)
            {
                this->ends.add(mark.upstream, mark.at);
            }
        }
        const auto former_level = known->evidence.is_quarantined() ? known->evidence.level : 0;
        const auto was_explained = known->is_explained;
        const auto marks = known->evidence.open_marks();
        if (!known->evidence.merge(received))
        {
            continue;
        }
        this->on_changed(*known, now);
        const auto level = known->evidence.is_quarantined() ? known->evidence.level : 0;
        if (was_explained)
        {
            continue; // reported as released, and its level is of no use until that changes
        }
        if (level > former_level)
        {
            this->listener.on_quarantined(known->evidence, false);
        }
        else if (level < former_level)
        {
            this->listener.on_released(known->evidence, {release_reason::other_host, {}, marks});
        }
    }
    this->evaluate(now);
}

template <class Visitor>
auto prompt_quarantine::for_each_quarantined(const judged_prompt& prompt,
                                             const Visitor& visit) const -> void
{
    if (this->quarantined.empty())
    {
        return;
    }
    const auto visit_if_quarantined = [&](prompt_part_id part)
    {
        const auto found = this->cases.find(part);
        if (found != this->cases.end() && is_in_force(found->second))
        {
            visit(found->second.evidence);
        }
    };
    for (const auto& part : prompt.shared)
    {
        visit_if_quarantined(part.id);
    }
    if (prompt.whole)
    {
        visit_if_quarantined(*prompt.whole);
    }
}

auto prompt_quarantine::find_refusal(const judged_prompt& prompt, time_point now) const
    -> std::optional<quarantine_refusal>
{
    std::optional<quarantine_refusal> longest;
    this->for_each_quarantined(prompt,
                               [&](const part_evidence& evidence)
                               {
                                   const auto left = std::max<duration>(
                                       evidence.quarantined_until - now, trial_period);
                                   if (!longest || left > longest->retry_after)
                                   {
                                       longest = quarantine_refusal{evidence.part, left};
                                   }
                               });
    return longest;
}

auto prompt_quarantine::admit(const judged_prompt& prompt, const routing::host_group& hosts,
                              time_point now) -> std::optional<quarantine_refusal>
{
    const auto refusal = this->find_refusal(prompt, now);
    if (!refusal)
    {
        return std::nullopt;
    }
    auto are_all_due = true;
    this->for_each_quarantined(
        prompt, [&](const part_evidence& evidence)
        { are_all_due = are_all_due && this->is_trial_due(evidence, hosts, now); });
    if (!are_all_due)
    {
        return refusal;
    }
    this->for_each_quarantined(prompt,
                               [&](const part_evidence& evidence) {
                                   this->cases.at(evidence.part).last_trial = {
                                       evidence.level, trial_number(evidence, now)};
                               });
    return std::nullopt;
}

auto prompt_quarantine::is_trial_due(const part_evidence& evidence,
                                     const routing::host_group& hosts, time_point now) const -> bool
{
    if (now < evidence.quarantined_until)
    {
        return false;
    }
    const auto number = trial_number(evidence, now);
    const auto order = hash_pair_64(evidence.part.value(), number);
    return this->cases.at(evidence.part).last_trial != std::pair(evidence.level, number) &&
           routing::rendezvous_rank(hosts.own, hosts.others, order) == 0;
}

auto prompt_quarantine::is_suspect(const judged_prompt& prompt) const -> bool
{
    const auto has_ended_several = [&](prompt_part_id part)
    {
        const auto found = this->cases.find(part);
        if (found == this->cases.end() || found->second.evidence.was_harmless)
        {
            return false;
        }
        const auto& evidence = found->second.evidence;
        const auto summary = summarize(evidence.open_marks());
        const auto ends = evidence.is_on_request() ? summary.marks : summary.upstreams;
        return ends >= 2 && summary.episodes >= 2;
    };
    return std::any_of(prompt.shared.begin(), prompt.shared.end(),
                       [&](const auto& part) { return has_ended_several(part.id); }) ||
           (prompt.whole && has_ended_several(*prompt.whole));
}

auto prompt_quarantine::quarantine(part_case& found, duration time, time_point now) -> void
{
    ++found.evidence.level;
    found.evidence.quarantined_until = now + time;
    this->on_changed(found, now);
    this->listener.on_quarantined(found.evidence, true);
}

auto prompt_quarantine::evidence_to_share(time_point now) const -> shared_evidence
{
    std::vector<const part_case*> recent;
    std::vector<const part_case*> settled;
    shared_evidence shared;
    for (const auto& [part, item] : this->cases)
    {
        shared.changed_at = std::max(shared.changed_at, item.changed_at);
        if (now - item.changed_at < share_time)
        {
            recent.push_back(&item);
        }
        else if (item.evidence.is_quarantined())
        {
            settled.push_back(&item);
        }
    }
    const auto rank = [](const part_case* item)
    {
        const auto marks = item->evidence.count_open_marks();
        // Its caller may repeat the request at another host at any moment.
        const auto is_urgent = item->evidence.is_on_request() && marks > 1;
        const auto is_held = item->evidence.is_quarantined();
        // Hosts that have not heard of a release refuse sound requests.
        const auto is_released = item->was_held && !is_held;
        return std::tuple(is_released, is_held, is_urgent, marks, item->changed_at);
    };
    std::sort(recent.begin(), recent.end(),
              [&](const part_case* left, const part_case* right)
              { return rank(left) > rank(right); });
    shared.recent = recent.size();
    recent.insert(recent.end(), settled.begin(), settled.end());
    for (const auto* const item : recent)
    {
        shared.parts.push_back(item->evidence);
    }
    return shared;
}

auto prompt_quarantine::quarantined_parts() const -> std::vector<part_evidence>
{
    std::vector<part_evidence> parts;
    for (const auto part : this->quarantined)
    {
        const auto& it = this->cases.at(part);
        if (is_in_force(it))
        {
            parts.push_back(it.evidence);
        }
    }
    return parts;
}

auto prompt_quarantine::forget_old(time_point now) -> void
{
    this->ends.forget_before(now - open_case_lifetime);
    absl::erase_if(this->cases,
                   [&](const auto& item)
                   {
                       const auto& known = item.second;
                       const auto lifetime =
                           known.evidence.is_quarantined()   ? max_quarantine + open_case_lifetime
                           : known.evidence.has_open_marks() ? open_case_lifetime
                                                             : refuted_case_lifetime;
                       return now - known.changed_at > lifetime;
                   });
    std::erase_if(this->quarantined,
                  [&](prompt_part_id part) { return !this->cases.contains(part); });
}

} // namespace poplardrift::quarantine
