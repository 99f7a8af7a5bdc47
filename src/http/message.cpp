#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace poplardrift::http
{

namespace
{

auto to_lower(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

auto trimmed(std::string_view text) -> std::string_view
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

auto equal_names(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return to_lower(a) == to_lower(b); });
}

auto header_list::add(std::string_view name, std::string_view value) -> void
{
    this->fields.push_back({std::string(name), std::string(value)});
}

auto header_list::find(std::string_view name) const -> std::optional<std::string_view>
{
    for (const auto& field : this->fields)
    {
        if (equal_names(field.name, name))
        {
            return field.value;
        }
    }
    return std::nullopt;
}

auto header_list::count(std::string_view name) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(this->fields.begin(), this->fields.end(),
                                                  [&](const header_field& field)
                                                  { return equal_names(field.name, name); }));
}

auto has_token(std::string_view value, std::string_view token) -> bool
{
    while (!value.empty())
    {
        const auto comma = value.find(',');
        if (equal_names(trimmed(value.substr(0, comma)), token))
        {
            return true;
        }
        if (comma == std::string_view::npos)
        {
            return false;
        }
        value.remove_prefix(comma + 1);
    }
    return false;
}

auto parse_number(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto [parsed_to, error] = std::from_chars(text.data(), end, number);
    if (text.empty() || error != std::errc{} || parsed_to != end)
    {
        return std::nullopt;
    }
    return number;
}

auto is_hop_by_hop_field(std::string_view name, std::string_view connection) -> bool
{
    static constexpr std::array<std::string_view, 10> names = {
        "Connection", "Keep-Alive",    "Proxy-Connection",  "Proxy-Authenticate",
        "TE",         "Trailer",       "Transfer-Encoding", "Upgrade",
        "Expect",     "Content-Length"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view known) { return equal_names(known, name); }) ||
           has_token(connection, name);
}

auto reason_phrase(int status) -> std::string_view
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Unknown";
    }
}

auto append_field(std::string& out, std::string_view name, std::string_view value) -> void
{
    out.append(name);
    out.append(": ");
    out.append(value);
    out.append("\r\n");
}

auto append_chunk(std::string& out, std::string_view bytes) -> void
{
    if (bytes.empty())
    {
        return;
    }
    std::array<char, 16> size{};
    const auto [end, error] =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    static_cast<void>(error); // 16 hex digits hold any size
    out.append(size.data(), end);
    out.append("\r\n");
    out.append(bytes);
    out.append("\r\n");
}

} // namespace poplardrift::http
