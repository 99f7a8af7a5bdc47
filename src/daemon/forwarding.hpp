#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift
{

/// What a host tells an upstream's owner about a request that it forwards to it.
struct forwarded_request
{
    upstream_id upstream;
    conversation_id conversation;
    std::string request; ///< id that the request has at the first host
};

/// Value of the `x-poplardrift-via` header, authenticated by the hosts' secret.
[[nodiscard]] auto format_via(const forwarded_request& item, std::string_view host_secret)
    -> std::string;
/// Nothing when the value is malformed or not authentic.
[[nodiscard]] auto parse_via(std::string_view text, std::string_view host_secret)
    -> std::optional<forwarded_request>;

/// A host's load in one pool, told along with forwarded requests and their answers.
struct relayed_load
{
    host_id host;
    pool_load load;
    std::uint32_t age_ms = 0; ///< how old the word is
};

/// Value of the `x-poplardrift-load` header: the sender's own load and what it knows of others.
[[nodiscard]] auto format_loads(const std::vector<relayed_load>& items) -> std::string;
/// Leaves out what is malformed.
[[nodiscard]] auto parse_loads(std::string_view text) -> std::vector<relayed_load>;

} // namespace poplardrift
