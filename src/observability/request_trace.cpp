#include "observability/request_trace.hpp"
#include "poplardrift/base/json_text.hpp"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <functional>
#include <limits>
#include <set>

namespace poplardrift
{

namespace
{

using nlohmann::json;

/// Events about an upstream are included from `look_back_ms` before the request's first line, as
/// they may have affected it, to `look_ahead_ms` after its last line.
constexpr std::int64_t look_back_ms = 5'000;
constexpr std::int64_t look_ahead_ms = 1'000;

/// Calls the handler for each line with a JSON object; fails when a file cannot be opened.
auto for_each_line(const std::vector<std::string>& files,
                   const std::function<void(const json&)>& handler) -> outcome<bool>
{
    for (const auto& file : files)
    {
        std::ifstream stream(file);
        if (!stream)
        {
            return outcome<bool>::failure("cannot open " + file);
        }
        for (std::string text; std::getline(stream, text);)
        {
            // Log collectors may prefix the JSON object with text.
            const auto begin = text.find('{');
            const auto line = begin == std::string::npos
                                  ? json()
                                  : json::parse(text.substr(begin), nullptr, false);
            if (line.is_object())
            {
                handler(line);
            }
        }
    }
    return true;
}

auto time_of(const json& line) -> std::int64_t
{
    const auto found = line.find("time_ms");
    return found != line.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

auto text_of(const json& line, const char* name) -> std::string
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

auto trace_request(const std::string& request, const std::vector<std::string>& files)
    -> outcome<std::vector<json>>
{
    std::vector<json> lines;
    std::set<std::string> upstreams;
    auto first_ms = std::numeric_limits<std::int64_t>::max();
    auto last_ms = std::numeric_limits<std::int64_t>::min();
    auto read = for_each_line(files,
                              [&](const json& line)
                              {
                                  if (text_of(line, "request") != request)
                                  {
                                      return;
                                  }
                                  lines.push_back(line);
                                  upstreams.insert(text_of(line, "upstream"));
                                  first_ms = std::min(first_ms, time_of(line));
                                  last_ms = std::max(last_ms, time_of(line));
                              });
    upstreams.erase("");
    if (read && !lines.empty())
    {
        read = for_each_line(files,
                             [&](const json& line)
                             {
                                 const auto time = time_of(line);
                                 const auto is_in_window = time >= first_ms - look_back_ms &&
                                                           time <= last_ms + look_ahead_ms;
                                 if (is_in_window && !line.contains("request") &&
                                     upstreams.contains(text_of(line, "upstream")))
                                 {
                                     lines.push_back(line);
                                 }
                             });
    }
    if (!read)
    {
        return outcome<std::vector<json>>::failure(read.failure_reason());
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const json& left, const json& right)
                     { return time_of(left) < time_of(right); });
    return lines;
}

auto to_trace_text(const json& line) -> std::string
{
    auto text =
        std::to_string(time_of(line)) + " " + text_of(line, "host") + " " + text_of(line, "name");
    for (const auto& [name, value] : line.items())
    {
        if (name != "time_ms" && name != "host" && name != "name" && name != "event")
        {
            text += " " + name + "=" +
                    (value.is_string() ? value.get<std::string>() : to_json_text(value));
        }
    }
    return text;
}

} // namespace poplardrift
