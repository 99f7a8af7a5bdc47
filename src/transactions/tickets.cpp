#include "poplardrift/transactions/tickets.hpp"

#include "poplardrift/base/crypto.hpp"

#include <array>
#include <charconv>

namespace poplardrift
{

namespace
{

constexpr std::string_view ticket_prefix = "pdt1.";
/// Hex digits of the HMAC in a ticket.
constexpr std::size_t mac_digits = 24;
constexpr std::size_t numeric_field_count = 5;

auto compute_mac(std::string_view body, std::string_view secret) -> std::string
{
    return to_hex(hmac_sha256(secret, body)).substr(0, mac_digits);
}

/// Parses exactly `numeric_field_count` dot-separated hexadecimal numbers.
auto parse_numbers(std::string_view text)
    -> std::optional<std::array<std::uint64_t, numeric_field_count>>
{
    std::array<std::uint64_t, numeric_field_count> numbers{};
    for (auto& number : numbers)
    {
        const auto end = std::min(text.find('.'), text.size());
        const auto* last = text.data() + end;
        const auto result = std::from_chars(text.data(), last, number, 16);
        if (result.ec != std::errc{} || result.ptr != last)
        {
            return std::nullopt;
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return text.empty() ? std::optional(numbers) : std::nullopt;
}

auto hex_number(std::uint64_t value) -> std::string
{
    std::array<char, 17> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, 16);
    return {buffer.data(), result.ptr};
}

} // namespace

auto format_ticket(const ticket& item, std::string_view host_secret) -> std::string
{
    auto body = std::string(ticket_prefix) + hex_number(item.host.value()) + "." +
                hex_number(item.incarnation.value()) + "." + hex_number(item.number) + "." +
                hex_number(static_cast<std::uint64_t>(item.issued_seconds)) + "." +
                hex_number(item.workspace.value());
    return body + "." + compute_mac(body, host_secret);
}

auto looks_like_ticket(std::string_view text) -> bool
{
    return text.starts_with(ticket_prefix);
}

auto parse_ticket(std::string_view text, std::string_view host_secret) -> std::optional<ticket>
{
    const auto dot = text.rfind('.');
    if (!looks_like_ticket(text) || dot == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto body = text.substr(0, dot);
    if (!equal_constant_time(compute_mac(body, host_secret), text.substr(dot + 1)))
    {
        return std::nullopt;
    }
    const auto numbers = parse_numbers(body.substr(ticket_prefix.size()));
    if (!numbers)
    {
        return std::nullopt;
    }
    return ticket{host_id{static_cast<std::uint32_t>((*numbers)[0])}, incarnation_id{(*numbers)[1]},
                  (*numbers)[2], static_cast<std::int64_t>((*numbers)[3]),
                  workspace_id{static_cast<std::uint32_t>((*numbers)[4])}};
}

} // namespace poplardrift
