#include "ctl/commands.hpp"

#include "net/clock.hpp"
#include "poplardrift/base/crypto.hpp"
#include "poplardrift/config/configuration.hpp"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

namespace poplardrift::ctl
{

namespace
{

constexpr auto poll_interval = std::chrono::milliseconds(50);

auto print_errors(const std::vector<config_error>& errors, bool json) -> void
{
    if (json)
    {
        auto list = nlohmann::json::array();
        for (const auto& error : errors)
        {
            list.push_back({{"where", error.where}, {"what", error.what}});
        }
        std::cout << nlohmann::json{{"errors", list}}.dump() << "\n";
        return;
    }
    for (const auto& error : errors)
    {
        std::cerr << error.text() << "\n";
    }
}

auto report_unreachable(const std::string& reason) -> exit_code
{
    std::cerr << "no host responds: " << reason << "\n";
    return exit_code::unreachable;
}

auto read_key(const std::string& file) -> std::optional<std::string>
{
    std::ifstream stream(file);
    std::string key;
    stream >> key;
    return public_key_of(key) ? std::optional(key) : std::nullopt;
}

/// Names and states of the hosts, except absent ones, whose configuration is older than `offset`.
auto lagging_hosts(const nlohmann::json& status, std::uint64_t offset) -> std::vector<std::string>
{
    std::vector<std::string> result;
    for (const auto& host : status.at("hosts"))
    {
        const auto up_to_date = host.at("configuration_offset").get<std::uint64_t>() >= offset;
        if (!up_to_date && host.at("status") != "absent")
        {
            result.push_back(host.at("name").get<std::string>() + " (" +
                             host.at("status").get<std::string>() + ")");
        }
    }
    return result;
}

auto wait_until_in_force(const admin_client& client, const command_options& options,
                         std::uint64_t offset) -> exit_code
{
    const auto start = monotonic_now();
    std::vector<std::string> lagging;
    while (monotonic_now() - start < std::chrono::seconds(options.wait_seconds))
    {
        const auto status = client.get("/admin/v1/status");
        if (status)
        {
            lagging = lagging_hosts(status->body, offset);
            if (lagging.empty())
            {
                std::cout << "in force on " << status->body.at("hosts").size() << " hosts after "
                          << std::fixed << std::setprecision(2)
                          << to_seconds(monotonic_now() - start) << " s\n";
                return exit_code::ok;
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
    std::cerr << "not in force everywhere after " << options.wait_seconds
              << " s; hosts that lag or are unreachable:";
    for (const auto& name : lagging)
    {
        std::cerr << " " << name;
    }
    std::cerr << "\n";
    return exit_code::wait_timed_out;
}

/// Prints the author of the last change of each path, since a change is also refused when another
/// operator changed the same path first.
auto explain_conflict(const admin_client& client, const std::vector<change_set_item>& sets) -> void
{
    for (const auto& item : sets)
    {
        const auto audit = client.get("/admin/v1/audit?limit=1&path=" + item.path);
        if (!audit || audit->body["entries"].empty())
        {
            continue;
        }
        const auto& last = audit->body["entries"][0];
        std::cerr << item.path << ": last changed by " << last["author"].get<std::string>()
                  << " (team " << last["team"].get<std::string>() << "), change "
                  << last["change_id"].get<std::string>() << "\n";
    }
}

auto send_change(const command_options& options, std::vector<change_set_item> sets) -> exit_code
{
    const auto key = read_key(options.key_file);
    if (!key)
    {
        std::cerr << options.key_file << ": does not contain a valid private key\n";
        return exit_code::bad_input;
    }
    config_change change;
    change.id = random_hex(12);
    change.author = options.author;
    change.team = options.team;
    change.sets = std::move(sets);
    change.signature = sign_message(*key, change.signed_text()).value_or("");
    const admin_client client(options.admin_endpoints);
    const auto response = client.submit(change.to_json());
    if (!response)
    {
        return report_unreachable(response.failure_reason());
    }
    const auto& body = response->body;
    if (options.json)
    {
        std::cout << body.dump() << "\n";
    }
    if (response->status != 200)
    {
        std::cerr << body.value("result", "refused") << ": " << body.value("reason", "") << "\n";
        for (const auto& error : body.value("errors", nlohmann::json::array()))
        {
            std::cerr << "  " << error.value("where", "") << ": " << error.value("what", "")
                      << "\n";
        }
        explain_conflict(client, change.sets);
        return exit_code::refused;
    }
    const auto offset = body.at("entry").at("offset").get<std::uint64_t>();
    if (!options.json)
    {
        std::cout << "accepted at offset " << offset << ", change " << change.id << "\n";
    }
    return options.wait ? wait_until_in_force(client, options, offset) : exit_code::ok;
}

auto to_change_set_items(const std::vector<planned_update>& plan) -> std::vector<change_set_item>
{
    std::vector<change_set_item> sets;
    sets.reserve(plan.size());
    for (const auto& item : plan)
    {
        sets.push_back({item.path, log_offset{item.version},
                        item.after.is_null() ? std::nullopt : std::optional(item.after)});
    }
    return sets;
}

/// Reads and validates a folder and compares it with the configuration in force.
auto plan_folder(const command_options& options, std::vector<planned_update>& plan) -> exit_code
{
    std::vector<config_error> errors;
    const auto content = read_folder(options.folder, errors);
    const auto validation_errors = validate_folder(content);
    errors.insert(errors.end(), validation_errors.begin(), validation_errors.end());
    if (!errors.empty())
    {
        print_errors(errors, options.json);
        return exit_code::bad_input;
    }
    const auto config_response = admin_client(options.admin_endpoints).get("/admin/v1/config");
    if (!config_response)
    {
        return report_unreachable(config_response.failure_reason());
    }
    plan =
        make_plan(content.values, config_response->body, options.only_teams, options.keep_unlisted);
    return exit_code::ok;
}

auto print_plan(const std::vector<planned_update>& plan, bool json, bool show_values) -> void
{
    auto list = nlohmann::json::array();
    for (const auto& item : plan)
    {
        const auto* mark = item.before.is_null() ? "+" : item.after.is_null() ? "-" : "~";
        if (json)
        {
            list.push_back({{"path", item.path},
                            {"version", item.version},
                            {"before", item.before},
                            {"after", item.after}});
            continue;
        }
        std::cout << mark << " " << item.path << "\n";
        if (show_values && !item.before.is_null())
        {
            std::cout << "    - " << item.before.dump() << "\n";
        }
        if (show_values && !item.after.is_null())
        {
            std::cout << "    + " << item.after.dump() << "\n";
        }
    }
    if (json)
    {
        std::cout << nlohmann::json{{"changes", list}}.dump() << "\n";
    }
    else
    {
        std::cout << plan.size() << " changes\n";
    }
}

} // namespace

auto run_keygen(const command_options& options) -> exit_code
{
    const auto pair = generate_key_pair();
    std::ofstream file(options.key_file);
    file << pair.private_key << "\n";
    if (!file)
    {
        std::cerr << options.key_file << ": cannot be written\n";
        return exit_code::bad_input;
    }
    std::cout << pair.public_key << "\n";
    return exit_code::ok;
}

auto run_hash_key(const std::string& api_key) -> exit_code
{
    std::cout << sha256_hex(api_key) << "\n";
    return exit_code::ok;
}

auto run_validate(const command_options& options) -> exit_code
{
    std::vector<config_error> errors;
    const auto content = read_folder(options.folder, errors);
    const auto validation_errors = validate_folder(content);
    errors.insert(errors.end(), validation_errors.begin(), validation_errors.end());
    print_errors(errors, options.json);
    if (errors.empty() && !options.json)
    {
        std::cout << content.values.size() << " paths are valid\n";
    }
    return errors.empty() ? exit_code::ok : exit_code::bad_input;
}

auto run_plan(const command_options& options, bool show_values) -> exit_code
{
    std::vector<planned_update> plan;
    const auto result = plan_folder(options, plan);
    if (result != exit_code::ok)
    {
        return result;
    }
    print_plan(plan, options.json, show_values);
    return plan.empty() ? exit_code::ok : exit_code::changes_pending;
}

auto run_apply(const command_options& options) -> exit_code
{
    std::vector<planned_update> plan;
    const auto result = plan_folder(options, plan);
    if (result != exit_code::ok)
    {
        return result;
    }
    if (plan.empty())
    {
        std::cout << "nothing to change\n";
        return exit_code::ok;
    }
    if (!options.json)
    {
        print_plan(plan, false, false);
    }
    return send_change(options, to_change_set_items(plan));
}

auto run_get(const command_options& options) -> exit_code
{
    const auto response =
        admin_client(options.admin_endpoints).get("/admin/v1/config?prefix=" + options.path_prefix);
    if (!response)
    {
        return report_unreachable(response.failure_reason());
    }
    if (options.json)
    {
        std::cout << response->body.dump() << "\n";
        return exit_code::ok;
    }
    for (const auto& [path, entry] : response->body.at("entries").items())
    {
        if (!entry.at("value").is_null())
        {
            std::cout << path << " (version " << entry.at("version") << ") "
                      << entry.at("value").dump() << "\n";
        }
    }
    return exit_code::ok;
}

auto run_audit(const command_options& options) -> exit_code
{
    const auto response = admin_client(options.admin_endpoints)
                              .get("/admin/v1/audit?limit=" + std::to_string(options.limit) +
                                   "&path=" + options.path_prefix);
    if (!response)
    {
        return report_unreachable(response.failure_reason());
    }
    if (options.json)
    {
        std::cout << response->body.dump() << "\n";
        return exit_code::ok;
    }
    for (const auto& entry : response->body.at("entries"))
    {
        std::cout << "offset " << entry["offset"] << " time_ms " << entry["time_ms"] << " "
                  << (entry["accepted"] ? "accepted" : "refused") << " by "
                  << entry["author"].get<std::string>() << " (team "
                  << entry["team"].get<std::string>() << ") change "
                  << entry["change_id"].get<std::string>();
        if (!entry["accepted"])
        {
            std::cout << ": " << entry["reason"].get<std::string>();
        }
        std::cout << "\n";
        for (const auto& path : entry["paths"])
        {
            const auto name = path.get<std::string>();
            std::cout << "  " << name << " " << entry["before"][name].dump() << " -> "
                      << entry["after"][name].dump() << "\n";
        }
    }
    return exit_code::ok;
}

auto run_zone(const command_options& options, bool in_service) -> exit_code
{
    const auto path = "/fleet/zones/" + options.zone;
    const auto response =
        admin_client(options.admin_endpoints).get("/admin/v1/config?prefix=" + path);
    if (!response)
    {
        return report_unreachable(response.failure_reason());
    }
    const auto& entries = response->body.at("entries");
    if (!entries.contains(path) || entries[path].at("value").is_null())
    {
        std::cerr << "zone " << options.zone << " is not declared\n";
        return exit_code::bad_input;
    }
    auto value = entries[path].at("value");
    value["in_service"] = in_service;
    if (value == entries[path].at("value"))
    {
        std::cout << "zone " << options.zone << " is " << (in_service ? "in" : "out of")
                  << " service already\n";
        return exit_code::ok;
    }
    return send_change(
        options, {{path, log_offset{entries[path].at("version").get<std::uint64_t>()}, value}});
}

auto run_status(const command_options& options) -> exit_code
{
    const auto response = admin_client(options.admin_endpoints).get("/admin/v1/status");
    if (!response)
    {
        return report_unreachable(response.failure_reason());
    }
    const auto& body = response->body;
    if (options.json)
    {
        std::cout << body.dump() << "\n";
        return exit_code::ok;
    }
    const auto reason = body.at("not_ready").get<std::string>();
    std::cout << "host " << body.at("host").get<std::string>() << " (zone "
              << body.at("zone").get<std::string>()
              << "): " << (reason.empty() ? "ready" : "not ready: " + reason)
              << ", configuration offset " << body.at("configuration_offset") << ", log "
              << (body.at("log_reachable") ? "reachable" : "unreachable") << ", "
              << body.at("active_requests") << " active\n";
    for (const auto& host : body.at("hosts"))
    {
        std::cout << "  host " << std::left << std::setw(16) << host.at("name").get<std::string>()
                  << std::setw(12) << host.at("zone").get<std::string>() << std::setw(9)
                  << host.at("status").get<std::string>() << "configuration "
                  << host.at("configuration_offset") << "\n";
    }
    for (const auto& [name, state] : body.at("zones").items())
    {
        std::cout << "  zone " << std::left << std::setw(16) << name << state.get<std::string>()
                  << "\n";
    }
    for (const auto& item : body.at("upstreams"))
    {
        std::cout << "  upstream " << std::left << std::setw(36)
                  << item.at("path").get<std::string>() << std::setw(9)
                  << item.at("state").get<std::string>() << "limit " << std::setw(6)
                  << item.at("limit").get<int>() << "owner " << item.at("owner").get<std::string>()
                  << "\n";
    }
    return exit_code::ok;
}

} // namespace poplardrift::ctl
