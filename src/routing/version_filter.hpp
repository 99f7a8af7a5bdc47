#pragma once

#include <cstdint>

namespace poplardrift::routing
{

/// How the version of an upstream's software stands to the orders of roll-outs.
enum class version_standing : std::uint8_t
{
    known = 1,     ///< may be used; the only one while nothing is rolled out
    ordered = 2,   ///< the new version of a roll-out
    canary = 4,    ///< the same, and chosen for canary requests
    unordered = 8, ///< nobody has ordered its use
};

/// The versions that a request may run on.
struct version_filter
{
    std::uint8_t standings = static_cast<std::uint8_t>(version_standing::known);

    [[nodiscard]] auto admits(version_standing standing) const -> bool
    {
        return (this->standings & static_cast<std::uint8_t>(standing)) != 0;
    }
};

constexpr version_filter canary_versions{static_cast<std::uint8_t>(version_standing::canary)};
constexpr version_filter new_versions{static_cast<std::uint8_t>(version_standing::canary) |
                                      static_cast<std::uint8_t>(version_standing::ordered)};

} // namespace poplardrift::routing
