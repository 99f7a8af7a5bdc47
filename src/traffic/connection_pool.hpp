#pragma once

#include "http/upstream_connection.hpp"
#include "routing/upstream_state.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

namespace poplardrift::traffic
{

using connection_ptr = std::shared_ptr<http::upstream_connection>;

/// Idle connections to upstreams, by upstream. Idle connections are watched by their streams, so
/// one that was closed is seldom handed out. One thread.
class connection_pool final
{
public:
    /// A connection that has idled no longer than `max_idle`, the freshest first; null if none.
    [[nodiscard]] auto take(const routing::upstream_state* upstream, time_point now,
                            duration max_idle) -> connection_ptr;
    /// Keeps a connection whose answer has ended, unless it may not be used again.
    auto put_back(const routing::upstream_state* upstream, connection_ptr connection,
                  time_point now) -> void;
    /// Closes what has idled too long.
    auto close_expired(time_point now) -> void;
    /// Closes all idle connections to an upstream.
    auto close_all(const routing::upstream_state* upstream) -> void;

private:
    struct idle_connection
    {
        connection_ptr connection;
        time_point since;
        time_point until;
    };

    absl::flat_hash_map<const routing::upstream_state*, std::vector<idle_connection>> idle;
};

} // namespace poplardrift::traffic
