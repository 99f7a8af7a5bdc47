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
        errors.push_back({file, path + " is declared in " + content.files[path] + " too"});
        return;
    }
    content.values[path] = value;
    content.files[path] = file;
}

auto is_among(const std::vector<std::string>& teams, const std::string& path) -> bool
{
    return teams.empty() || std::find(teams.begin(), teams.end(), team_of(path)) != teams.end();
}

} // namespace

auto read_folder(const std::string& folder, std::vector<config_error>& errors) -> folder_content
{
    folder_content content;
    std::error_code fault;
    std::set<fs::path> files;
    for (const auto& item : fs::recursive_directory_iterator(folder, fault))
    {
        if (item.is_regular_file() && item.path().extension() == ".json")
        {
            files.insert(item.path());
        }
    }
    if (fault)
    {
        errors.push_back({folder, fault.message()});
    }
    for (const auto& file : files)
    {
        std::ifstream stream(file);
        const auto document = nlohmann::json::parse(stream, nullptr, false);
        if (document.is_discarded())
        {
            errors.push_back({file.string(), "is not JSON"});
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
    declarations all;
    for (const auto& [path, value] : content.values)
    {
        std::vector<config_error> own;
        read_declaration(path, value, all, own, unknown_keys::refuse);
        for (auto& error : own)
        {
            error.where = content.files.at(path) + ": " + error.where;
        }
        errors.insert(errors.end(), own.begin(), own.end());
    }
    check_consistency(all, errors);
    return errors;
}

auto make_plan(const path_values& wanted, const nlohmann::json& in_force,
               const std::vector<std::string>& teams, bool keep_unlisted)
    -> std::vector<planned_set>
{
    std::vector<planned_set> plan;
    const auto& entries = in_force.at("entries");
    for (const auto& [path, value] : wanted)
    {
        const auto present = entries.contains(path)
                                 ? entries[path]
                                 : nlohmann::json{{"version", 0}, {"value", nullptr}};
        if (is_among(teams, path) && present["value"] != value)
        {
            plan.push_back(
                {path, present["version"].get<std::uint64_t>(), present["value"], value});
        }
    }
    for (const auto& [path, entry] : entries.items())
    {
        const auto gone = !wanted.contains(path) && !entry["value"].is_null();
        if (gone && !keep_unlisted && is_among(teams, path))
        {
            plan.push_back({path, entry["version"].get<std::uint64_t>(), entry["value"], nullptr});
        }
    }
    return plan;
}

} // namespace poplardrift::ctl
