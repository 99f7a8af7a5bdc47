#include "poplardrift/streams/sse_splitter.hpp"

#include <charconv>

namespace poplardrift
{

namespace
{

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

auto sse_splitter::find_event_end() -> std::size_t
{
    constexpr auto npos = std::string_view::npos;
    const std::string_view all(this->buffer);
    // Stops at the first blank line and goes on there, so that each byte is searched once.
    auto line_end = all.find('\n', this->searched);
    while (line_end != npos)
    {
        const auto after = all.substr(line_end + 1);
        if (after.starts_with('\n'))
        {
            return line_end + 2;
        }
        if (after.starts_with("\r\n"))
        {
            return line_end + 3;
        }
        if (after.empty() || after == "\r")
        {
            break; // the next line may turn out to be blank
        }
        line_end = all.find('\n', line_end + 1);
    }
    this->searched = line_end == npos ? all.size() : line_end;
    return npos;
}

auto sse_splitter::next() -> std::optional<sse_event>
{
    const auto end = this->find_event_end();
    if (end == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto raw = std::string_view(this->buffer).substr(this->start, end - this->start);
    this->start = end;
    this->searched = end;
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
