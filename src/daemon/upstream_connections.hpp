#pragma once

#include "poplardrift/base/time.hpp"
#include "poplardrift/placement/routing_view.hpp"

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace poplardrift
{

/// A connection to an upstream, used exclusively by one exchange.
struct upstream_connection
{
    std::unique_ptr<httplib::Client> client;
    std::string key;     ///< address and port
    bool reused = false; ///< carried an exchange before; the peer may have closed it since
};

/// Timeouts of one exchange.
struct exchange_timeouts
{
    duration connect = std::chrono::seconds(1);
    duration progress = std::chrono::seconds(5); ///< for each read or write
};

/// Keep-alive connections to upstreams and other hosts. A connection is returned only after a
/// complete exchange; after a timeout, a cancellation or an error it is closed instead.
/// Thread-safe.
class upstream_connections final
{
public:
    /// `source` is the local IP address to which connections are bound.
    explicit upstream_connections(std::string source) : source(std::move(source)) {}

    /// Returns an idle connection, or one that connects at its first use. With `dial_new`, always
    /// the latter.
    [[nodiscard]] auto take_connection(const std::string& address, std::uint16_t port,
                                       const exchange_timeouts& timeouts, bool dial_new)
        -> upstream_connection;
    /// Keeps the connection for the next exchange, or closes it when enough are idle.
    auto return_connection(upstream_connection connection) -> void;

private:
    struct idle_connection
    {
        std::unique_ptr<httplib::Client> client;
        time_point idle_since{};
    };

    std::string source;
    std::mutex mutex;
    std::map<std::string, std::vector<idle_connection>> idle;
};

/// True when the error proves that no byte of the request was sent.
[[nodiscard]] auto proves_request_not_sent(httplib::Error error) -> bool;

} // namespace poplardrift
