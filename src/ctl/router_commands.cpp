#include "ctl/router_commands.hpp"

#include "net/response_check.hpp"
#include "observability/request_trace.hpp"
#include "traffic/operator_pages.hpp"

#include <httplib.h>

#include <iomanip>
#include <iostream>

namespace poplardrift::ctl
{

namespace
{

using nlohmann::json;

constexpr time_t response_timeout_seconds = 3;

auto query_router(const std::string& address, const std::string& path,
                  const httplib::Headers& fields) -> outcome<json>
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(response_timeout_seconds);
    client.set_read_timeout(response_timeout_seconds);
    const auto response = client.Get(path, fields);
    const auto is_valid = has_valid_response(response);
    if (!is_valid || response->status != 200)
    {
        return outcome<json>::failure(
            address + ": " +
            (is_valid ? "status " + std::to_string(response->status) : describe_failure(response)));
    }
    auto body = json::parse(response->body, nullptr, false);
    return body.is_object() ? outcome<json>(std::move(body))
                            : outcome<json>::failure(address + ": response is not a JSON object");
}

auto parse_header_fields(const std::vector<std::string>& lines) -> std::optional<httplib::Headers>
{
    httplib::Headers fields;
    for (const auto& line : lines)
    {
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        if (colon == std::string::npos || colon == 0 || value == std::string::npos)
        {
            return std::nullopt;
        }
        fields.emplace(line.substr(0, colon), line.substr(value));
    }
    return fields;
}

/// Names of the conditions that are set for an upstream, such as ` ejected`, each after a space.
auto condition_flags(const json& upstream) -> std::string
{
    std::string flags;
    for (const auto* name :
         {"leaving", "zone_out", "zone_silent", "ejected", "cold", "misaddressed"})
    {
        if (upstream.at(name).get<bool>())
        {
            flags += std::string(" ") + name;
        }
    }
    return flags;
}

auto print_status(const std::string& address, const json& status) -> void
{
    std::cout << address << " zone " << status.at("zone").get<std::string>() << ": "
              << (status.at("ready").get<bool>() ? "ready" : "not ready") << ", "
              << status.at("hosts") << " hosts";
    if (const auto configuration = status.find("configuration"); configuration != status.end())
    {
        std::cout << ", configuration " << configuration->at("version") << " for " << std::fixed
                  << std::setprecision(1) << configuration->at("in_force_ms").get<double>() / 1000.0
                  << " s";
    }
    std::cout << "\n";
    for (const auto& zone : status.at("zones_out"))
    {
        std::cout << "  zone out " << zone.get<std::string>() << "\n";
    }
    for (const auto& upstream : status.at("upstreams"))
    {
        std::cout << "  " << std::left << std::setw(20) << upstream.at("name").get<std::string>()
                  << std::setw(16) << upstream.at("service").get<std::string>() << std::setw(12)
                  << upstream.at("zone").get<std::string>() << "in flight "
                  << upstream.at("in_flight") << "+" << upstream.at("in_flight_elsewhere")
                  << ", failing " << std::fixed << std::setprecision(2)
                  << upstream.at("failure_share").get<double>() << condition_flags(upstream)
                  << "\n";
    }
}

auto print_explanation(const json& explanation) -> void
{
    std::cout << explanation.at("outcome").get<std::string>();
    if (!explanation.contains("route"))
    {
        std::cout << "\n";
        return;
    }
    std::cout << ": route " << explanation.at("route").get<std::string>() << ", service "
              << explanation.at("service").get<std::string>() << ", configuration "
              << explanation.at("version") << "\n";
    for (const auto& candidate : explanation.at("candidates"))
    {
        std::cout << "  " << std::left << std::setw(20)
                  << candidate.at("upstream").get<std::string>();
        if (!candidate.contains("cost_ms"))
        {
            std::cout << "ruled out: " << candidate.at("verdict").get<std::string>() << "\n";
            continue;
        }
        std::cout << std::fixed << std::setprecision(1) << candidate.at("cost_ms").get<double>()
                  << " ms, in flight " << candidate.at("in_flight") << ", cached tokens "
                  << candidate.at("cached_tokens");
        if (candidate.at("verdict") != "none")
        {
            std::cout << ", against it: " << candidate.at("verdict").get<std::string>();
        }
        if (candidate.contains("fetch_from"))
        {
            std::cout << ", copies from " << candidate.at("fetch_from").get<std::string>();
        }
        std::cout << "\n";
    }
}

} // namespace

auto run_router_status(const router_options& options) -> exit_code
{
    std::size_t response_count = 0;
    for (const auto& address : options.router_addresses)
    {
        const auto status = query_router(address, std::string(traffic::status_page), {});
        if (!status)
        {
            std::cerr << status.failure_reason() << "\n";
            continue;
        }
        ++response_count;
        if (options.json)
        {
            std::cout << status->dump() << "\n";
        }
        else
        {
            print_status(address, *status);
        }
    }
    return response_count == options.router_addresses.size() ? exit_code::ok
                                                             : exit_code::unreachable;
}

auto run_router_explain(const router_options& options) -> exit_code
{
    auto fields = parse_header_fields(options.fields);
    if (!fields || options.path.rfind('/', 0) != 0)
    {
        std::cerr << "each --field must be \"Name: value\", and --path must begin with /\n";
        return exit_code::bad_input;
    }
    fields->emplace("Host", options.host_name);
    const auto explanation =
        query_router(options.router_addresses.front(),
                     std::string(traffic::explain_page) + options.path, *fields);
    if (!explanation)
    {
        std::cerr << explanation.failure_reason() << "\n";
        return exit_code::unreachable;
    }
    if (options.json)
    {
        std::cout << explanation->dump() << "\n";
    }
    else
    {
        print_explanation(*explanation);
    }
    return explanation->at("outcome") == "placed" ? exit_code::ok : exit_code::refused;
}

auto run_trace(const router_options& options) -> exit_code
{
    const auto lines = trace_request(options.request_id, options.log_files);
    if (!lines)
    {
        std::cerr << lines.failure_reason() << "\n";
        return exit_code::bad_input;
    }
    for (const auto& line : *lines)
    {
        std::cout << (options.json ? line.dump() : to_trace_text(line)) << "\n";
    }
    if (lines->empty())
    {
        std::cerr << "no log line found for request " << options.request_id << "\n";
        return exit_code::refused;
    }
    return exit_code::ok;
}

} // namespace poplardrift::ctl
