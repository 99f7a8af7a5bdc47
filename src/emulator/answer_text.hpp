#pragma once

#include "poplardrift/base/ids.hpp"

#include <cstdint>
#include <string>

namespace poplardrift::emulator
{

/// Word `number` of the answer to a prompt. Callers compute it, too, to verify answers.
[[nodiscard]] inline auto token_text(std::uint64_t prompt, std::int64_t number) -> std::string
{
    return "w" + std::to_string(hash_pair_64(prompt, static_cast<std::uint64_t>(number)) % 1000) +
           " ";
}

/// Hash of a prompt that grows by one message.
[[nodiscard]] inline auto extend_prompt(std::uint64_t prompt, const std::string& role,
                                        const std::string& content) -> std::uint64_t
{
    return hash_pair_64(prompt, hash_bytes_64(role + content));
}

/// Tokens of a text as the stand-in counts them.
[[nodiscard]] inline auto tokens_of(const std::string& text) -> std::int64_t
{
    constexpr std::int64_t characters_a_token = 4;
    return 1 + static_cast<std::int64_t>(text.size()) / characters_a_token;
}

} // namespace poplardrift::emulator
