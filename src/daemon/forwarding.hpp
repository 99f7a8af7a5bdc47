#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift
{

/// Data that a host sends with a request that it forwards to the owner of an upstream.
struct forwarded_request
{
    upstream_id upstream;
    conversation_id conversation;
    std::string request; ///< request id assigned by the host that received it from the caller
};

/// Value of the `x-poplardrift-via` header, authenticated with the secret shared by the hosts.
[[nodiscard]] auto format_via(const forwarded_request& item, std::string_view host_secret)
    -> std::string;
/// Empty when the value is malformed or its MAC is wrong.
[[nodiscard]] auto parse_via(std::string_view text, std::string_view host_secret)
    -> std::optional<forwarded_request>;

/// A host's load in one pool, sent in a header of forwarded requests and of their answers.
struct relayed_load
{
    host_id host;
    pool_load load;
    std::uint32_t age_ms = 0; ///< age of the information
};

/// Value of the `x-poplardrift-load` header: the sender's own load and the loads it has received
/// from other hosts.
[[nodiscard]] auto format_loads(const std::vector<relayed_load>& items) -> std::string;
/// Skips malformed items.
[[nodiscard]] auto parse_loads(std::string_view text) -> std::vector<relayed_load>;

} // namespace poplardrift
