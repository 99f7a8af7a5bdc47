#pragma once

#include "poplardrift/base/ids.hpp"
#include "rollout/rollout_order.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace poplardrift::rollout
{

/// An upstream of the new version.
struct canary_candidate
{
    std::uint32_t key = 0;
    zone_name zone;
};

/// Chooses the upstreams that get canary requests: as few as carry the mean load of one of the
/// `old_upstreams` if they get `share` of the service's requests, so that faults that depend on
/// load show. All hosts choose the same ones. Takes zones in turn.
[[nodiscard]] auto choose_canaries(std::span<const canary_candidate> candidates,
                                   order_position order, std::size_t old_upstreams, double share)
    -> std::vector<std::uint32_t>;

} // namespace poplardrift::rollout
