#include "quarantine/part_evidence.hpp"

#include <algorithm>
#include <iterator>

namespace poplardrift::quarantine
{

namespace
{

auto is_same(const crash_mark& left, const crash_mark& right) -> bool
{
    return left.upstream == right.upstream && left.request == right.request;
}

} // namespace

auto part_evidence::add(const crash_mark& mark) -> bool
{
    const auto known = std::find_if(this->marks.begin(), this->marks.end(),
                                    [&](const crash_mark& other) { return is_same(mark, other); });
    if (known != this->marks.end())
    {
        const auto changes = mark.is_refuted && !known->is_refuted;
        known->is_refuted = known->is_refuted || mark.is_refuted;
        return changes;
    }
    if (this->marks.size() == max_marks)
    {
        auto expendable = std::find_if(this->marks.begin(), this->marks.end(),
                                       [](const crash_mark& other) { return other.is_refuted; });
        if (expendable == this->marks.end())
        {
            if (!mark.is_own)
            {
                return false; // copies that drop different marks would never agree
            }
            expendable = this->marks.begin();
        }
        this->marks.erase(expendable);
    }
    this->marks.push_back(mark);
    return true;
}

auto part_evidence::merge(const part_evidence& other) -> bool
{
    auto changed = false;
    for (const auto& mark : other.marks)
    {
        changed = this->add(mark) || changed;
    }
    if (other.was_harmless && !this->was_harmless)
    {
        this->was_harmless = true;
        changed = true;
    }
    if (other.is_quarantined() && other.level > this->level)
    {
        this->level = other.level;
        this->quarantined_until = other.quarantined_until;
        changed = true;
    }
    if (!this->has_open_marks())
    {
        this->level = 0; // the copy that came did not know of a refutation yet
    }
    return changed;
}

auto part_evidence::refute(time_point began_at) -> bool
{
    auto changed = !this->was_harmless;
    this->was_harmless = true;
    for (auto& mark : this->marks)
    {
        if (!mark.is_refuted && mark.at < began_at)
        {
            mark.is_refuted = true;
            changed = true;
        }
    }
    if (!this->has_open_marks())
    {
        this->level = 0;
    }
    return changed;
}

auto part_evidence::has_open_marks() const -> bool
{
    return std::any_of(this->marks.begin(), this->marks.end(),
                       [](const crash_mark& mark) { return !mark.is_refuted; });
}

auto part_evidence::open_marks() const -> std::vector<crash_mark>
{
    std::vector<crash_mark> open;
    std::copy_if(this->marks.begin(), this->marks.end(), std::back_inserter(open),
                 [](const crash_mark& mark) { return !mark.is_refuted; });
    return open;
}

} // namespace poplardrift::quarantine
