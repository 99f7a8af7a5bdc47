#pragma once

#include "poplardrift/base/ids.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace poplardrift
{

/// Derives the conversation id of a chat request within its workspace. Hashes the first of these
/// that is not empty: the caller's header, `prompt_cache_key`, `user`, and the messages up to and
/// including the first user message, which do not change as the conversation grows.
[[nodiscard]] auto identify_conversation(workspace_id workspace, std::string_view header,
                                         const nlohmann::json& body) -> conversation_id;

/// Formats an opaque, authenticated token that names the upstream of the last request of a
/// conversation. Callers may send it back with their next request.
[[nodiscard]] auto format_affinity_hint(conversation_id conversation, upstream_id upstream,
                                        std::string_view host_secret) -> std::string;
/// Returns the upstream; empty if the hint is malformed, not authentic or for another conversation.
[[nodiscard]] auto parse_affinity_hint(std::string_view text, conversation_id conversation,
                                       std::string_view host_secret) -> std::optional<upstream_id>;

} // namespace poplardrift
