#include "ctl/declaration_folder.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

namespace poplardrift::ctl
{

namespace
{

namespace fs = std::filesystem;

auto add_value(folder_content& content, const std::string& path, const nlohmann::json& value,
               const std::string& file, std::vector<config_error>& errors) -> void
{
    if (content.values.contains(path))
    {
        errors.push_back({file, path + " is already declared in " + content.files[path] +
                                    "; each path must be declared once"});
        return;
    }
    content.values[path] = value;
    content.files[path] = file;
}

auto is_selected(const std::vector<std::string>& teams, const std::string& path) -> bool
{
    return teams.empty() || std::find(teams.begin(), teams.end(), team_of(path)) != teams.end();
}

} // namespace

auto read_folder(const std::string& folder, std::vector<config_error>& errors) -> folder_content
{
    folder_content content;
    std::error_code iteration_error;
    std::set<fs::path> files;
    for (const auto& item : fs::recursive_directory_iterator(folder, iteration_error))
    {
        if (item.is_regular_file() && item.path().extension() == ".json")
        {
            files.insert(item.path());
        }
    }
    if (iteration_error)
    {
        errors.push_back({folder, iteration_error.message()});
    }
    for (const auto& file : files)
    {
        std::ifstream stream(file);
        const auto document = nlohmann::json::parse(stream, nullptr, false);
        if (document.is_discarded())
        {
            errors.push_back({file.string(), "is not valid JSON"});
            continue;
        }
        if (document.is_object() && document.size() == 1 && document.contains("paths") &&
            document["paths"].is_object())
        {
            for (const auto& [path, value] : document["paths"].items())
            {
                add_value(content, path, value, file.string(), errors);
            }
            continue;
        }
        const auto path = "/" + fs::relative(file, folder).replace_extension().generic_string();
        add_value(content, path, document, file.string(), errors);
    }
    return content;
}

auto validate_folder(const folder_content& content) -> std::vector<config_error>
{
    std::vector<config_error> errors;
    declarations all_declarations;
    for (const auto& [path, value] : content.values)
    {
        std::vector<config_error> declaration_errors;
        read_declaration(path, value, all_declarations, declaration_errors, unknown_keys::refuse);
        for (auto& error : declaration_errors)
        {
            error.where = content.files.at(path) + ": " + error.where;
        }
        errors.insert(errors.end(), declaration_errors.begin(), declaration_errors.end());
    }
    check_consistency(all_declarations, errors);
    return errors;
}

auto make_plan(const path_values& declared, const nlohmann::json& config_response,
               const std::vector<std::string>& teams, bool keep_unlisted)
    -> std::vector<planned_update>
{
    std::vector<planned_update> plan;
    const auto& entries = config_response.at("entries");
    for (const auto& [path, value] : declared)
    {
        const auto current = entries.contains(path)
                                 ? entries[path]
                                 : nlohmann::json{{"version", 0}, {"value", nullptr}};
        if (is_selected(teams, path) && current["value"] != value)
        {
            plan.push_back(
                {path, current["version"].get<std::uint64_t>(), current["value"], value});
        }
    }
    for (const auto& [path, entry] : entries.items())
    {
        const auto removed = !declared.contains(path) && !entry["value"].is_null();
        if (removed && !keep_unlisted && is_selected(teams, path))
        {
            plan.push_back({path, entry["version"].get<std::uint64_t>(), entry["value"], nullptr});
        }
    }
    return plan;
}

} // namespace poplardrift::ctl
