#include "daemon/forwarding.hpp"

#include "poplardrift/base/crypto.hpp"

#include <charconv>

namespace poplardrift
{

namespace
{

/// Length of the truncated MAC in hexadecimal digits.
constexpr std::size_t mac_digits = 24;

auto make_mac(std::string_view body, std::string_view secret) -> std::string
{
    return to_hex(hmac_sha256(secret, "via:" + std::string(body))).substr(0, mac_digits);
}

/// Removes and returns the text up to the next dot.
auto take_field(std::string_view& rest) -> std::string_view
{
    const auto end = std::min(rest.find('.'), rest.size());
    const auto field = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return field;
}

/// Removes the next field and returns it as a number; empty when it is not one.
auto take_number(std::string_view& rest) -> std::optional<std::uint64_t>
{
    const auto field = take_field(rest);
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(field.data(), field.data() + field.size(), value);
    const auto is_number = parsed.ec == std::errc{} && parsed.ptr == field.data() + field.size();
    return is_number ? std::optional(value) : std::nullopt;
}

} // namespace

auto format_via(const forwarded_request& item, std::string_view host_secret) -> std::string
{
    const auto body = std::to_string(item.upstream.value()) + "." +
                      std::to_string(item.conversation.value()) + "." + item.request;
    return make_mac(body, host_secret) + "." + body;
}

auto parse_via(std::string_view text, std::string_view host_secret)
    -> std::optional<forwarded_request>
{
    auto rest = text;
    const auto mac = take_field(rest);
    if (!equal_constant_time(mac, make_mac(rest, host_secret)))
    {
        return std::nullopt;
    }
    const auto upstream = take_number(rest);
    const auto conversation = take_number(rest);
    if (!upstream || !conversation)
    {
        return std::nullopt;
    }
    return forwarded_request{upstream_id{static_cast<std::uint32_t>(*upstream)},
                             conversation_id{*conversation}, std::string(rest)};
}

auto format_loads(const std::vector<relayed_load>& items) -> std::string
{
    std::string text;
    for (const auto& item : items)
    {
        text += (text.empty() ? "" : ";") + std::to_string(item.host.value()) + "." +
                std::to_string(item.load.pool.value()) + "." + std::to_string(item.load.warm) +
                "." + std::to_string(item.load.all) + "." + std::to_string(item.age_ms);
    }
    return text;
}

auto parse_loads(std::string_view text) -> std::vector<relayed_load>
{
    const auto narrow = [](std::uint64_t value) { return static_cast<std::uint32_t>(value); };
    std::vector<relayed_load> result;
    while (!text.empty())
    {
        const auto end = std::min(text.find(';'), text.size());
        auto rest = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto host = take_number(rest);
        const auto pool = take_number(rest);
        const auto warm = take_number(rest);
        const auto all = take_number(rest);
        const auto age = take_number(rest);
        if (host && pool && warm && all && age)
        {
            result.push_back({host_id{narrow(*host)},
                              {pool_id{narrow(*pool)}, narrow(*warm), narrow(*all)},
                              narrow(*age)});
        }
    }
    return result;
}

} // namespace poplardrift
