#pragma once

#include "poplardrift/base/outcome.hpp"
#include "poplardrift/config/declarations.hpp"

#include <map>
#include <string>
#include <vector>

namespace poplardrift::ctl
{

/// Declarations as they stand in a folder.
struct folder_content
{
    path_values values;
    std::map<std::string, std::string> files; ///< file that each path comes from
};

/// Reads a folder of JSON files. The file `a/b/c.json` holds the value of the path `/a/b/c`; a file
/// whose only member is `paths` holds several, by path.
[[nodiscard]] auto read_folder(const std::string& folder, std::vector<config_error>& errors)
    -> folder_content;

/// Checks all declarations of a folder, each alone and together. Errors name the file.
[[nodiscard]] auto validate_folder(const folder_content& content) -> std::vector<config_error>;

/// One difference between a folder and what is in force.
struct planned_update
{
    std::string path;
    std::uint64_t version = 0; ///< in force; 0: none
    nlohmann::json before;     ///< null: none
    nlohmann::json after;      ///< null: removed
};

/// What it takes to bring the fleet to the folder's state. `config_response` is the answer of the
/// operators' interface. Only subtrees of `teams` are looked at (all when empty). Paths that the
/// folder does not have are removed unless `keep_unlisted`.
[[nodiscard]] auto make_plan(const path_values& declared, const nlohmann::json& config_response,
                             const std::vector<std::string>& teams, bool keep_unlisted)
    -> std::vector<planned_update>;

} // namespace poplardrift::ctl
