#include "routing/candidate_sample.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift::routing
{

namespace
{

/// With fewer candidates, choosing among three of them would be choosing among nearly all.
constexpr std::size_t min_candidates_for_three = 8;

/// Maps a draw to the open interval from 0 to 1.
auto to_unit_interval(std::uint64_t draw) -> double
{
    return (static_cast<double>(draw >> 11) + 0.5) * 0x1.0p-53;
}

} // namespace

auto candidate_sample::drawn_list::add(const drawn_candidate& drawn) -> void
{
    auto next = drawn;
    const auto filled = std::min(this->candidates, this->first.size());
    for (std::size_t place = 0; place < filled; ++place)
    {
        if (next.rank < this->first[place].rank)
        {
            std::swap(next, this->first[place]);
        }
    }
    if (filled < this->first.size())
    {
        this->first[filled] = next;
    }
    ++this->candidates;
}

auto candidate_sample::drawn_list::choose() const -> std::optional<std::size_t>
{
    if (this->candidates == 0)
    {
        return std::nullopt;
    }
    const auto drawn = std::min<std::size_t>(
        this->candidates, this->candidates < min_candidates_for_three ? 2 : this->first.size());
    const auto* best = &this->first[0].candidate;
    for (std::size_t place = 1; place < drawn; ++place)
    {
        const auto& other = this->first[place].candidate;
        // A difference of less than one request is noise, and keeps the order of the draw.
        if ((other.in_flight + 1.0) * best->slots <= best->in_flight * other.slots)
        {
            best = &other;
        }
    }
    return best->position;
}

auto candidate_sample::add(const sampled_candidate& candidate) -> void
{
    // The first of exponentially distributed times whose rates are the capacities: a draw in
    // proportion to capacity, without replacement, in one pass.
    const drawn_candidate drawn{candidate,
                                -std::log(to_unit_interval(candidate.draw)) / candidate.capacity};
    this->all.add(drawn);
    if (candidate.in_flight < candidate.slots)
    {
        this->with_room.add(drawn);
    }
}

auto candidate_sample::choose() const -> std::optional<std::size_t>
{
    const auto chosen = this->with_room.choose();
    return chosen ? chosen : this->all.choose();
}

} // namespace poplardrift::routing
