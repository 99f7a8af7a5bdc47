#include "rollout/evidence.hpp"

#include <algorithm>

namespace poplardrift::rollout
{

namespace
{

/// Applies `combine(mine, theirs)` to each pair of counters.
template <class Combine>
auto combine_counts(response_counts& mine, const response_counts& theirs, const Combine& combine)
    -> void
{
    combine(mine.finished, theirs.finished);
    combine(mine.failed, theirs.failed);
    combine(mine.interrupted, theirs.interrupted);
    combine(mine.timed, theirs.timed);
    combine(mine.slow, theirs.slow);
}

template <class Combine>
auto combine_counts(route_counts& mine, const route_counts& theirs, const Combine& combine) -> void
{
    combine(mine.requests, theirs.requests);
    combine_counts(mine.old_version, theirs.old_version, combine);
    combine_counts(mine.new_version, theirs.new_version, combine);
}

template <class Combine>
auto combine_counts(host_counts& mine, const host_counts& theirs, const Combine& combine) -> void
{
    for (const auto& [route, counts] : theirs.routes)
    {
        combine_counts(mine.routes[route], counts, combine);
    }
    for (const auto& [upstream, count] : theirs.interrupted_by_upstream)
    {
        combine(mine.interrupted_by_upstream[upstream], count);
    }
    combine(mine.sent_to_new, theirs.sent_to_new);
}

constexpr auto take_larger = [](std::uint64_t& mine, std::uint64_t theirs)
{ mine = std::max(mine, theirs); };
constexpr auto take_sum = [](std::uint64_t& mine, std::uint64_t theirs) { mine += theirs; };

} // namespace

auto host_counts::merge(const host_counts& other) -> void
{
    combine_counts(*this, other, take_larger);
}

auto host_counts::add(const host_counts& other) -> void
{
    combine_counts(*this, other, take_sum);
}

auto host_counts::requests() const -> std::uint64_t
{
    return this->total().requests;
}

auto host_counts::total() const -> route_counts
{
    route_counts sum;
    for (const auto& [route, counts] : this->routes)
    {
        combine_counts(sum, counts, take_sum);
    }
    return sum;
}

auto evidence::merge(host_instance from, const host_counts& counts) -> void
{
    this->others[from].merge(counts);
}

auto evidence::sum() const -> host_counts
{
    auto sum = this->own;
    for (const auto& [from, counts] : this->others)
    {
        sum.add(counts);
    }
    return sum;
}

} // namespace poplardrift::rollout
