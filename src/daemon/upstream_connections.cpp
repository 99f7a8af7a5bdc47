#include "daemon/upstream_connections.hpp"

#include "net/clock.hpp"

namespace poplardrift
{

namespace
{

/// Connections that were idle for longer are closed: a device on the path may have dropped their
/// state.
constexpr duration max_idle_time = std::chrono::seconds(4);
/// Maximum number of idle connections kept per address.
constexpr std::size_t max_idle_connections = 1024;

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
