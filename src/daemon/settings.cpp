#include "daemon/settings.hpp"

#include "poplardrift/config/json_reader.hpp"

#include <arpa/inet.h>

#include <fstream>
#include <map>

namespace poplardrift
{

namespace
{

constexpr std::int64_t max_duration_ms = 86'400'000;
constexpr std::size_t min_secret_length = 16;

auto read_ms(json_reader& reader, std::string_view name, duration& target) -> void
{
    std::int64_t value = std::chrono::duration_cast<std::chrono::milliseconds>(target).count();
    reader.integer(name, value, 0, max_duration_ms);
    target = std::chrono::milliseconds(value);
}

auto read_port(json_reader& reader, std::string_view name, std::uint16_t& target) -> void
{
    std::int64_t value = target;
    reader.require(name).integer(name, value, 1, 65535);
    target = static_cast<std::uint16_t>(value);
}

auto check_ip(const std::string& where, const std::string& address,
              std::vector<config_error>& errors) -> void
{
    in_addr ipv4{};
    in6_addr ipv6{};
    const auto is_valid = ::inet_pton(AF_INET, address.c_str(), &ipv4) == 1 ||
                          ::inet_pton(AF_INET6, address.c_str(), &ipv6) == 1;
    if (!is_valid)
    {
        errors.push_back({where, "is \"" + address + "\"; allowed: an IP number"});
    }
}

auto read_host(const nlohmann::json& document, const std::string& where,
               std::vector<config_error>& errors) -> host_address
{
    host_address host;
    json_reader reader(document, where, errors);
    reader.require("name").require("zone").require("address");
    reader.text("name", host.name).text("zone", host.zone).text("address", host.address);
    read_port(reader, "peer_port", host.peer_port);
    read_port(reader, "http_port", host.http_port);
    reader.finish();
    check_ip(where + "/address", host.address, errors);
    return host;
}

auto read_admin(const nlohmann::json& document, daemon_settings& target,
                std::vector<config_error>& errors) -> void
{
    json_reader reader(document, "/admin", errors);
    reader.require("address").text("address", target.admin_address);
    read_port(reader, "port", target.admin_port);
    reader.finish();
    check_ip("/admin/address", target.admin_address, errors);
}

auto read_platform(const nlohmann::json& document, daemon_settings& target,
                   std::vector<config_error>& errors) -> void
{
    json_reader reader(document, "/platform", errors);
    reader.require("address").text("address", target.platform.address);
    read_port(reader, "port", target.platform.port);
    read_ms(reader, "connect_timeout_ms", target.platform.connect_timeout);
    read_ms(reader, "answer_timeout_ms", target.platform.response_timeout);
    read_ms(reader, "log_retention_ms", target.control.log_retention);
    read_ms(reader, "configuration_wait_ms", target.configuration_wait);
    read_ms(reader, "host_list_interval_ms", target.host_list_interval);
    reader.finish();
    check_ip("/platform/address", target.platform.address, errors);
}

auto read_tls(const nlohmann::json& document, const std::string& where, tls_settings& target,
              std::vector<config_error>& errors) -> void
{
    json_reader reader(document, where, errors);
    reader.require("certificate").require("key");
    reader.text("certificate", target.certificate)
        .text("key", target.key)
        .text("authority", target.authority);
    reader.finish();
}

auto read_callers(const nlohmann::json& document, daemon_settings& target,
                  std::vector<config_error>& errors) -> void
{
    auto connections = static_cast<std::int64_t>(target.most_connections);
    auto header_bytes = static_cast<std::int64_t>(target.most_header_bytes);
    json_reader reader(document, "/callers", errors);
    reader.integer("most_connections", connections, 1, 100'000);
    reader.integer("most_header_bytes", header_bytes, 1024, 1 << 20);
    read_ms(reader, "leave_notice_ms", target.leave_notice);
    read_ms(reader, "idle_connection_ms", target.idle_connection);
    if (const auto* tls = reader.member("tls"))
    {
        read_tls(*tls, "/callers/tls", target.caller_tls, errors);
    }
    reader.finish();
    target.most_connections = static_cast<std::size_t>(connections);
    target.most_header_bytes = static_cast<std::size_t>(header_bytes);
}

auto read_slots(const nlohmann::json& document, daemon_settings& target,
                std::vector<config_error>& errors) -> void
{
    json_reader reader(document, "/slots", errors);
    auto& slots = target.control.slots;
    read_ms(reader, "lease_ms", slots.lease);
    read_ms(reader, "owner_margin_ms", slots.owner_margin);
    read_ms(reader, "disagreement_ms", slots.disagreement);
    read_ms(reader, "silent_use_ms", slots.silent_use);
    read_ms(reader, "ask_patience_ms", target.admission.min_target_wait);
    reader.number("prefetch", slots.prefetch, 0.0, 1.0).finish();
}

auto read_peers(const nlohmann::json& document, daemon_settings& target,
                std::vector<config_error>& errors) -> void
{
    json_reader reader(document, "/peers", errors);
    read_ms(reader, "heartbeat_ms", target.control.heartbeat);
    read_ms(reader, "suspicion_ms", target.control.membership.suspicion_timeout);
    read_ms(reader, "silent_link_ms", target.control.silent_link_timeout);
    reader.number("bytes_per_second", target.control.budget.bytes_per_second, 100.0, 1e9);
    reader.number("burst_bytes", target.control.budget.burst_bytes, 1000.0, 1e9);
    if (const auto* seeds = reader.member("seeds"); seeds != nullptr && seeds->is_array())
    {
        for (std::size_t index = 0; index < seeds->size(); ++index)
        {
            target.seeds.push_back(
                read_host((*seeds)[index], "/peers/seeds/" + std::to_string(index), errors));
        }
    }
    if (const auto* tls = reader.member("tls"))
    {
        read_tls(*tls, "/peers/tls", target.peer_tls, errors);
    }
    reader.finish();
}

auto read_transactions(const nlohmann::json& document, daemon_settings& target,
                       std::vector<config_error>& errors) -> void
{
    json_reader reader(document, "/transactions", errors);
    auto& item = target.transactions;
    auto kept_bytes = static_cast<std::int64_t>(item.kept_answer_bytes);
    read_ms(reader, "dedupe_window_ms", item.dedupe_window);
    read_ms(reader, "window_margin_ms", item.window_margin);
    read_ms(reader, "claim_timeout_ms", item.claim_timeout);
    read_ms(reader, "claim_batch_ms", target.claim_batch_delay);
    reader.integer("kept_answer_bytes", kept_bytes, 0, 1 << 20).finish();
    item.kept_answer_bytes = static_cast<std::size_t>(kept_bytes);
}

auto read_policy(json_reader& reader, daemon_settings& target) -> void
{
    static const std::map<std::string, placement_policy> policies = {
        {"affinity_within_bounds", placement_policy::affinity_within_bounds},
        {"round_robin", placement_policy::round_robin},
        {"least_loaded", placement_policy::least_loaded},
        {"rendezvous", placement_policy::rendezvous},
        {"bounded_rendezvous", placement_policy::bounded_rendezvous}};
    std::vector<std::string> names;
    names.reserve(policies.size());
    for (const auto& [name, policy] : policies)
    {
        names.push_back(name);
    }
    std::string policy_name = "affinity_within_bounds";
    reader.choice("placement", policy_name, names);
    target.admission.policy = policies.at(policy_name);
}

auto check_constraints(const daemon_settings& settings, std::vector<config_error>& errors) -> void
{
    if (settings.host_secret.size() < min_secret_length)
    {
        errors.push_back({"/host_secret", "is too short; allowed: at least 16 characters"});
    }
    if (settings.transactions.dedupe_window * 2 > settings.control.log_retention)
    {
        errors.push_back({"/transactions/dedupe_window_ms",
                          "must be at most half of /platform/log_retention_ms"});
    }
    if (settings.transactions.window_margin * 2 > settings.transactions.dedupe_window)
    {
        errors.push_back(
            {"/transactions/window_margin_ms", "must be at most half of dedupe_window_ms"});
    }
    if (settings.control.heartbeat * 3 > settings.control.slots.lease)
    {
        errors.push_back({"/peers/heartbeat_ms", "must be at most a third of /slots/lease_ms"});
    }
    if (settings.control.heartbeat * 3 > settings.control.membership.suspicion_timeout)
    {
        errors.push_back({"/peers/heartbeat_ms", "must be at most a third of /peers/suspicion_ms"});
    }
}

auto join_errors(const std::vector<config_error>& errors) -> std::string
{
    std::string text;
    for (const auto& error : errors)
    {
        text += (text.empty() ? "" : "\n") + error.text();
    }
    return text;
}

/// Passes an optional section to `read`.
template <class Reader>
auto read_section(json_reader& document_reader, std::string_view name, daemon_settings& target,
                  std::vector<config_error>& errors, const Reader& read) -> void
{
    if (const auto* section = document_reader.member(name))
    {
        read(*section, target, errors);
    }
}

} // namespace

auto parse_daemon_settings(const nlohmann::json& document) -> outcome<daemon_settings>
{
    std::vector<config_error> errors;
    daemon_settings settings;
    json_reader reader(document, "", errors);
    reader.require("host")
        .require("admin")
        .require("platform")
        .require("host_secret")
        .require("fleet_public_key");
    if (const auto* host = reader.member("host"))
    {
        settings.host = read_host(*host, "/host", errors);
    }
    read_section(reader, "admin", settings, errors, read_admin);
    read_section(reader, "platform", settings, errors, read_platform);
    read_section(reader, "callers", settings, errors, read_callers);
    read_section(reader, "slots", settings, errors, read_slots);
    read_section(reader, "peers", settings, errors, read_peers);
    read_section(reader, "transactions", settings, errors, read_transactions);
    reader.text("host_secret", settings.host_secret)
        .text("fleet_public_key", settings.fleet_public_key);
    reader.choice("log_level", settings.log_level, {"debug", "info", "warning", "error"});
    read_policy(reader, settings);
    reader.finish();
    check_constraints(settings, errors);
    if (!errors.empty())
    {
        return outcome<daemon_settings>::failure(join_errors(errors));
    }
    settings.admission.self = make_host_id(settings.host.name);
    settings.platform.source = settings.host.address;
    settings.transactions.host_secret = settings.host_secret;
    settings.control.configuration.host_secret = settings.host_secret;
    settings.control.configuration.fleet_public_key = settings.fleet_public_key;
    return settings;
}

auto read_daemon_settings(const std::string& path) -> outcome<daemon_settings>
{
    std::ifstream file(path);
    if (!file)
    {
        return outcome<daemon_settings>::failure(path + ": cannot be read");
    }
    const auto document = nlohmann::json::parse(file, nullptr, false);
    if (document.is_discarded())
    {
        return outcome<daemon_settings>::failure(path + ": is not JSON");
    }
    auto settings = parse_daemon_settings(document);
    return settings ? settings
                    : outcome<daemon_settings>::failure(path + ":\n" + settings.failure_reason());
}

} // namespace poplardrift
