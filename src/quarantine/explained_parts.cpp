// What is in quarantine may explain why upstreams ended while another part was there, too.

#include "quarantine/prompt_quarantine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace poplardrift::quarantine
{

using routing::prompt_part_id;

auto prompt_quarantine::collect_explained_ends() -> void
{
    this->explained_by_part.clear();
    this->explained_by_request.clear();
    for (const auto part : this->quarantined)
    {
        const auto& cause = this->cases.at(part);
        if (!is_in_force(cause))
        {
            continue;
        }
        auto& explained =
            cause.evidence.is_on_request() ? this->explained_by_request : this->explained_by_part;
        explained.insert(cause.upstreams.begin(), cause.upstreams.end());
    }
}

auto prompt_quarantine::is_explained_by_requests(const part_case& suspect,
                                                 const std::vector<crash_mark>& marks) const -> bool
{
    if (suspect.evidence.is_on_request())
    {
        // Of requests with the same ends one is held.
        return std::all_of(marks.begin(), marks.end(),
                           [&](const crash_mark& mark)
                           { return this->explained_by_request.contains(mark.upstream); });
    }
    // Requests that end upstreams by a part that others have, too, are followed by a further end
    // that they do not explain. A part that has been harmless is not suspected of that.
    return !suspect.evidence.was_harmless &&
           !this->find_explaining_requests(suspect, marks).empty();
}

auto prompt_quarantine::find_explaining_part(const part_case& suspect) const
    -> std::optional<prompt_part_id>
{
    const auto marks = suspect.evidence.open_marks();
    const auto found =
        std::find_if(this->quarantined.begin(), this->quarantined.end(),
                     [&](prompt_part_id part)
                     {
                         const auto& other = this->cases.at(part);
                         return is_in_force(other) && !other.evidence.is_on_request() &&
                                rank_of(other) > rank_of(suspect) &&
                                std::all_of(marks.begin(), marks.end(),
                                            [&](const crash_mark& mark)
                                            { return has_noted(other, mark.upstream); });
                     });
    return found == this->quarantined.end() ? std::nullopt : std::optional(*found);
}

auto prompt_quarantine::find_explaining_requests(const part_case& suspect,
                                                 const std::vector<crash_mark>& marks) const
    -> std::vector<prompt_part_id>
{
    std::vector<prompt_part_id> independent;
    absl::flat_hash_set<upstream_instance> explained;
    for (const auto part : this->quarantined)
    {
        const auto& request = this->cases.at(part);
        if (!request.evidence.is_on_request())
        {
            continue;
        }
        const auto was_at = [&](const crash_mark& mark)
        { return has_noted(request, mark.upstream); };
        // Of a request with the part and the part itself, with the same ends, either may be the
        // cause. Refusing the request costs one caller.
        const auto has_part =
            std::any_of(marks.begin(), marks.end(),
                        [&](const crash_mark& mark) { return mark.request == key_of(part); });
        if (has_part && std::all_of(marks.begin(), marks.end(), was_at))
        {
            return {part};
        }
        // The part explains the ends of a request that was beside it each time, not the reverse.
        const auto is_independent =
            std::any_of(request.upstreams.begin(), request.upstreams.end(),
                        [&](upstream_instance upstream) { return !has_noted(suspect, upstream); });
        if (is_independent && std::any_of(marks.begin(), marks.end(), was_at))
        {
            independent.push_back(part);
            explained.insert(request.upstreams.begin(), request.upstreams.end());
        }
    }
    const auto is_explained =
        std::all_of(marks.begin(), marks.end(),
                    [&](const crash_mark& mark) { return explained.contains(mark.upstream); });
    return is_explained ? independent : std::vector<prompt_part_id>{};
}

auto prompt_quarantine::find_explanation(const part_case& suspect) const
    -> std::optional<part_release>
{
    if (const auto part = this->find_explaining_part(suspect))
    {
        return part_release{release_reason::other_part, {*part}, suspect.evidence.open_marks()};
    }
    auto requests = this->find_explaining_requests(suspect, suspect.evidence.open_marks());
    if (requests.empty())
    {
        return std::nullopt;
    }
    return part_release{release_reason::requests, std::move(requests),
                        suspect.evidence.open_marks()};
}

auto prompt_quarantine::resume_quarantine(part_case& suspect, time_point now) -> void
{
    suspect.is_explained = false;
    if (now >= suspect.evidence.quarantined_until)
    {
        this->quarantine(suspect, quarantine_time(suspect.evidence.level + 1), now);
        return;
    }
    this->listener.on_quarantined(suspect.evidence, true);
}

auto prompt_quarantine::apply_explanations(time_point now) -> void
{
    // A request stays: refusing it costs one caller, and the part may be the wrong one.
    std::vector<prompt_part_id> parts;
    std::copy_if(this->quarantined.begin(), this->quarantined.end(), std::back_inserter(parts),
                 [&](prompt_part_id part)
                 { return !this->cases.at(part).evidence.is_on_request(); });
    // A part explains those of lower rank only.
    std::sort(parts.begin(), parts.end(),
              [&](prompt_part_id left, prompt_part_id right)
              { return rank_of(this->cases.at(left)) > rank_of(this->cases.at(right)); });
    for (const auto part : parts)
    {
        auto& suspect = this->cases.at(part);
        const auto release = this->find_explanation(suspect);
        if (release && !suspect.is_explained)
        {
            suspect.is_explained = true;
            this->listener.on_released(suspect.evidence, *release);
        }
        else if (!release && suspect.is_explained)
        {
            this->resume_quarantine(suspect, now);
        }
    }
}

} // namespace poplardrift::quarantine
