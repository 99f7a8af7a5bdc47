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
    std::string what;  ///< the error and the allowed values

    [[nodiscard]] auto text() const -> std::string { return this->where + ": " + this->what; }
};

/// Reads the members of a JSON object into variables and collects all errors, so that a document is
/// validated as a whole. Members that were not read are errors, or are ignored when
/// `refuse_unknown` is false. Not thread-safe; cost is linear in the number of members.
class json_reader final
{
public:
    json_reader(const nlohmann::json& object, std::string where, std::vector<config_error>& errors,
                bool refuse_unknown = true);

    /// Each reads a member if it is present and valid, and leaves the target unchanged otherwise.
    /// Invalid members are errors.
    auto text(std::string_view name, std::string& target) -> json_reader&;
    auto flag(std::string_view name, bool& target) -> json_reader&;
    auto integer(std::string_view name, std::int64_t& target, std::int64_t min_value,
                 std::int64_t max_value) -> json_reader&;
    auto number(std::string_view name, double& target, double min_value, double max_value)
        -> json_reader&;
    auto choice(std::string_view name, std::string& target, const std::vector<std::string>& allowed)
        -> json_reader&;
    auto texts(std::string_view name, std::vector<std::string>& target) -> json_reader&;
    /// Returns the member, or null when absent.
    auto member(std::string_view name) -> const nlohmann::json*;
    /// Adds an error when a member is absent.
    auto require(std::string_view name) -> json_reader&;
    /// Adds an error for each member that was not read. Must be called last.
    auto finish() -> void;

private:
    auto add_error(std::string_view name, std::string what) -> void;

    const nlohmann::json& object;
    std::string where;
    std::vector<config_error>& errors;
    bool refuse_unknown;
    std::set<std::string, std::less<>> known_names;
};

/// Returns the known name with the smallest edit distance to `name`; empty when none is close.
[[nodiscard]] auto nearest_name(std::string_view name,
                                const std::set<std::string, std::less<>>& known_names)
    -> std::string;

} // namespace poplardrift
