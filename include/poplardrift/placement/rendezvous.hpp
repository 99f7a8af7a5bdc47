#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/placement/routing_view.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace poplardrift
{

/// Score of an upstream for a conversation by weighted rendezvous hashing (Thaler and Ravishankar
/// 1998; weights by the logarithmic method). The upstream with the highest score is the
/// first choice; all hosts compute the same one without coordination.
[[nodiscard]] auto rendezvous_score(conversation_id conversation, upstream_id upstream,
                                    double weight) -> double;

/// Returns the index of the upstream with the highest score among those for which `usable` returns
/// true. Linear in the size of the pool; does not allocate. If all weights are equal, compares the
/// raw hashes, which gives the same order as the scores.
template <class Predicate>
[[nodiscard]] auto best_upstream(const pool_view& pool, conversation_id conversation,
                                 const Predicate& usable) -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    std::uint64_t best_hash = 0;
    double best_score = 0.0;
    for (std::size_t index = 0; index < pool.upstreams.size(); ++index)
    {
        const auto& candidate = pool.upstreams[index];
        if (!usable(index, candidate))
        {
            continue;
        }
        if (pool.equal_weights)
        {
            const auto hash = hash_pair_64(conversation.value(), candidate.id.value());
            if (!best || hash > best_hash)
            {
                best = index;
                best_hash = hash;
            }
            continue;
        }
        const auto score = rendezvous_score(conversation, candidate.id, candidate.weight);
        if (!best || score > best_score)
        {
            best = index;
            best_score = score;
        }
    }
    return best;
}

} // namespace poplardrift
