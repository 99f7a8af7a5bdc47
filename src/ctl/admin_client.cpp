#include "ctl/admin_client.hpp"

#include <httplib.h>

namespace poplardrift::ctl
{

namespace
{

constexpr int connect_seconds = 2;
constexpr int answer_seconds = 10;

auto open(const std::string& endpoint) -> httplib::Client
{
    httplib::Client client("http://" + endpoint);
    client.set_connection_timeout(connect_seconds);
    client.set_read_timeout(answer_seconds);
    return client;
}

auto to_answer(const httplib::Result& result) -> admin_answer
{
    return {result->status, nlohmann::json::parse(result->body, nullptr, false)};
}

} // namespace

auto admin_client::get(const std::string& path) const -> outcome<admin_answer>
{
    std::string reason = "no host was named; use --admin ADDRESS:PORT";
    for (const auto& endpoint : this->endpoints)
    {
        auto client = open(endpoint);
        const auto result = client.Get(path);
        if (result)
        {
            return to_answer(result);
        }
        reason = endpoint + ": " + httplib::to_string(result.error());
    }
    return outcome<admin_answer>::failure(reason);
}

auto admin_client::submit(const nlohmann::json& change) const -> outcome<admin_answer>
{
    std::string reason = "no host was named; use --admin ADDRESS:PORT";
    for (const auto& endpoint : this->endpoints)
    {
        auto client = open(endpoint);
        const auto result = client.Post("/admin/v1/changes", change.dump(), "application/json");
        if (result)
        {
            return to_answer(result);
        }
        reason = endpoint + ": " + httplib::to_string(result.error());
        if (result.error() != httplib::Error::Connection)
        {
            return this->get("/admin/v1/changes/" + change.at("id").get<std::string>());
        }
    }
    return outcome<admin_answer>::failure(reason);
}

} // namespace poplardrift::ctl
