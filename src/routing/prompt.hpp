#pragma once

#include <cstdint>
#include <vector>

namespace poplardrift::routing
{

/// One part of a prompt. Its hash covers all preceding parts, because an engine can reuse a cached
/// part only if it also has every part before it.
struct prompt_part
{
    std::uint64_t chain_hash = 0; ///< hash of this part and all preceding parts
    std::uint32_t tokens = 0;
};

/// Prompt lengths and prefix hashes that a request carries in its headers.
struct prompt_metadata
{
    std::vector<prompt_part>
        parts; ///< in prompt order; only the last is specific to the request or session
    std::uint32_t input_tokens = 0;
};

} // namespace poplardrift::routing
