#include "daemon/upstream_connections.hpp"

#include "http/message.hpp"
#include "net/clock.hpp"

#include <algorithm>

namespace poplardrift
{

namespace
{

/// Connections that were idle for longer are closed: a device on the path may have dropped their
/// state.
constexpr duration max_idle_time = std::chrono::seconds(4);
/// Maximum number of idle connections kept per address.
constexpr std::size_t max_idle_connections = 1024;

/// True if the fields define one body length (RFC 9112, section 6). The client library takes the
/// first field of each name, and its numbers up to the first other letter.
auto has_valid_framing(const httplib::Response& response) -> bool
{
    constexpr int no_content = 204;
    const auto lengths = response.headers.equal_range("Content-Length");
    const auto codings = response.headers.equal_range("Transfer-Encoding");
    const auto has_coding = codings.first != codings.second;
    const auto length = lengths.first != lengths.second ? http::parse_number(lengths.first->second)
                                                        : std::optional<std::uint64_t>(0);
    const auto is_one_length =
        length &&
        std::all_of(lengths.first, lengths.second,
                    [&](const auto& field) { return http::parse_number(field.second) == length; });
    if (response.status == no_content)
    {
        return !has_coding && is_one_length && *length == 0;
    }
    if (!has_coding)
    {
        return is_one_length;
    }
    return lengths.first == lengths.second && std::next(codings.first) == codings.second &&
           http::equal_names(codings.first->second, "chunked") && response.version == "HTTP/1.1";
}

auto to_microseconds(duration length) -> std::chrono::microseconds
{
    return std::chrono::duration_cast<std::chrono::microseconds>(length);
}

} // namespace

auto proves_request_not_sent(httplib::Error error) -> bool
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

auto has_valid_head(const httplib::Response& response) -> bool
{
    constexpr int lowest_final_status = 200;
    return response.status >= lowest_final_status && http::is_valid_status(response.status) &&
           std::all_of(response.headers.begin(), response.headers.end(),
                       [](const auto& field) { return http::is_valid_field_name(field.first); }) &&
           has_valid_framing(response);
}

auto upstream_connections::take_connection(const std::string& address, std::uint16_t port,
                                           const exchange_timeouts& timeouts, bool dial_new)
    -> upstream_connection
{
    upstream_connection result;
    result.key = address + ":" + std::to_string(port);
    if (!dial_new)
    {
        const std::lock_guard lock(this->mutex);
        auto& connections = this->idle[result.key];
        // The most recently used connection is the most likely to be still open.
        while (!connections.empty() && !result.client)
        {
            auto item = std::move(connections.back());
            connections.pop_back();
            if (monotonic_now() - item.idle_since <= max_idle_time)
            {
                result.client = std::move(item.client);
                result.reused = true;
            }
        }
    }
    if (!result.client)
    {
        result.client = std::make_unique<httplib::Client>(address, port);
        result.client->set_keep_alive(true);
        result.client->set_tcp_nodelay(true);
        result.client->set_decompress(false);
        result.client->set_url_encode(false);
        result.client->set_interface(this->source);
    }
    result.client->set_connection_timeout(to_microseconds(timeouts.connect));
    result.client->set_read_timeout(to_microseconds(timeouts.progress));
    result.client->set_write_timeout(to_microseconds(timeouts.progress));
    return result;
}

auto upstream_connections::return_connection(upstream_connection connection) -> void
{
    const std::lock_guard lock(this->mutex);
    auto& connections = this->idle[connection.key];
    if (connections.size() < max_idle_connections)
    {
        connections.push_back({std::move(connection.client), monotonic_now()});
    }
}

} // namespace poplardrift
