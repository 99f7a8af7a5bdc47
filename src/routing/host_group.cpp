#include "routing/host_group.hpp"

#include "poplardrift/base/ids.hpp"

#include <algorithm>

namespace poplardrift::routing
{

auto rendezvous_rank(host_key own, std::span<const host_key> others, std::uint64_t key)
    -> std::size_t
{
    const auto own_score = hash_pair_64(key, own.value());
    const auto precedes = [&](host_key other)
    { return hash_pair_64(key, other.value()) > own_score; };
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), precedes));
}

} // namespace poplardrift::routing
