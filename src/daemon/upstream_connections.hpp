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

/// A connection to an upstream, for one exchange.
struct upstream_connection
{
    std::unique_ptr<httplib::Client> client;
    std::string key;
    bool reused = false; ///< it has carried an exchange before, and may have gone stale
};

/// Time-outs of one exchange.
struct exchange_timeouts
{
    duration connect = std::chrono::seconds(1);
    duration progress = std::chrono::seconds(5); ///< between two pieces of the answer
};

/// Open connections to upstreams. A connection is given back only after a whole exchange: one that
/// had a time-out, a cancel or any fault is closed and never used again. Any thread.
class upstream_connections final
{
public:
    /// `source` is the IP number that connections come from.
    explicit upstream_connections(std::string source) : source(std::move(source)) {}

    /// An open connection, or one that dials when it is first used. With `fresh`, always the
    /// latter.
    [[nodiscard]] auto take_connection(const std::string& address, std::uint16_t port,
                                       const exchange_timeouts& timeouts, bool dial_new)
        -> upstream_connection;
    /// Keeps the connection for the next exchange.
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

/// True when the error proves that no byte of the request has left for the upstream.
[[nodiscard]] auto proves_request_not_sent(httplib::Error error) -> bool;

} // namespace poplardrift
