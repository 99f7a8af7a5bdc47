#pragma once

#include <cstdint>
#include <vector>

namespace poplardrift::routing
{

/// One part of a prompt. Parts before it belong to its identity: an engine can use a cached part
/// only if it has all that come before.
struct prompt_part
{
    std::uint64_t chain_hash = 0; ///< of this part and all before it
    std::uint32_t tokens = 0;
};

/// What a request says of its prompt.
struct prompt_metadata
{
    std::vector<prompt_part> parts; ///< in order; the last belongs to the request or its session
    std::uint32_t input_tokens = 0;
};

} // namespace poplardrift::routing
