#include "poplardrift/streams/sse_splitter.hpp"

#include <charconv>

namespace poplardrift
{

namespace
{

constexpr std::string_view event_delimiter = "\n\n";

/// Value of a field line such as `data: x`; nullopt when the line has another field.
auto field_value(std::string_view line, std::string_view name) -> std::optional<std::string_view>
{
    if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':')
    {
        return std::nullopt;
    }
    line.remove_prefix(name.size() + 1);
    if (line.starts_with(' '))
    {
        line.remove_prefix(1);
    }
    return line;
}

auto parse_event(std::string_view raw) -> sse_event
{
    sse_event result{raw, {}, std::nullopt};
    auto rest = raw;
    while (!rest.empty())
    {
        const auto end = std::min(rest.find('\n'), rest.size());
        auto line = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        if (const auto data = field_value(line, "data"); data && result.data.empty())
        {
            result.data = *data;
        }
        else if (const auto id = field_value(line, "id"))
        {
            std::uint64_t number = 0;
            const auto parsed = std::from_chars(id->data(), id->data() + id->size(), number);
            if (parsed.ec == std::errc{} && parsed.ptr == id->data() + id->size())
            {
                result.sequence = number;
            }
        }
    }
    return result;
}

} // namespace

auto sse_splitter::feed(std::string_view bytes) -> void
{
    if (this->start > 0)
    {
        // Views into returned events are no longer valid after this call.
        this->buffer.erase(0, this->start);
        this->searched -= this->start;
        this->start = 0;
    }
    this->buffer.append(bytes);
}

auto sse_splitter::next() -> std::optional<sse_event>
{
    const std::string_view all(this->buffer);
    auto from = std::max(this->searched, this->start);
    // The delimiter may begin in bytes searched before. Lines may end with CR LF.
    from = from > this->start + 3 ? from - 3 : this->start;
    auto end = all.find(event_delimiter, from);
    std::size_t delimiter_size = event_delimiter.size();
    const auto crlf_end = all.find("\n\r\n", from);
    if (crlf_end != std::string_view::npos && (end == std::string_view::npos || crlf_end < end))
    {
        end = crlf_end;
        delimiter_size = 3;
    }
    if (end == std::string_view::npos)
    {
        this->searched = all.size();
        return std::nullopt;
    }
    const auto raw = all.substr(this->start, end + delimiter_size - this->start);
    this->start = end + delimiter_size;
    this->searched = this->start;
    return parse_event(raw);
}

auto is_done_event(const sse_event& event) -> bool
{
    return event.data == "[DONE]";
}

auto find_string_member(std::string_view json, std::string_view quoted_name) -> std::string_view
{
    const auto name = json.find(quoted_name);
    if (name == std::string_view::npos)
    {
        return {};
    }
    auto begin = name + quoted_name.size();
    while (begin < json.size() && (json[begin] == ' ' || json[begin] == ':'))
    {
        ++begin;
    }
    if (begin >= json.size() || json[begin] != '"')
    {
        return {};
    }
    ++begin;
    auto end = begin;
    while (end < json.size() && json[end] != '"')
    {
        end += json[end] == '\\' ? 2 : 1;
    }
    return end < json.size() ? json.substr(begin, end - begin) : std::string_view{};
}

} // namespace poplardrift
