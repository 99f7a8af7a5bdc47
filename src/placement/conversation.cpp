#include "poplardrift/placement/conversation.hpp"

#include "poplardrift/base/crypto.hpp"
#include "poplardrift/base/json_text.hpp"

#include <charconv>

namespace poplardrift
{

namespace
{

/// Length of the truncated HMAC of a hint, in hex digits.
constexpr std::size_t mac_digits = 16;
constexpr std::size_t upstream_digits = 8;

auto string_member(const nlohmann::json& body, const char* name) -> std::string
{
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : "";
}

/// Concatenates the messages up to and including the first user message.
auto opening_messages(const nlohmann::json& body) -> std::string
{
    std::string text;
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array())
    {
        return text;
    }
    for (const auto& message : *messages)
    {
        text += to_json_text(message);
        if (message.is_object() && string_member(message, "role") == "user")
        {
            break;
        }
    }
    return text;
}

auto hint_mac(std::string_view upstream, conversation_id conversation, std::string_view secret)
    -> std::string
{
    const auto message =
        "hint:" + std::string(upstream) + ":" + std::to_string(conversation.value());
    return to_hex(hmac_sha256(secret, message)).substr(0, mac_digits);
}

} // namespace

auto identify_conversation(workspace_id workspace, std::string_view header,
                           const nlohmann::json& body) -> conversation_id
{
    std::string text(header);
    if (text.empty())
    {
        text = string_member(body, "prompt_cache_key");
    }
    if (text.empty())
    {
        text = string_member(body, "user");
    }
    if (text.empty())
    {
        text = opening_messages(body);
    }
    // Zero is reserved for "no conversation".
    return conversation_id{hash_bytes_64(text, workspace.value()) | 1U};
}

auto format_affinity_hint(conversation_id conversation, upstream_id upstream,
                          std::string_view host_secret) -> std::string
{
    std::string digits(upstream_digits, '0');
    char buffer[upstream_digits + 1] = {};
    const auto end = std::to_chars(buffer, buffer + upstream_digits, upstream.value(), 16).ptr;
    const std::string_view number(buffer, static_cast<std::size_t>(end - buffer));
    digits.replace(digits.size() - number.size(), number.size(), number);
    return digits + hint_mac(digits, conversation, host_secret);
}

auto parse_affinity_hint(std::string_view text, conversation_id conversation,
                         std::string_view host_secret) -> std::optional<upstream_id>
{
    if (text.size() != upstream_digits + mac_digits)
    {
        return std::nullopt;
    }
    const auto digits = text.substr(0, upstream_digits);
    if (!equal_constant_time(hint_mac(digits, conversation, host_secret),
                             text.substr(upstream_digits)))
    {
        return std::nullopt;
    }
    std::uint32_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return upstream_id{value};
}

} // namespace poplardrift
