#pragma once

#include "poplardrift/base/strong_type.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace poplardrift::routing
{

/// Identifies the content of one prompt part, whatever precedes it.
using prompt_part_id = strong_type<struct prompt_part_id_tag, std::uint64_t>;

/// The identifier as callers write it, in hexadecimal.
[[nodiscard]] auto to_text(prompt_part_id part) -> std::string;

/// One part of a prompt. Its hash covers all preceding parts, because an engine can reuse a cached
/// part only if it also has every part before it.
struct prompt_part
{
    std::uint64_t chain_hash = 0; ///< hash of this part and all preceding parts
    std::uint32_t tokens = 0;
    prompt_part_id id;
};

/// What a prompt is judged by when an upstream has ended under it.
struct judged_prompt
{
    std::span<const prompt_part> shared; ///< parts that other prompts have too, in prompt order
    /// Identifies the whole prompt: the same when its caller repeats the request.
    std::optional<prompt_part_id> whole;
};

/// Most parts by which a prompt is judged. The choice of an upstream takes time in proportion to
/// the parts times the upstreams.
inline constexpr std::size_t max_prompt_parts = 128;

/// Prompt lengths and prefix hashes that a request carries in its headers.
struct prompt_metadata
{
    std::vector<prompt_part> parts; ///< in prompt order, at most max_prompt_parts; only the last is
                                    ///< specific to the request or session
    std::uint32_t input_tokens = 0;

    /// All parts but the last: those that other requests share.
    [[nodiscard]] auto shared_parts() const -> std::span<const prompt_part>
    {
        return std::span(this->parts).first(this->parts.empty() ? 0 : this->parts.size() - 1);
    }
    [[nodiscard]] auto judged() const -> judged_prompt
    {
        return {this->shared_parts(),
                this->parts.empty() ? std::nullopt
                                    : std::optional(prompt_part_id(this->parts.back().chain_hash))};
    }
};

} // namespace poplardrift::routing
