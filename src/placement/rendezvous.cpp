#include "poplardrift/placement/rendezvous.hpp"

#include <cmath>

namespace poplardrift
{

auto rendezvous_score(conversation_id conversation, upstream_id upstream, double weight) -> double
{
    const auto hash = hash_pair_64(conversation.value(), upstream.value());
    // 53 bits and an offset of 0.5 map the hash to the open interval (0, 1).
    const auto uniform = (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
    return -weight / std::log(uniform);
}

} // namespace poplardrift
