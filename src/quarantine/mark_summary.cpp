#include "quarantine/mark_summary.hpp"

#include <algorithm>

namespace poplardrift::quarantine
{

namespace
{

using namespace std::chrono_literals;

constexpr duration episode_window = 100ms;
constexpr std::uint64_t min_answers_between_episodes = 3;

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

} // namespace

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
    summary.first_at = marks.front().at;
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

} // namespace poplardrift::quarantine
