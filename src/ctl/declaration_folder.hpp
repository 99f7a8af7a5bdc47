#pragma once

#include "poplardrift/base/outcome.hpp"
#include "poplardrift/config/declarations.hpp"

#include <map>
#include <string>
#include <vector>

namespace poplardrift::ctl
{

/// Declarations read from a folder, by path. Not validated.
struct folder_content
{
    path_values values;
    std::map<std::string, std::string> files; ///< file that declares each path
};

/// Reads all JSON files of a folder and its subfolders. The file `a/b/c.json` holds the value of
/// the path `/a/b/c`; a file whose only member is `paths` holds several values by path. Appends
/// files that cannot be read or parsed and duplicate paths to `errors`.
[[nodiscard]] auto read_folder(const std::string& folder, std::vector<config_error>& errors)
    -> folder_content;

/// Validates each declaration and then the references between them. Errors of single declarations
/// name the file.
[[nodiscard]] auto validate_folder(const folder_content& content) -> std::vector<config_error>;

/// A difference between a folder and the configuration in force.
struct planned_update
{
    std::string path;
    std::uint64_t version = 0; ///< in force; 0: the path has no value yet
    nlohmann::json before;     ///< null: the path is new
    nlohmann::json after;      ///< null: the path is removed
};

/// Returns the updates that make the configuration in force match the folder. `config_response` is
/// the body of `/admin/v1/config`. Only subtrees of `teams` are compared (all when empty). Paths
/// that the folder lacks are removed unless `keep_unlisted` is set.
[[nodiscard]] auto make_plan(const path_values& declared, const nlohmann::json& config_response,
                             const std::vector<std::string>& teams, bool keep_unlisted)
    -> std::vector<planned_update>;

} // namespace poplardrift::ctl
