#include "ctl/admin_client.hpp"

#include "net/response_check.hpp"

#include <httplib.h>

namespace poplardrift::ctl
{

namespace
{

constexpr int connect_timeout_seconds = 2;
constexpr int read_timeout_seconds = 10;

auto make_client(const std::string& endpoint) -> httplib::Client
{
    httplib::Client client("http://" + endpoint);
    client.set_connection_timeout(connect_timeout_seconds);
    client.set_read_timeout(read_timeout_seconds);
    return client;
}

auto to_response(const httplib::Result& result) -> admin_response
{
    return {result->status, nlohmann::json::parse(result->body, nullptr, false)};
}

} // namespace

auto admin_client::get(const std::string& path) const -> outcome<admin_response>
{
    std::string reason = "no admin endpoint given; use --admin ADDRESS:PORT";
    for (const auto& endpoint : this->endpoints)
    {
        auto client = make_client(endpoint);
        const auto result = client.Get(path);
        if (has_valid_response(result))
        {
            return to_response(result);
        }
        reason = endpoint + ": " + describe_failure(result);
    }
    return outcome<admin_response>::failure(reason);
}

auto admin_client::submit(const nlohmann::json& change) const -> outcome<admin_response>
{
    std::string reason = "no admin endpoint given; use --admin ADDRESS:PORT";
    for (const auto& endpoint : this->endpoints)
    {
        auto client = make_client(endpoint);
        const auto result = client.Post("/admin/v1/changes", change.dump(), "application/json");
        if (has_valid_response(result))
        {
            return to_response(result);
        }
        reason = endpoint + ": " + describe_failure(result);
        if (result.error() != httplib::Error::Connection)
        {
            return this->get("/admin/v1/changes/" + change.at("id").get<std::string>());
        }
    }
    return outcome<admin_response>::failure(reason);
}

} // namespace poplardrift::ctl
