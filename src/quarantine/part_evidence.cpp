#include "quarantine/part_evidence.hpp"

#include "poplardrift/base/ids.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace poplardrift::quarantine
{

namespace
{

auto is_same(const crash_mark& left, const crash_mark& right) -> bool
{
    return left.upstream == right.upstream && left.request == right.request;
}

/// An order of marks that is the same at all hosts.
auto rank_of(const crash_mark& mark) -> std::uint64_t
{
    return hash_pair_64(mark.upstream.value(), mark.request.value());
}

} // namespace

auto part_evidence::add(crash_mark mark) -> bool
{
    const auto known = std::find_if(this->marks.begin(), this->marks.end(),
                                    [&](const crash_mark& other) { return is_same(mark, other); });
    if (known != this->marks.end())
    {
        if (!mark.is_refuted || known->is_refuted)
        {
            return false;
        }
        this->harmless_until = std::max(this->harmless_until, known->at);
        this->apply_refutation();
        return true;
    }
    if (mark.is_refuted)
    {
        const auto is_news = mark.at > this->harmless_until;
        this->harmless_until = std::max(this->harmless_until, mark.at);
        if (is_news)
        {
            this->marks.push_back(mark);
            this->apply_refutation();
        }
        return is_news;
    }
    if (mark.at <= this->harmless_until)
    {
        // Kept as the newest refuted one, if it is, so that the copy it came from learns of it.
        mark.is_refuted = true;
        this->marks.push_back(mark);
        this->apply_refutation();
        return std::any_of(this->marks.begin(), this->marks.end(),
                           [&](const crash_mark& kept) { return is_same(kept, mark); });
    }
    this->marks.push_back(mark);
    const auto dropped = this->drop_excess();
    return !dropped || !is_same(*dropped, mark);
}

auto part_evidence::drop_excess() -> std::optional<crash_mark>
{
    if (this->count_open_marks() <= max_marks)
    {
        return std::nullopt;
    }
    // The same ones at all hosts, whatever the order in which they came: copies that drop different
    // marks would never agree.
    const auto highest = std::max_element(this->marks.begin(), this->marks.end(),
                                          [](const crash_mark& left, const crash_mark& right)
                                          {
                                              return std::pair(!left.is_refuted, rank_of(left)) <
                                                     std::pair(!right.is_refuted, rank_of(right));
                                          });
    const auto dropped = *highest;
    this->marks.erase(highest);
    return dropped;
}

auto part_evidence::is_open_here(const crash_mark& mark) const -> bool
{
    return std::any_of(this->marks.begin(), this->marks.end(),
                       [&](const crash_mark& own)
                       { return is_same(mark, own) && !own.is_refuted; });
}

auto part_evidence::merge(const part_evidence& other) -> bool
{
    auto changed = false;
    // Refutations first: a level does not outlast the marks that it was decided on.
    for (const auto is_refuted : {true, false})
    {
        for (const auto& mark : other.marks)
        {
            changed = (mark.is_refuted == is_refuted && this->add(mark)) || changed;
        }
    }
    if (other.depth > this->depth)
    {
        this->depth = other.depth;
        changed = true;
    }
    if (other.was_harmless && !this->was_harmless)
    {
        this->was_harmless = true;
        changed = true;
    }
    // The decision stands only on marks that this copy does not know as refuted. It need not hold
    // them: a copy that is full has others.
    const auto stands = other.is_quarantined() &&
                        std::all_of(other.marks.begin(), other.marks.end(),
                                    [&](const crash_mark& mark) {
                                        return mark.is_refuted || this->is_open_here(mark) ||
                                               mark.at > this->harmless_until;
                                    });
    if (stands && other.level > this->level)
    {
        this->level = other.level;
        this->quarantined_until = other.quarantined_until;
        changed = true;
    }
    return changed;
}

auto part_evidence::refute(time_point until) -> bool
{
    const auto had_open_marks = this->open_marks().size();
    const auto changed = !std::exchange(this->was_harmless, true);
    this->harmless_until = std::max(this->harmless_until, until);
    this->apply_refutation();
    return changed || this->open_marks().size() != had_open_marks;
}

auto part_evidence::apply_refutation() -> void
{
    const crash_mark* newest_refuted = nullptr;
    for (auto& mark : this->marks)
    {
        mark.is_refuted = mark.is_refuted || mark.at <= this->harmless_until;
        if (mark.is_refuted && (newest_refuted == nullptr || mark.at > newest_refuted->at))
        {
            newest_refuted = &mark;
        }
    }
    const auto kept = newest_refuted == nullptr ? crash_mark{} : *newest_refuted;
    std::erase_if(this->marks,
                  [&](const crash_mark& mark) { return mark.is_refuted && !is_same(mark, kept); });
    if (!this->has_open_marks())
    {
        this->level = 0;
    }
}

auto part_evidence::has_open_marks() const -> bool
{
    return std::any_of(this->marks.begin(), this->marks.end(),
                       [](const crash_mark& mark) { return !mark.is_refuted; });
}

auto part_evidence::count_open_marks() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(this->marks.begin(), this->marks.end(),
                                                  [](const crash_mark& mark)
                                                  { return !mark.is_refuted; }));
}

auto part_evidence::open_marks() const -> std::vector<crash_mark>
{
    std::vector<crash_mark> open;
    std::copy_if(this->marks.begin(), this->marks.end(), std::back_inserter(open),
                 [](const crash_mark& mark) { return !mark.is_refuted; });
    return open;
}

} // namespace poplardrift::quarantine
