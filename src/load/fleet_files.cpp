#include "load/fleet_files.hpp"

#include "poplardrift/base/crypto.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace poplardrift::load
{

namespace
{

constexpr int http_port = 8080;
constexpr int admin_port = 9090;
constexpr int peer_port = 7000;
constexpr int platform_port = 7400;
constexpr int upstream_port = 8000;

/// Returns a loopback address, so that all hosts and upstreams run on one machine.
auto make_address(int network, int group, int host_number) -> std::string
{
    return "127." + std::to_string(network) + "." + std::to_string(group) + "." +
           std::to_string(host_number);
}

auto write_json_file(const std::filesystem::path& path, const nlohmann::json& document) -> bool
{
    std::filesystem::create_directories(path.parent_path());
    std::ofstream file(path);
    file << document.dump(2) << "\n";
    return static_cast<bool>(file);
}

/// Returns the hosts of the fleet file. When more hosts are requested, the described ones are
/// repeated in order, so that the additional hosts spread over the same zones.
auto make_hosts(const nlohmann::json& fleet, const prepare_options& options) -> nlohmann::json
{
    auto hosts = nlohmann::json::array();
    const auto& host_specs = fleet.at("hosts");
    const auto count =
        options.hosts > 0 ? static_cast<std::size_t>(options.hosts) : host_specs.size();
    for (std::size_t index = 0; index < count; ++index)
    {
        const auto& host_spec = host_specs[index % host_specs.size()];
        const auto name = index < host_specs.size() ? host_spec.at("name").get<std::string>()
                                                    : "host-" + std::to_string(index + 1);
        hosts.push_back(
            {{"name", name},
             {"zone", host_spec.at("zone")},
             {"address", make_address(options.network, 1, static_cast<int>(index) + 10)},
             {"peer_port", peer_port},
             {"http_port", http_port}});
    }
    return hosts;
}

auto make_upstreams(const nlohmann::json& upstream_specs, int network, int group) -> nlohmann::json
{
    auto result = nlohmann::json::array();
    int host_number = 10;
    for (const auto& item : upstream_specs)
    {
        for (int copy = 1; copy <= item.value("count", 1); ++copy)
        {
            auto upstream = item;
            upstream.erase("count");
            upstream["name"] = item.at("zone").get<std::string>() + "-" +
                               item.value("prefix", "e") + std::to_string(copy);
            upstream["address"] = make_address(network, group, host_number++);
            upstream["port"] = upstream_port;
            result.push_back(std::move(upstream));
        }
    }
    return result;
}

auto make_upstream_declaration(const nlohmann::json& item, const std::string& pool,
                               const std::string& kind) -> nlohmann::json
{
    nlohmann::json value = {{"address", item.at("address")},
                            {"port", item.at("port")},
                            {"zone", item.at("zone")},
                            {"pool", pool},
                            {"kind", kind}};
    for (const auto* name :
         {"capacity", "cold_capacity", "weight", "checks_fencing", "refusals_are_true", "model"})
    {
        if (item.contains(name))
        {
            value[name] = item[name];
        }
    }
    return value;
}

auto make_declarations(const nlohmann::json& fleet, const nlohmann::json& engines,
                       const nlohmann::json& services) -> nlohmann::json
{
    nlohmann::json paths = nlohmann::json::object();
    paths["/fleet/limits"] = fleet.value("limits", nlohmann::json::object());
    for (const auto& zone : fleet.at("zones"))
    {
        paths["/fleet/zones/" + zone.get<std::string>()] = {{"in_service", true}};
    }
    for (const auto& item : engines)
    {
        paths["/assist/upstreams/" + item.at("name").get<std::string>()] =
            make_upstream_declaration(item, "assistant", "engine");
    }
    for (const auto& item : services)
    {
        paths["/sales/upstreams/" + item.at("name").get<std::string>()] =
            make_upstream_declaration(item, "sales", "service");
    }
    for (const auto& [path, value] : fleet.at("routes").items())
    {
        paths[path] = value;
    }
    for (const auto& [name, item] : fleet.at("workspaces").items())
    {
        paths["/assist/workspaces/" + name] = {
            {"share", item.value("share", 1.0)},
            {"key_hashes", {sha256_hex(item.at("key").get<std::string>())}}};
    }
    return paths;
}

auto make_host_settings(const nlohmann::json& host, const nlohmann::json& fleet,
                        const prepare_options& options, const std::string& secret,
                        const std::string& public_key) -> nlohmann::json
{
    nlohmann::json settings = fleet.value("host_settings", nlohmann::json::object());
    settings["host"] = host;
    settings["admin"] = {{"address", host.at("address")}, {"port", admin_port}};
    settings["platform"]["address"] = make_address(options.network, 0, 2);
    settings["platform"]["port"] = platform_port;
    settings["host_secret"] = secret;
    settings["fleet_public_key"] = public_key;
    settings["placement"] = options.placement;
    return settings;
}

} // namespace

auto prepare_fleet(const prepare_options& options) -> bool
{
    std::ifstream file(options.fleet_file);
    const auto fleet = nlohmann::json::parse(file, nullptr, false);
    if (!fleet.is_object())
    {
        std::cerr << options.fleet_file << ": not a JSON object\n";
        return false;
    }
    const std::filesystem::path folder(options.folder);
    const auto hosts = make_hosts(fleet, options);
    const auto engines =
        make_upstreams(fleet.value("engines", nlohmann::json::array()), options.network, 2);
    const auto services =
        make_upstreams(fleet.value("services", nlohmann::json::array()), options.network, 3);
    const auto key = generate_key_pair();
    const auto secret = random_hex(24);
    nlohmann::json emulator = fleet.value("emulator", nlohmann::json::object());
    emulator["platform"]["address"] = make_address(options.network, 0, 2);
    emulator["platform"]["port"] = platform_port;
    emulator["hosts"] = hosts;
    emulator["engines"] = engines;
    emulator["services"] = services;
    // The emulator runs TCP relays between each pair of hosts; beyond 8 hosts they would be too
    // many.
    emulator["links"] = hosts.size() <= 8;
    nlohmann::json client = {
        {"platform", {{"address", make_address(options.network, 0, 2)}, {"port", platform_port}}},
        {"hosts", hosts},
        {"admin_port", admin_port},
        {"engines", engines},
        {"services", services},
        {"workspaces", fleet.at("workspaces")},
        {"placement", options.placement},
        {"folder", folder.string()},
        {"load_bound", fleet.value("limits", nlohmann::json::object()).value("load_bound", 1.25)},
        {"defaults", emulator.value("defaults", nlohmann::json::object())}};
    bool written = write_json_file(folder / "emulator.json", emulator) &&
                   write_json_file(folder / "client.json", client) &&
                   write_json_file(folder / "declarations" / "all.json",
                                   {{"paths", make_declarations(fleet, engines, services)}});
    for (const auto& host : hosts)
    {
        written = written &&
                  write_json_file(folder / ("host-" + host.at("name").get<std::string>() + ".json"),
                                  make_host_settings(host, fleet, options, secret, key.public_key));
    }
    std::ofstream key_file(folder / "fleet.key");
    key_file << key.private_key << "\n";
    return written && static_cast<bool>(key_file);
}

} // namespace poplardrift::load
