#include "quarantine/prompt_quarantine.hpp"

#include "poplardrift/base/ids.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace poplardrift::quarantine
{

namespace
{

using namespace std::chrono_literals;
using routing::prompt_part;
using routing::prompt_part_id;

/// Upstreams that must have ended, and requests that must have been there. A single request may be
/// interrupted at several upstreams by chance, as may several requests at one.
constexpr std::size_t min_upstreams = 3;
constexpr std::size_t min_requests = 2;
constexpr std::size_t min_episodes = 2;
/// Marks are of one episode unless one of these separates them: a rack or zone that loses power
/// ends several upstreams at once.
constexpr duration episode_window = 100ms;
constexpr std::uint64_t min_answers_between_episodes = 3;
/// A part that has been harmless before may still be the cause, for example after an upgrade of the
/// engines. It takes more, since in this time its other requests refute the marks if it is not.
constexpr duration min_span_of_harmless_part = 1s;
constexpr std::size_t min_marks_of_harmless_part = 5;
/// Highest probability at which the marks count as chance.
constexpr double max_chance = 1e-3;
/// Interval over which the usual share of interrupted requests is taken.
constexpr duration chance_window = 10s;

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

auto quarantine_time(int level) -> duration
{
    auto time = first_quarantine;
    for (int passed = 1; passed < level && time < max_quarantine; ++passed)
    {
        time *= 2;
    }
    return std::min<duration>(time, max_quarantine);
}

/// Open marks of a part by what distinguishes them.
struct mark_summary
{
    std::size_t marks = 0;
    std::size_t upstreams = 0;
    std::size_t requests = 0;
    std::size_t episodes = 0;
    duration span{}; ///< between the first and the last mark
};

template <class Value, class Projection>
auto count_distinct(const std::vector<crash_mark>& marks, const Projection& project) -> std::size_t
{
    std::vector<Value> values;
    values.reserve(marks.size());
    for (const auto& mark : marks)
    {
        values.push_back(project(mark));
    }
    std::sort(values.begin(), values.end());
    return static_cast<std::size_t>(std::unique(values.begin(), values.end()) - values.begin());
}

auto summarize(std::vector<crash_mark> marks) -> mark_summary
{
    mark_summary summary;
    if (marks.empty())
    {
        return summary;
    }
    std::sort(marks.begin(), marks.end(),
              [](const auto& left, const auto& right) { return left.at < right.at; });
    summary.marks = marks.size();
    summary.upstreams = count_distinct<upstream_instance>(marks, [](const crash_mark& mark)
                                                          { return mark.upstream; });
    summary.requests =
        count_distinct<request_key>(marks, [](const crash_mark& mark) { return mark.request; });
    summary.span = marks.back().at - marks.front().at;
    const auto* first_of_episode = &marks.front();
    summary.episodes = 1;
    for (const auto& mark : marks)
    {
        if (mark.at - first_of_episode->at > episode_window ||
            mark.begun_before >= first_of_episode->begun_before + min_answers_between_episodes)
        {
            ++summary.episodes;
            first_of_episode = &mark;
        }
    }
    return summary;
}

} // namespace

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
    auto& noted = suspect.upstreams;
    if (noted.size() < max_upstreams_noted &&
        std::find(noted.begin(), noted.end(), upstream) == noted.end())
    {
        noted.push_back(upstream);
    }
}

auto prompt_quarantine::on_interrupted(std::span<const prompt_part> shared_parts,
                                       upstream_instance upstream, request_key request,
                                       time_point now) -> void
{
    this->interrupted.add(now);
    for (std::size_t depth = 0; depth < shared_parts.size(); ++depth)
    {
        auto* const suspect = this->find_or_open(shared_parts[depth].id, now);
        const crash_mark mark{upstream, request, now, false, true, this->begun_in_all};
        if (suspect == nullptr)
        {
            continue;
        }
        note_upstream(*suspect, upstream);
        if (!suspect->evidence.add(mark))
        {
            continue;
        }
        suspect->evidence.depth = std::max(suspect->evidence.depth, depth);
        this->on_changed(*suspect, now);
        if (suspect->evidence.is_quarantined() && now >= suspect->evidence.quarantined_until)
        {
            this->quarantine(*suspect, now); // a trial request was interrupted
        }
    }
    this->evaluate(now);
}

auto prompt_quarantine::on_harmless(std::span<const prompt_part> shared_parts, time_point began_at,
                                    time_point now) -> void
{
    this->begun.add(now);
    ++this->begun_in_all;
    for (const auto& part : shared_parts)
    {
        this->harmless.add(part.id);
        const auto found = this->cases.find(part.id);
        if (found == this->cases.end())
        {
            continue;
        }
        auto& suspect = found->second;
        const auto was_quarantined = suspect.evidence.is_quarantined();
        if (suspect.evidence.refute(began_at))
        {
            this->on_changed(suspect, now);
        }
        if (was_quarantined && !suspect.evidence.is_quarantined())
        {
            this->listener.on_released(suspect.evidence, true);
        }
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
        }
        const auto former_level = known->evidence.is_quarantined() ? known->evidence.level : 0;
        if (!known->evidence.merge(received))
        {
            continue;
        }
        this->on_changed(*known, now);
        const auto level = known->evidence.is_quarantined() ? known->evidence.level : 0;
        if (level > former_level)
        {
            this->listener.on_quarantined(known->evidence, false);
        }
        else if (level < former_level)
        {
            this->listener.on_released(known->evidence, false);
        }
    }
    this->evaluate(now);
}

auto prompt_quarantine::find_refusal(std::span<const prompt_part> shared_parts,
                                     time_point now) const -> std::optional<quarantine_refusal>
{
    for (const auto part : this->quarantined)
    {
        const auto is_in_prompt =
            std::any_of(shared_parts.begin(), shared_parts.end(),
                        [&](const prompt_part& shared) { return shared.id == part; });
        if (is_in_prompt)
        {
            const auto left = this->cases.at(part).evidence.quarantined_until - now;
            return quarantine_refusal{part, std::max<duration>(left, trial_period)};
        }
    }
    return std::nullopt;
}

auto prompt_quarantine::admit(std::span<const prompt_part> shared_parts,
                              const routing::host_group& hosts, time_point now)
    -> std::optional<quarantine_refusal>
{
    const auto refusal = this->find_refusal(shared_parts, now);
    if (!refusal)
    {
        return std::nullopt;
    }
    auto& found = this->cases.find(refusal->part)->second;
    if (now < found.evidence.quarantined_until)
    {
        return refusal;
    }
    const auto period =
        static_cast<std::uint64_t>((now - found.evidence.quarantined_until) / trial_period) + 1;
    const auto order = hash_pair_64(refusal->part.value(), period);
    if (found.last_trial == std::pair(found.evidence.level, period) ||
        routing::rendezvous_rank(hosts.own, hosts.others, order) > 0)
    {
        return refusal;
    }
    found.last_trial = {found.evidence.level, period};
    return std::nullopt;
}

auto prompt_quarantine::is_suspect(std::span<const prompt_part> shared_parts) const -> bool
{
    return std::any_of(shared_parts.begin(), shared_parts.end(),
                       [&](const prompt_part& part)
                       {
                           const auto found = this->cases.find(part.id);
                           if (found == this->cases.end() || found->second.evidence.was_harmless)
                           {
                               return false;
                           }
                           const auto summary = summarize(found->second.evidence.open_marks());
                           return summary.upstreams >= 2 && summary.episodes >= min_episodes;
                       });
}

auto prompt_quarantine::chance_of_interruption(const part_evidence& without, time_point now)
    -> double
{
    const auto own_marks =
        std::count_if(without.marks.begin(), without.marks.end(),
                      [&](const crash_mark& mark)
                      { return mark.is_own && !mark.is_refuted && now - mark.at < chance_window; });
    const auto lost = std::max(0.0, static_cast<double>(this->interrupted.total(now)) -
                                        static_cast<double>(own_marks));
    const auto begun_well = static_cast<double>(this->begun.total(now));
    // With few samples the chance is taken as high (rule of succession).
    return (lost + 1.0) / (lost + begun_well + 2.0);
}

auto prompt_quarantine::is_explained(const part_evidence& evidence,
                                     upstream_instance upstream) const -> bool
{
    return std::any_of(this->quarantined.begin(), this->quarantined.end(),
                       [&](prompt_part_id part)
                       {
                           const auto& noted = this->cases.at(part).upstreams;
                           return part != evidence.part &&
                                  std::find(noted.begin(), noted.end(), upstream) != noted.end();
                       });
}

auto prompt_quarantine::has_deeper_rival(const part_case& suspect) const -> bool
{
    const auto marks = suspect.evidence.open_marks();
    return std::any_of(this->cases.begin(), this->cases.end(),
                       [&](const auto& item)
                       {
                           const auto& rival = item.second.evidence;
                           if (rival.depth <= suspect.evidence.depth ||
                               rival.was_harmless != suspect.evidence.was_harmless ||
                               rival.is_quarantined())
                           {
                               return false;
                           }
                           const auto common = std::count_if(marks.begin(), marks.end(),
                                                             [&](const crash_mark& mark)
                                                             { return rival.is_open_here(mark); });
                           return 3 * common >= 2 * static_cast<std::ptrdiff_t>(marks.size());
                       });
}

auto prompt_quarantine::is_beyond_chance(const part_case& suspect, time_point now) -> bool
{
    if (suspect.evidence.marks.size() < min_upstreams)
    {
        return false;
    }
    auto marks = suspect.evidence.open_marks();
    std::erase_if(marks, [&](const crash_mark& mark)
                  { return this->is_explained(suspect.evidence, mark.upstream); });
    const auto summary = summarize(std::move(marks));
    if (summary.upstreams < min_upstreams || summary.requests < min_requests ||
        summary.episodes < min_episodes)
    {
        return false;
    }
    if (now - suspect.opened_at < this->settling_time)
    {
        return false;
    }
    if (suspect.evidence.was_harmless &&
        (summary.span < min_span_of_harmless_part || summary.marks < min_marks_of_harmless_part))
    {
        return false;
    }
    return std::pow(this->chance_of_interruption(suspect.evidence, now),
                    static_cast<double>(summary.marks)) <= max_chance &&
           !this->has_deeper_rival(suspect);
}

auto prompt_quarantine::find_most_suspect(time_point now) -> part_case*
{
    using ranked_case = std::tuple<bool, std::size_t, std::size_t, prompt_part_id, part_case*>;
    std::vector<ranked_case> ranked;
    for (auto& [part, suspect] : this->cases)
    {
        if (!suspect.evidence.is_quarantined() && suspect.evidence.marks.size() >= min_upstreams)
        {
            ranked.emplace_back(!suspect.evidence.was_harmless, suspect.evidence.count_open_marks(),
                                suspect.evidence.depth, part, &suspect);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    const auto found = std::find_if(ranked.begin(), ranked.end(),
                                    [&](const ranked_case& it)
                                    { return this->is_beyond_chance(*std::get<4>(it), now); });
    return found == ranked.end() ? nullptr : std::get<4>(*found);
}

auto prompt_quarantine::evaluate(time_point now) -> void
{
    // One at a time: a part in quarantine explains the marks of those that were with it.
    while (auto* const found = this->find_most_suspect(now))
    {
        this->quarantine(*found, now);
    }
    this->release_explained(now);
}

auto prompt_quarantine::release_explained(time_point now) -> void
{
    const auto explains = [&](prompt_part_id part, const part_case& suspect)
    {
        const auto& noted = this->cases.at(part).upstreams;
        const auto rank_of = [](const part_case& it)
        { return std::pair(it.upstreams.size(), it.evidence.depth); };
        return part != suspect.evidence.part && rank_of(this->cases.at(part)) > rank_of(suspect) &&
               std::all_of(suspect.evidence.marks.begin(), suspect.evidence.marks.end(),
                           [&](const crash_mark& mark) {
                               return mark.is_refuted || std::find(noted.begin(), noted.end(),
                                                                   mark.upstream) != noted.end();
                           });
    };
    const auto candidates = this->quarantined;
    for (const auto candidate : candidates)
    {
        auto& suspect = this->cases.at(candidate);
        const auto is_explained =
            std::any_of(this->quarantined.begin(), this->quarantined.end(),
                        [&](prompt_part_id part) { return explains(part, suspect); });
        if (is_explained)
        {
            suspect.evidence.refute(now);
            this->on_changed(suspect, now);
            this->listener.on_released(suspect.evidence, true);
        }
    }
}

auto prompt_quarantine::quarantine(part_case& found, time_point now) -> void
{
    ++found.evidence.level;
    found.evidence.quarantined_until = now + quarantine_time(found.evidence.level);
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
        return std::tuple(item->evidence.is_quarantined(), item->evidence.open_marks().size(),
                          item->changed_at);
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
        parts.push_back(this->cases.at(part).evidence);
    }
    return parts;
}

auto prompt_quarantine::forget_old(time_point now) -> void
{
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
