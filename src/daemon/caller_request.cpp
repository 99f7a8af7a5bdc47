#include "daemon/caller_request.hpp"

#include "net/clock.hpp"
#include "poplardrift/base/json_text.hpp"

#include <charconv>

namespace poplardrift
{

namespace
{

constexpr std::int64_t max_deadline_ms = 3'600'000;
/// Headers that may occur only once in a request.
constexpr const char* single_headers[] = {
    "authorization", "x-api-key",         "idempotency-key", "x-deadline-ms",
    "content-type",  "x-conversation-id", "x-priority",      "x-poplardrift-affinity"};

auto bad_request(std::string detail) -> problem
{
    return {400, "Bad request", std::move(detail), request_outcome::not_run, 0};
}

} // namespace

auto to_text(request_outcome value) -> std::string_view
{
    switch (value)
    {
    case request_outcome::done:
        return "done";
    case request_outcome::not_run:
        return "not-run";
    case request_outcome::unknown:
        return "unknown";
    }
    return "";
}

auto problem_to_json(const problem& error, const std::string& id) -> nlohmann::json
{
    return {{"type", "about:blank"},
            {"title", error.title},
            {"status", error.status},
            {"detail", error.detail},
            {"outcome", to_text(error.outcome)},
            {"request_id", id}};
}

auto reply_problem(httplib::Response& response, const problem& error, const std::string& id) -> void
{
    response.status = error.status;
    response.set_header("x-request-id", id);
    if (error.retry_after_seconds > 0)
    {
        response.set_header("Retry-After", std::to_string(error.retry_after_seconds));
    }
    const auto text = to_json_text(problem_to_json(error, id));
    response.set_content(text, "application/problem+json");
}

auto find_repeated_header(const httplib::Request& request) -> std::optional<std::string>
{
    for (const auto* name : single_headers)
    {
        if (request.get_header_value_count(name) > 1)
        {
            return name;
        }
    }
    return std::nullopt;
}

auto read_request_headers(const httplib::Request& request, caller_request& target)
    -> std::optional<problem>
{
    target.deadline = target.arrived + target.route->declared.timeout;
    if (request.has_header("x-deadline-ms"))
    {
        const auto text = request.get_header_value("x-deadline-ms");
        std::int64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        const auto is_valid = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() &&
                              value > 0 && value <= max_deadline_ms;
        if (!is_valid)
        {
            return bad_request(
                "x-deadline-ms: allowed: a whole number of milliseconds from 1 to 3600000");
        }
        target.deadline =
            std::min(target.deadline, target.arrived + std::chrono::milliseconds(value));
    }
    if (request.has_header("x-priority"))
    {
        const auto text = request.get_header_value("x-priority");
        if (text != "high" && text != "normal" && text != "low")
        {
            return bad_request("x-priority: allowed: high, normal, low");
        }
        target.priority = text == "high" ? 1 : text == "low" ? -1 : 0;
    }
    return std::nullopt;
}

auto api_key_of(const httplib::Request& request) -> std::string
{
    const std::string bearer = "Bearer ";
    const auto authorization = request.get_header_value("authorization");
    if (authorization.rfind(bearer, 0) == 0)
    {
        return authorization.substr(bearer.size());
    }
    return request.get_header_value("x-api-key");
}

} // namespace poplardrift
