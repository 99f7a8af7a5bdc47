#pragma once

#include "router_process.hpp"
#include "scripted_peers.hpp"
#include "store_stand_in.hpp"

#include <vector>

namespace poplardrift::tests
{

/// Largest request that routers of a router_deployment accept.
inline constexpr std::size_t max_body_bytes = 4'194'304;
inline constexpr std::size_t max_header_bytes = 16'384;

/// A router process whose store names these upstreams. Its routes, by the first part of the path:
/// `safe` (idempotent), `once` (non-idempotent) and `stream` (streaming, not resumable). Requests
/// need the fields of `caller_fields`.
class router_deployment final
{
public:
    router_deployment(const std::vector<boost::asio::ip::tcp::endpoint>& upstreams,
                      process_limits limits);

    store_stand_in store;
    router_process router;

private:
    /// The store with the records that the router starts with.
    [[nodiscard]] auto publish(const std::vector<boost::asio::ip::tcp::endpoint>& upstreams)
        -> std::uint16_t;
};

inline const std::string caller_fields =
    "Host: h.example\r\nPoplardrift-Attempt-Id: i\r\nX-Api-Key: k\r\n";

} // namespace poplardrift::tests
