#include "routing/prompt.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace poplardrift::routing
{

auto to_text(prompt_part_id part) -> std::string
{
    std::array<char, 24> text{};
    const auto length = std::snprintf(text.data(), text.size(), "%" PRIx64, part.value());
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace poplardrift::routing
