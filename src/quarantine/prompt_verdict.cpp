// When a part counts as the cause of the ends of upstreams.

#include "quarantine/mark_summary.hpp"
#include "quarantine/prompt_quarantine.hpp"

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
using routing::prompt_part_id;

/// Upstreams that must have ended, requests that must have been there, and episodes. A single
/// request may be interrupted at several upstreams by chance, as may several requests at one.
constexpr std::size_t min_upstreams = 3;
constexpr std::size_t min_requests = 2;
constexpr std::size_t min_episodes = 2;
/// A part that has been harmless before may still be the cause, for example after an upgrade of the
/// engines. It takes more, since in this time its other requests refute the marks if it is not.
constexpr duration min_span_of_harmless_part = 1s;
constexpr std::size_t min_marks_of_harmless_part = 5;
/// Highest probability at which the marks count as chance.
constexpr double max_chance = 1e-3;
/// The same for a request as a whole: an error costs one caller, not all that share a part.
constexpr double max_chance_of_request = 0.05;

/// Ends of upstreams from which on a part that was at nearly all of them counts as their cause.
constexpr std::size_t min_common_ends = 5;
/// Share of the ends at which such a part was.
constexpr double min_common_share = 0.8;
/// Of several such parts the deepest is taken among those with these shares of the most ends and of
/// the most interrupted requests.
constexpr double comparable_share_of_ends = 0.9;
constexpr double comparable_share_of_requests = 0.2;
/// A verdict without a comparison, as in an outage of all upstreams, is tested by a trial soon: a
/// part that most requests have is at all ends then without being their cause.
constexpr duration provisional_quarantine = 5s;

} // namespace

auto prompt_quarantine::chance_of_interruption(part_case& without, time_point now) -> double
{
    const auto lost = std::max(0.0, static_cast<double>(this->interrupted.total(now)) -
                                        static_cast<double>(without.interrupted.total(now)));
    const auto begun_well = static_cast<double>(this->begun.total(now));
    // With few samples the chance is taken as high (rule of succession).
    return (lost + 1.0) / (lost + begun_well + 2.0);
}

auto prompt_quarantine::has_deeper_rival(const part_case& suspect) const -> bool
{
    const auto marks = suspect.evidence.open_marks();
    return std::any_of(
        this->cases.begin(), this->cases.end(),
        [&](const auto& item)
        {
            const auto& rival = item.second.evidence;
            if (rival.depth <= suspect.evidence.depth || rival.is_quarantined() ||
                (rival.was_harmless && !suspect.evidence.was_harmless))
            {
                return false;
            }
            const auto common =
                std::count_if(marks.begin(), marks.end(),
                              [&](const crash_mark& mark) { return rival.is_open_here(mark); });
            // Each request has all marks of its own; it is a rival once it could be the cause.
            const auto is_possible =
                !rival.is_on_request() || common >= static_cast<std::ptrdiff_t>(min_upstreams);
            return is_possible && 3 * common >= 2 * static_cast<std::ptrdiff_t>(marks.size());
        });
}

auto prompt_quarantine::judgeable_marks(const part_case& suspect, time_point now) const
    -> std::optional<mark_summary>
{
    const auto& evidence = suspect.evidence;
    if (evidence.marks.size() < min_upstreams)
    {
        return std::nullopt;
    }
    auto marks = evidence.open_marks();
    std::erase_if(marks, [&](const crash_mark& mark)
                  { return this->explained_by_part.contains(mark.upstream); });
    if (evidence.was_harmless)
    {
        std::erase_if(marks, [&](const crash_mark& mark)
                      { return this->explained_by_request.contains(mark.upstream); });
    }
    const auto summary = summarize(marks);
    // An upstream that the registry has not yet shown as restarted may end under a request twice.
    const auto ends = evidence.is_on_request() ? summary.marks : summary.upstreams;
    const auto is_enough = ends >= min_upstreams && summary.requests >= min_requests &&
                           summary.episodes >= min_episodes;
    const auto is_too_soon =
        now - suspect.opened_at < this->settling_time ||
        (evidence.was_harmless &&
         (summary.span < min_span_of_harmless_part || summary.marks < min_marks_of_harmless_part));
    if (!is_enough || is_too_soon)
    {
        return std::nullopt;
    }
    return this->is_explained_by_requests(suspect, marks) ? std::nullopt : std::optional(summary);
}

auto prompt_quarantine::is_beyond_chance(part_case& suspect, time_point now) -> bool
{
    const auto summary = this->judgeable_marks(suspect, now);
    const auto limit = suspect.evidence.is_on_request() ? max_chance_of_request : max_chance;
    return summary &&
           std::pow(this->chance_of_interruption(suspect, now),
                    static_cast<double>(summary->marks)) <= limit &&
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
    const auto found =
        std::find_if(ranked.begin(), ranked.end(),
                     [&](const ranked_case& it)
                     { return this->is_beyond_chance(*std::get<part_case*>(it), now); });
    return found == ranked.end() ? nullptr : std::get<part_case*>(*found);
}

auto prompt_quarantine::count_common_ends(const part_case& suspect, time_point now) const
    -> std::size_t
{
    // A part that has been harmless is at all ends by chance as well, when many requests have it.
    const auto may_be_common = !suspect.evidence.is_on_request() && !suspect.evidence.was_harmless;
    const auto summary = may_be_common ? this->judgeable_marks(suspect, now) : std::nullopt;
    if (!summary)
    {
        return 0;
    }
    std::size_t unexplained = 0;
    std::size_t unexplained_with_part = 0;
    std::size_t with_part = 0;
    const auto& noted = suspect.upstreams;
    this->ends.for_each_since(summary->first_at,
                              [&](upstream_instance upstream)
                              {
                                  const auto is_with_part = std::find(noted.begin(), noted.end(),
                                                                      upstream) != noted.end();
                                  with_part += is_with_part ? 1 : 0;
                                  if (!this->explained_by_part.contains(upstream) &&
                                      !this->explained_by_request.contains(upstream))
                                  {
                                      ++unexplained;
                                      unexplained_with_part += is_with_part ? 1 : 0;
                                  }
                              });
    const auto is_common = with_part >= min_common_ends && unexplained_with_part > 0 &&
                           static_cast<double>(unexplained_with_part) >=
                               min_common_share * static_cast<double>(unexplained);
    return is_common && !this->has_deeper_rival(suspect) ? with_part : 0;
}

auto prompt_quarantine::find_common_to_ends(time_point now) -> part_case*
{
    struct candidate
    {
        part_case* suspect;
        std::size_t ends;
        std::uint64_t requests;
    };
    std::vector<candidate> candidates;
    candidate most{nullptr, 0, 0};
    for (auto& [part, suspect] : this->cases)
    {
        const auto ends_with_part =
            suspect.evidence.is_quarantined() ? 0 : this->count_common_ends(suspect, now);
        if (ends_with_part > 0)
        {
            candidates.push_back({&suspect, ends_with_part, suspect.interrupted.total(now)});
            most.ends = std::max(most.ends, candidates.back().ends);
            most.requests = std::max(most.requests, candidates.back().requests);
        }
    }
    const auto is_comparable = [](auto value, auto highest, double share)
    { return static_cast<double>(value) >= share * static_cast<double>(highest); };
    std::erase_if(candidates,
                  [&](const candidate& it)
                  {
                      return !is_comparable(it.ends, most.ends, comparable_share_of_ends) ||
                             !is_comparable(it.requests, most.requests,
                                            comparable_share_of_requests);
                  });
    const auto rank = [](const candidate& it)
    { return std::pair(it.suspect->evidence.depth, it.suspect->evidence.part); };
    const auto deepest = std::max_element(candidates.begin(), candidates.end(),
                                          [&](const candidate& left, const candidate& right)
                                          { return rank(left) < rank(right); });
    return deepest == candidates.end() ? nullptr : deepest->suspect;
}

auto prompt_quarantine::has_comparison(const part_case& suspect) const -> bool
{
    // Answers that have begun since the first open mark are of prompts without the part: others
    // would have refuted the mark.
    const auto& marks = suspect.evidence.marks;
    return std::any_of(marks.begin(), marks.end(),
                       [&](const crash_mark& mark)
                       { return !mark.is_refuted && mark.begun_before < this->begun_in_all; });
}

auto prompt_quarantine::evaluate(time_point now) -> void
{
    this->collect_explained_ends();
    // One at a time: a part in quarantine explains the marks of those that were with it.
    while (auto* const found = this->find_most_suspect(now))
    {
        this->quarantine(*found,
                         this->has_comparison(*found) ? quarantine_time(found->evidence.level + 1)
                                                      : provisional_quarantine,
                         now);
        this->collect_explained_ends();
    }
    if (auto* const found = this->find_common_to_ends(now))
    {
        this->quarantine(*found, provisional_quarantine, now);
    }
    this->apply_explanations(now);
}

} // namespace poplardrift::quarantine
