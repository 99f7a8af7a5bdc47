#pragma once

#include "poplardrift/base/outcome.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/placement/routing_view.hpp"

#include <httplib.h>

#include <memory>
#include <string>

namespace poplardrift
{

/// Execution state of a request, as reported to the caller.
enum class request_outcome : std::uint8_t
{
    done,
    not_run, ///< did not run and will not
    unknown, ///< may have run
};

[[nodiscard]] auto to_text(request_outcome value) -> std::string_view;

/// An error response in problem details format (RFC 9457).
struct problem
{
    int status = 500;
    std::string title;
    std::string detail;
    request_outcome outcome = request_outcome::not_run;
    int retry_after_seconds = 0; ///< 0: a retry does not help, no Retry-After header
};

/// A caller's request with its route, workspace, deadline and priority.
struct caller_request
{
    std::string id; ///< in responses and log events
    request_id numeric_id;
    std::shared_ptr<const routing_view> view;
    const route_view* route = nullptr;
    const workspace_view* workspace = nullptr;
    std::string api_key;
    time_point arrived{};
    time_point deadline{};
    std::int32_t priority = 0;
};

/// Sets the response to a problem.
auto reply_problem(httplib::Response& response, const problem& error, const std::string& id)
    -> void;

/// Returns the problem details as JSON.
[[nodiscard]] auto problem_to_json(const problem& error, const std::string& id) -> nlohmann::json;

/// Returns the name of a header that occurs more than once although it may occur only once; empty
/// when there is none.
[[nodiscard]] auto find_repeated_header(const httplib::Request& request)
    -> std::optional<std::string>;

/// Sets deadline and priority of `target` from the headers. Returns a problem when a header is
/// invalid.
[[nodiscard]] auto read_request_headers(const httplib::Request& request, caller_request& target)
    -> std::optional<problem>;

/// Returns the API key of a request: bearer token or `x-api-key`; empty when there is none.
[[nodiscard]] auto api_key_of(const httplib::Request& request) -> std::string;

} // namespace poplardrift
