#pragma once

#include "poplardrift/base/strong_type.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace poplardrift::routing
{

/// Identifies a host in rendezvous hashing: its IPv4 address as a number. A host keeps it when its
/// process restarts.
using host_key = strong_type<struct host_key_tag, std::uint32_t>;

/// The hosts among which a limit on their sum is divided: all that may be sending requests,
/// including silent ones that may only be partitioned from this host.
struct host_group
{
    host_key own;
    std::vector<host_key> others; ///< sorted
    /// This host has been running long enough for all others to count it.
    bool is_settled = true;
    /// Number of hosts to divide by; larger than the group while its members are not known yet.
    std::size_t count = 1;

    auto operator==(const host_group&) const -> bool = default;
};

/// Number of the other hosts that precede `own` in the rendezvous order of `key`. Hosts that know
/// the same hosts agree on the order without communication. Linear in the number of hosts.
[[nodiscard]] auto rendezvous_rank(host_key own, std::span<const host_key> others,
                                   std::uint64_t key) -> std::size_t;

} // namespace poplardrift::routing
