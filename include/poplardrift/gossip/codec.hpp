#pragma once

#include "poplardrift/base/outcome.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <string>
#include <string_view>

namespace poplardrift
{

/// Encodes a message as MessagePack, followed by a truncated HMAC under the hosts' secret.
/// Pure function; cost is linear in the message.
[[nodiscard]] auto encode_message(const peer_message& message, std::string_view host_secret)
    -> std::string;

/// Decodes and authenticates. The reason tells what was wrong with the bytes.
[[nodiscard]] auto decode_message(std::string_view bytes, std::string_view host_secret)
    -> outcome<peer_message>;

} // namespace poplardrift
