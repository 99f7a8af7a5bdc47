#include "overload/workspace_shares.hpp"

#include <algorithm>

namespace poplardrift::overload
{

namespace
{

using namespace std::chrono_literals;

constexpr duration recent_memory = 4s;
constexpr duration usual_memory = 30s;
constexpr duration service_memory = 10s;
constexpr duration growth_interval = 200ms;
/// Multiple of the usual rate, times the median rise, above which requests are excess.
constexpr double allowed_factor = 2.0;
/// Small rates vary by chance; this many requests in a row are never excess.
constexpr double allowed_burst = 6.0;
/// A workspace without history counts as this part of a mean one.
constexpr double new_workspace_part = 0.5;
/// No workspace is served less than a quarter as often as all; a little more is aimed at.
constexpr double least_service = 0.28;
/// Below this many requests a share says nothing.
constexpr double service_slack = 0.5;
/// Workspaces without requests for a while are forgotten above this number.
constexpr std::size_t max_workspaces = 4096;
constexpr double forgotten_rate = 0.001;

} // namespace

workspace_shares::usage::usage()
    : recent(recent_memory), usual(usual_memory), arrived(service_memory), admitted(service_memory)
{
}

auto workspace_shares::advance_calm_time(bool congested, time_point now) -> void
{
    if (!congested && this->advanced_at != time_point{})
    {
        this->calm_time += std::max<duration>(now - this->advanced_at, 0s);
    }
    this->advanced_at = now;
}

auto workspace_shares::find_growth(time_point now) -> void
{
    if (now - this->growth_at < growth_interval)
    {
        return;
    }
    this->growth_at = now;
    if (this->workspaces.size() > max_workspaces)
    {
        absl::erase_if(this->workspaces, [&](const auto& item)
                       { return item.second.arrived.per_second(now) < forgotten_rate; });
    }
    this->ratios.clear();
    double weight = 0.0;
    for (const auto& [key, use] : this->workspaces)
    {
        const auto usual = use.usual.per_second(this->calm_time);
        if (usual > 0.0)
        {
            this->ratios.emplace_back(use.recent.per_second(now) / usual, usual);
            weight += usual;
        }
    }
    if (this->ratios.empty())
    {
        return;
    }
    this->mean_usual = weight / static_cast<double>(this->ratios.size());
    std::sort(this->ratios.begin(), this->ratios.end());
    double below = 0.0;
    for (const auto& [ratio, usual] : this->ratios)
    {
        below += usual;
        if (below * 2.0 >= weight)
        {
            this->growth = std::max(1.0, ratio);
            return;
        }
    }
}

auto workspace_shares::is_underserved(const usage& use, time_point now) const -> bool
{
    const auto arrived = this->all.arrived.total(now);
    return arrived > 0.0 &&
           use.admitted.total(now) + service_slack <
               least_service * use.arrived.total(now) * this->all.admitted.total(now) / arrived;
}

auto workspace_shares::takes_allowed(usage& use, time_point now) const -> bool
{
    const auto usual =
        std::max(use.usual.per_second(this->calm_time), new_workspace_part * this->mean_usual);
    if (usual <= 0.0)
    {
        return true;
    }
    const auto rate = allowed_factor * this->growth * usual;
    use.allowed = std::min(std::max(allowed_burst, rate),
                           use.allowed + rate * to_seconds(now - use.allowed_at));
    use.allowed_at = now;
    if (use.allowed < 1.0)
    {
        return false;
    }
    use.allowed -= 1.0;
    return true;
}

auto workspace_shares::on_arrival(std::uint64_t workspace, bool congested, time_point now)
    -> workspace_standing
{
    this->advance_calm_time(congested, now);
    this->find_growth(now);
    auto& use = this->workspaces[workspace];
    use.recent.add(now);
    use.arrived.add(now);
    this->all.arrived.add(now);
    if (!congested)
    {
        use.usual.add(this->calm_time);
    }
    if (this->is_underserved(use, now))
    {
        return workspace_standing::underserved;
    }
    return this->takes_allowed(use, now) ? workspace_standing::usual : workspace_standing::excess;
}

auto workspace_shares::on_admitted(std::uint64_t workspace, time_point now) -> void
{
    this->workspaces[workspace].admitted.add(now);
    this->all.admitted.add(now);
}

} // namespace poplardrift::overload
