#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift
{

/// An error found in a JSON document.
struct config_error
{
    std::string where; ///< path of the invalid member, such as `/assist/upstreams/e1/capacity`
    std::string what;  ///< the error and, where it applies, the allowed values

    [[nodiscard]] auto text() const -> std::string { return this->where + ": " + this->what; }
};

/// Reads the members of one JSON object into plain fields and collects all errors instead of
/// stopping at the first. Members that were never requested are errors, or are ignored when
/// `refuse_unknown` is false. Holds references to the object and the error list.
/// Not thread-safe; cost is linear in the number of members.
class json_reader final
{
public:
    json_reader(const nlohmann::json& object, std::string where, std::vector<config_error>& errors,
                bool refuse_unknown = true);

    /// Each function reads a member if present and valid, and else leaves the target unchanged.
    auto text(std::string_view name, std::string& target) -> json_reader&;
    auto flag(std::string_view name, bool& target) -> json_reader&;
    auto integer(std::string_view name, std::int64_t& target, std::int64_t minimum,
                 std::int64_t maximum) -> json_reader&;
    auto number(std::string_view name, double& target, double minimum, double maximum)
        -> json_reader&;
    auto choice(std::string_view name, std::string& target, const std::vector<std::string>& allowed)
        -> json_reader&;
    auto texts(std::string_view name, std::vector<std::string>& target) -> json_reader&;
    /// The raw member; nullptr when absent.
    auto member(std::string_view name) -> const nlohmann::json*;
    /// Adds an error when a member is absent.
    auto require(std::string_view name) -> json_reader&;
    /// Adds an error for each member that was never requested. Call it last.
    auto finish() -> void;

private:
    auto add_error(std::string_view name, std::string what) -> void;

    const nlohmann::json& object;
    std::string where;
    std::vector<config_error>& errors;
    bool refuse_unknown;
    std::set<std::string, std::less<>> known_names;
};

/// The known name closest to `name` by edit distance; empty when none is close enough.
[[nodiscard]] auto nearest_name(std::string_view name,
                                const std::set<std::string, std::less<>>& known_names)
    -> std::string;

} // namespace poplardrift
