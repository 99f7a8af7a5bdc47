#include "load/report.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace poplardrift::load
{

namespace
{

constexpr double plot_width = 900;
constexpr double plot_height = 220;
constexpr double margin = 50;

/// A line of a plot. Points are pairs of seconds since the start of the run and a value.
struct plot_line
{
    std::string name;
    std::vector<std::pair<double, double>> points;
};

auto escape(const std::string& text) -> std::string
{
    std::string result;
    for (const auto character : text)
    {
        result += character == '<'   ? "&lt;"
                  : character == '&' ? "&amp;"
                  : character == '>' ? "&gt;"
                                     : std::string(1, character);
    }
    return result;
}

auto color_of(std::size_t index) -> std::string
{
    return "hsl(" + std::to_string(index * 47 % 360) + ",65%,42%)";
}

/// Renders a plot as inline SVG; `events` become vertical dashed lines with tooltips.
auto render_plot(const std::string& title, const std::vector<plot_line>& lines,
                 const std::vector<std::pair<double, std::string>>& events) -> std::string
{
    double max_x = 1;
    double max_y = 1e-9;
    for (const auto& line : lines)
    {
        for (const auto& [x, y] : line.points)
        {
            max_x = std::max(max_x, x);
            max_y = std::max(max_y, y);
        }
    }
    const auto to_x = [&](double x) { return margin + x / max_x * (plot_width - 2 * margin); };
    const auto to_y = [&](double y) { return plot_height - 30 - y / max_y * (plot_height - 60); };
    std::ostringstream out;
    out << "<h3>" << escape(title) << "</h3><svg width='" << plot_width << "' height='"
        << plot_height << "' style='background:#fafafa'>";
    for (const auto& [seconds, description] : events)
    {
        out << "<line x1='" << to_x(seconds) << "' x2='" << to_x(seconds) << "' y1='20' y2='"
            << plot_height - 30 << "' stroke='#c33' stroke-dasharray='3'><title>"
            << escape(description) << "</title></line>";
    }
    for (std::size_t index = 0; index < lines.size(); ++index)
    {
        out << "<polyline fill='none' stroke='" << color_of(index) << "' points='";
        for (const auto& [x, y] : lines[index].points)
        {
            out << to_x(x) << "," << to_y(y) << " ";
        }
        out << "'><title>" << escape(lines[index].name) << "</title></polyline>";
    }
    out << "<text x='4' y='" << to_y(max_y) + 4 << "' font-size='11'>" << max_y
        << "</text><text x='4' y='" << to_y(0) << "' font-size='11'>0</text>"
        << "<text x='" << plot_width - margin << "' y='" << plot_height - 10 << "' font-size='11'>"
        << max_x << " s</text></svg>";
    return out.str();
}

auto chats_per_second(const recorder& samples) -> std::vector<plot_line>
{
    std::map<int, double> done;
    std::map<int, double> not_done;
    for (const auto& sample : samples.chats())
    {
        const auto second = static_cast<int>(sample.at_seconds);
        done[second] += sample.end == request_end::done ? 1 : 0;
        not_done[second] += sample.end == request_end::done ? 0 : 1;
    }
    return {{"done", {done.begin(), done.end()}}, {"not done", {not_done.begin(), not_done.end()}}};
}

/// Percentiles of the time to first token of completed chats, by second of the run.
auto first_token_times(const recorder& samples) -> std::vector<plot_line>
{
    std::map<int, std::vector<double>> by_second;
    for (const auto& sample : samples.chats())
    {
        if (sample.end == request_end::done)
        {
            by_second[static_cast<int>(sample.at_seconds)].push_back(sample.first_token_seconds);
        }
    }
    plot_line median{"median", {}};
    plot_line p95{"p95", {}};
    for (const auto& [second, values] : by_second)
    {
        median.points.emplace_back(second, percentile(values, 0.5));
        p95.points.emplace_back(second, percentile(values, 0.95));
    }
    return {median, p95};
}

auto engine_loads(const recorder& samples) -> std::vector<plot_line>
{
    std::map<std::string, plot_line> lines;
    for (const auto& [seconds, loads] : samples.loads())
    {
        for (const auto& [name, load] : loads)
        {
            lines[name].name = name;
            lines[name].points.emplace_back(seconds, load);
        }
    }
    std::vector<plot_line> result;
    result.reserve(lines.size());
    for (auto& [name, line] : lines)
    {
        result.push_back(std::move(line));
    }
    return result;
}

} // namespace

auto write_report(const std::string& path, const nlohmann::json& results, const recorder& samples)
    -> bool
{
    std::ofstream file(path);
    file << "<!doctype html><meta charset='utf-8'><title>"
         << escape(results.value("experiment", ""))
         << "</title><body style='font-family:sans-serif;max-width:940px;margin:auto'>"
         << "<h1>" << escape(results.value("experiment", "")) << " ("
         << escape(results.value("placement", "")) << ")</h1>"
         << render_plot("Chats per second: completed and not completed", chats_per_second(samples),
                        samples.marks())
         << render_plot("Time to first token in seconds: median and p95",
                        first_token_times(samples), samples.marks())
         << render_plot("Requests in flight per engine", engine_loads(samples), samples.marks())
         << "<h3>Events</h3><ul>";
    for (const auto& [seconds, description] : samples.marks())
    {
        file << "<li>" << seconds << " s: " << escape(description) << "</li>";
    }
    file << "</ul><h3>Results</h3><pre>" << escape(results.dump(2)) << "</pre></body>\n";
    return static_cast<bool>(file);
}

} // namespace poplardrift::load
