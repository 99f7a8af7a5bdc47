#pragma once

#include "poplardrift/base/ids.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace poplardrift
{

/// Identifies a chat's conversation within its workspace: by the caller's header if there is one,
/// else by `prompt_cache_key`, else by `user`, else by the messages up to the first one of the
/// user, which stay the same as the conversation grows.
[[nodiscard]] auto identify_conversation(workspace_id workspace, std::string_view header,
                                         const nlohmann::json& body) -> conversation_id;

/// An opaque value that tells where a conversation last ran; callers may echo it.
[[nodiscard]] auto format_affinity_hint(conversation_id conversation, upstream_id upstream,
                                        std::string_view host_secret) -> std::string;
/// The upstream; nothing when the hint is malformed, not authentic or of another conversation.
[[nodiscard]] auto parse_affinity_hint(std::string_view text, conversation_id conversation,
                                       std::string_view host_secret) -> std::optional<upstream_id>;

} // namespace poplardrift
