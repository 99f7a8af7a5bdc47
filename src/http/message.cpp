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

auto is_name_before(std::string_view left, std::string_view right) -> bool
{
    return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(),
                                        [](char a, char b) { return to_lower(a) < to_lower(b); });
}

auto is_always_hop_by_hop(std::string_view name) -> bool
{
    static constexpr std::array<std::string_view, 10> names = {
        "Connection", "Keep-Alive",    "Proxy-Connection",  "Proxy-Authenticate",
        "TE",         "Trailer",       "Transfer-Encoding", "Upgrade",
        "Expect",     "Content-Length"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view known) { return equal_names(known, name); });
}

/// Calls `visit` for each element of a comma-separated value.
template <class Visitor>
auto for_each_token(std::string_view value, const Visitor& visit) -> void
{
    while (!value.empty())
    {
        const auto element = value.substr(0, value.find(','));
        visit(trimmed(element));
        value.remove_prefix(std::min(element.size() + 1, value.size()));
    }
}

} // namespace

auto equal_names(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return to_lower(a) == to_lower(b); });
}

auto header_list::add(std::string_view name, std::string_view value) -> void
{
    this->fields.push_back({static_cast<std::uint32_t>(this->text.size()),
                            static_cast<std::uint32_t>(name.size()),
                            static_cast<std::uint32_t>(value.size())});
    this->text.append(name).append(value);
}

auto header_list::at(std::size_t position) const -> header_field
{
    const auto& field = this->fields[position];
    const auto both = std::string_view(this->text).substr(field.begin);
    return {both.substr(0, field.name_size), both.substr(field.name_size, field.value_size)};
}

auto header_list::find(std::string_view name) const -> std::optional<std::string_view>
{
    for (const auto& field : *this)
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
    return static_cast<std::size_t>(std::count_if(this->begin(), this->end(),
                                                  [&](const header_field& field)
                                                  { return equal_names(field.name, name); }));
}

auto header_list::allocated_bytes() const -> std::size_t
{
    return this->text.capacity() + this->fields.capacity() * sizeof(extent);
}

auto memory_of(const std::string& text) -> std::size_t
{
    constexpr std::size_t page_bytes = 4096;
    return text.capacity() < min_mapped_bytes
               ? text.capacity()
               : (text.size() + page_bytes - 1) / page_bytes * page_bytes;
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

hop_by_hop_fields::hop_by_hop_fields(const header_list& fields)
{
    for (const auto& field : fields)
    {
        if (!equal_names(field.name, "Connection"))
        {
            continue;
        }
        for_each_token(field.value,
                       [&](std::string_view token)
                       {
                           // The usual tokens need no entry, so most messages allocate nothing.
                           if (!equal_names(token, "close") && !is_always_hop_by_hop(token))
                           {
                               this->named.push_back(token);
                           }
                       });
    }
    std::sort(this->named.begin(), this->named.end(), is_name_before);
}

auto hop_by_hop_fields::contains(std::string_view name) const -> bool
{
    return is_always_hop_by_hop(name) ||
           std::binary_search(this->named.begin(), this->named.end(), name, is_name_before);
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
