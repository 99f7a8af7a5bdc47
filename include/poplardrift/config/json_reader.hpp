#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift
{

/// One fault found in a JSON document.
struct config_error
{
    std::string where; ///< path of the faulty member, such as `/assist/upstreams/e1/capacity`
    std::string what;  ///< what is wrong and what is allowed

    [[nodiscard]] auto text() const -> std::string { return this->where + ": " + this->what; }
};

/// Reads the members of one JSON object into plain fields and collects every fault, so that a
/// document is judged as a whole. Members that nobody asked for are faults.
/// With `refuse_unknown` false, members that nobody asked for are passed over.
/// Used by one thread; cost is linear in the number of members.
class json_reader final
{
public:
    json_reader(const nlohmann::json& object, std::string where, std::vector<config_error>& errors,
                bool refuse_unknown = true);

    /// Each reads a member if it is present and leaves the target alone otherwise.
    auto text(std::string_view name, std::string& target) -> json_reader&;
    auto flag(std::string_view name, bool& target) -> json_reader&;
    auto integer(std::string_view name, std::int64_t& target, std::int64_t min_value,
                 std::int64_t max_value) -> json_reader&;
    auto number(std::string_view name, double& target, double min_value, double max_value)
        -> json_reader&;
    auto choice(std::string_view name, std::string& target, const std::vector<std::string>& allowed)
        -> json_reader&;
    auto texts(std::string_view name, std::vector<std::string>& target) -> json_reader&;
    /// The member itself, or null when absent.
    auto member(std::string_view name) -> const nlohmann::json*;
    /// Records a fault when a member is absent.
    auto require(std::string_view name) -> json_reader&;
    /// Records a fault for each member that was never asked for. Call it last.
    auto finish() -> void;

private:
    auto add_error(std::string_view name, std::string what) -> void;

    const nlohmann::json& object;
    std::string where;
    std::vector<config_error>& errors;
    bool refuse_unknown;
    std::set<std::string, std::less<>> known_names;
};

/// The known name that is nearest to `name` by edit distance; empty when none is near.
[[nodiscard]] auto nearest_name(std::string_view name,
                                const std::set<std::string, std::less<>>& known_names)
    -> std::string;

} // namespace poplardrift
