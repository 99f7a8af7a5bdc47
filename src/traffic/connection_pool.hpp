#pragma once

#include "http/upstream_connection.hpp"
#include "routing/upstream_state.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

namespace poplardrift::traffic
{

using connection_ptr = std::shared_ptr<http::upstream_connection>;

/// Keeps idle connections for reuse, by upstream. Streams detect the close of an idle connection,
/// so `take` rarely returns a closed one. Single-threaded.
class connection_pool final
{
public:
    /// Returns the most recently used connection idle for at most `max_idle`; null if none.
    [[nodiscard]] auto take(routing::upstream_state_id upstream, time_point now, duration max_idle)
        -> connection_ptr;
    /// Stores a connection whose response has ended, unless it is not reusable.
    auto put_back(routing::upstream_state_id upstream, connection_ptr connection, time_point now)
        -> void;
    /// Closes connections that exceed their idle limit.
    auto close_expired(time_point now) -> void;
    /// Closes the connection that has been idle for longest; false if there is none.
    auto close_oldest() -> bool;
    /// Closes all idle connections to an upstream.
    auto close_all(routing::upstream_state_id upstream) -> void;

private:
    struct idle_connection
    {
        connection_ptr connection;
        time_point since;
        time_point until;
    };

    absl::flat_hash_map<routing::upstream_state_id, std::vector<idle_connection>> idle;
};

} // namespace poplardrift::traffic
