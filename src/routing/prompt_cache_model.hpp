#pragma once

#include "poplardrift/base/time.hpp"
#include "routing/prompt.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>

namespace poplardrift::routing
{

/// What this host believes one engine keeps of prompts, by its own requests and by what other hosts
/// say of theirs: least recently used parts go first when the engine's memory is full. An estimate.
/// One thread.
class prompt_cache_model final
{
public:
    /// `capacity_tokens` is the part of the engine's memory that this model may fill.
    explicit prompt_cache_model(std::uint64_t capacity_tokens) : max_tokens(capacity_tokens) {}

    /// Tokens at the start of the prompt that the engine need not read again.
    [[nodiscard]] auto cached_tokens(const prompt_metadata& prompt) const -> std::uint32_t;
    /// The engine has read this prompt.
    auto on_prefilled(const prompt_metadata& prompt) -> void;
    /// The engine has read this part, and all before it, for another host.
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
    std::list<entry> lru_entries; ///< most recent first
    absl::flat_hash_map<std::uint64_t, std::list<entry>::iterator> by_hash;
};

} // namespace poplardrift::routing
