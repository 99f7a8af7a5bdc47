#pragma once

#include "poplardrift/base/time.hpp"
#include "routing/prompt.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>

namespace poplardrift::routing
{

/// Estimates which prompt parts one engine has cached, from this host's own requests and the
/// reports of other hosts. Evicts the least recently used parts when the capacity is exceeded. Not
/// thread-safe.
class prompt_cache_model final
{
public:
    /// `capacity_tokens` is the share of the engine's cache, in tokens, that the model may fill.
    explicit prompt_cache_model(std::uint64_t capacity_tokens) : max_tokens(capacity_tokens) {}

    /// Tokens of the longest prefix of the prompt that the engine has presumably cached.
    [[nodiscard]] auto cached_tokens(const prompt_metadata& prompt) const -> std::uint32_t;
    /// Records that the engine has completed the prefill of this prompt.
    auto on_prefilled(const prompt_metadata& prompt) -> void;
    /// Records that the engine has completed the prefill of this part and all parts before it for
    /// another host.
    auto on_prefilled_elsewhere(const prompt_part& part) -> void;
    auto clear() -> void;

private:
    auto touch(const prompt_part& part) -> void;
    auto evict() -> void;

    struct entry
    {
        std::uint64_t chain_hash;
        std::uint32_t tokens;
    };

    std::uint64_t max_tokens;
    std::uint64_t used_tokens = 0;
    std::list<entry> lru_entries; ///< most recently used first
    absl::flat_hash_map<std::uint64_t, std::list<entry>::iterator> by_hash;
};

} // namespace poplardrift::routing
