#include "platform/log_client.hpp"

#include "net/response_check.hpp"
#include "poplardrift/base/json_text.hpp"

namespace poplardrift
{

namespace
{

/// Bytes of HTTP and TCP headers and TCP acknowledgments for one request and its response.
constexpr std::size_t overhead_bytes_per_exchange = 620;

auto to_microseconds(duration length) -> std::chrono::microseconds
{
    return std::chrono::duration_cast<std::chrono::microseconds>(length);
}

auto parse_page(const std::string& body) -> outcome<log_page>
{
    try
    {
        const auto document = nlohmann::json::parse(body);
        log_page page;
        page.first = log_offset{document.at("first").get<std::uint64_t>()};
        page.next = log_offset{document.at("next").get<std::uint64_t>()};
        for (const auto& item : document.at("records"))
        {
            page.records.push_back({log_offset{item.at("offset").get<std::uint64_t>()},
                                    log_time(item.at("time_ms").get<std::int64_t>()),
                                    item.at("data")});
        }
        return page;
    }
    catch (const nlohmann::json::exception& error)
    {
        return outcome<log_page>::failure(std::string("the log sent a malformed response: ") +
                                          error.what());
    }
}

auto parse_hosts(const std::string& body) -> outcome<std::vector<std::pair<host_address, bool>>>
{
    using result_type = outcome<std::vector<std::pair<host_address, bool>>>;
    try
    {
        std::vector<std::pair<host_address, bool>> result;
        const auto document = nlohmann::json::parse(body);
        for (const auto& item : document.at("hosts"))
        {
            host_address address{item.at("name"), item.at("zone"), item.at("address"),
                                 item.at("peer_port"), item.at("http_port")};
            result.emplace_back(std::move(address), item.value("state", "") == "leaving");
        }
        return result;
    }
    catch (const nlohmann::json::exception& error)
    {
        return result_type::failure(std::string("the host list is malformed: ") + error.what());
    }
}

} // namespace

log_client::log_client(platform_settings settings) : settings(std::move(settings))
{
}

auto log_client::ensure_client(duration wait) -> void
{
    if (!this->client)
    {
        this->client =
            std::make_unique<httplib::Client>(this->settings.address, this->settings.port);
        this->client->set_keep_alive(true);
        this->client->set_tcp_nodelay(true);
        this->client->set_connection_timeout(to_microseconds(this->settings.connect_timeout));
        if (!this->settings.source.empty())
        {
            this->client->set_interface(this->settings.source);
        }
    }
    this->client->set_read_timeout(to_microseconds(this->settings.response_timeout + wait));
}

auto log_client::append(const std::string& stream, const std::vector<nlohmann::json>& records)
    -> append_result
{
    this->ensure_client(duration{});
    this->rate_limited = false;
    const auto body = to_json_text({{"records", records}});
    const auto response =
        this->client->Post("/log/" + stream + "/append", body, "application/json");
    this->bytes += body.size() + overhead_bytes_per_exchange;
    const auto is_valid = has_valid_response(response);
    if (is_valid && response->status == 200)
    {
        return append_result::appended;
    }
    const auto error = response.error();
    // A failed connection is not reused because it may no longer deliver data.
    this->client.reset();
    if (is_valid)
    {
        this->rate_limited = response->status == 429;
        return append_result::not_appended;
    }
    // A response that is not valid says nothing about the request.
    const auto was_not_sent = error == httplib::Error::Connection ||
                              error == httplib::Error::ConnectionTimeout ||
                              error == httplib::Error::BindIPAddress;
    return was_not_sent ? append_result::not_appended : append_result::lost;
}

auto log_client::read(const std::string& stream, log_offset from, duration wait)
    -> outcome<log_page>
{
    this->ensure_client(wait);
    const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const auto response =
        this->client->Get("/log/" + stream + "?from=" + std::to_string(from.value()) +
                          "&wait_ms=" + std::to_string(wait_ms));
    this->bytes += overhead_bytes_per_exchange;
    const auto is_valid = has_valid_response(response);
    if (!is_valid || response->status != 200)
    {
        const auto reason =
            is_valid ? "the log responded with status " + std::to_string(response->status)
                     : "the log does not respond: " + describe_failure(response);
        this->client.reset();
        return outcome<log_page>::failure(reason);
    }
    this->bytes += response->body.size();
    return parse_page(response->body);
}

auto read_host_list(const platform_settings& settings, const std::string& requester)
    -> outcome<std::vector<std::pair<host_address, bool>>>
{
    httplib::Client client(settings.address, settings.port);
    client.set_connection_timeout(to_microseconds(settings.connect_timeout));
    client.set_read_timeout(to_microseconds(settings.response_timeout));
    if (!settings.source.empty())
    {
        client.set_interface(settings.source);
    }
    const auto response = client.Get("/hosts?asker=" + requester);
    if (!has_valid_response(response) || response->status != 200)
    {
        return outcome<std::vector<std::pair<host_address, bool>>>::failure(
            "the host list request failed");
    }
    return parse_hosts(response->body);
}

} // namespace poplardrift
