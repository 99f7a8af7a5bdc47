#include "rollout/canary_choice.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace poplardrift::rollout
{

auto choose_canaries(std::span<const canary_candidate> candidates, order_position order,
                     std::size_t old_upstreams, double share) -> std::vector<std::uint32_t>
{
    if (candidates.empty())
    {
        return {};
    }
    const auto loads = share / (1.0 - share) * static_cast<double>(old_upstreams);
    const auto count =
        std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(loads)), 1, candidates.size());
    std::vector<std::tuple<std::uint64_t, std::uint32_t, zone_name>> sorted;
    sorted.reserve(candidates.size());
    for (const auto& candidate : candidates)
    {
        sorted.emplace_back(hash_pair_64(order.value(), candidate.key), candidate.key,
                            candidate.zone);
    }
    std::sort(sorted.begin(), sorted.end());
    std::map<zone_name, std::size_t> rank_in_zone;
    std::vector<std::tuple<std::size_t, std::uint64_t, std::uint32_t>> in_turn;
    in_turn.reserve(sorted.size());
    for (const auto& [hash, key, zone] : sorted)
    {
        in_turn.emplace_back(rank_in_zone[zone]++, hash, key);
    }
    std::sort(in_turn.begin(), in_turn.end());
    std::vector<std::uint32_t> chosen;
    chosen.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        chosen.push_back(std::get<2>(in_turn[index]));
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

} // namespace poplardrift::rollout
