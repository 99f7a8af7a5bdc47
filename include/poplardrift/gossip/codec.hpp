#pragma once

#include "poplardrift/base/outcome.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <string>
#include <string_view>

namespace poplardrift
{

/// Encodes a message as MessagePack, followed by a truncated HMAC-SHA-256 under the hosts' shared
/// secret. Linear in the size of the message.
[[nodiscard]] auto encode_message(const peer_message& message, std::string_view host_secret)
    -> std::string;

/// Authenticates and decodes a message. Fails with the reason for bytes that are too short, not
/// authentic or malformed.
[[nodiscard]] auto decode_message(std::string_view bytes, std::string_view host_secret)
    -> outcome<peer_message>;

} // namespace poplardrift
