#include "routing/host_group.hpp"

#include "poplardrift/base/ids.hpp"

#include <algorithm>

namespace poplardrift::routing
{

auto rendezvous_rank(const host_group& hosts, std::uint64_t key) -> std::size_t
{
    const auto own_score = hash_pair_64(key, hosts.own.value());
    const auto precedes = [&](host_key other)
    { return hash_pair_64(key, other.value()) > own_score; };
    return static_cast<std::size_t>(
        std::count_if(hosts.others.begin(), hosts.others.end(), precedes));
}

} // namespace poplardrift::routing
