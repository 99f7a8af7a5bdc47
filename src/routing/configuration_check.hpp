#pragma once

#include "routing/routing_configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift::routing
{

/// What a finding means for the publication of a configuration.
enum class finding_kind : std::uint8_t
{
    error,         ///< hosts would ignore the configuration or an entry of it
    unreachable,   ///< an entry that no request can match
    contradiction, ///< limits that exclude each other
    difference,    ///< a change from the version in force
};

[[nodiscard]] auto to_text(finding_kind kind) -> std::string_view;

struct configuration_finding
{
    finding_kind kind = finding_kind::error;
    std::string subject; ///< the entry, such as "route r-1"
    std::string text;
};

/// Checks an indexed configuration by itself, before it is published.
[[nodiscard]] auto check_configuration(const routing_configuration& next)
    -> std::vector<configuration_finding>;

/// Lists what `next` would change of the configuration in force. Entries are compared by name.
[[nodiscard]] auto compare_configurations(const routing_configuration& in_force,
                                          const routing_configuration& next)
    -> std::vector<configuration_finding>;

} // namespace poplardrift::routing
