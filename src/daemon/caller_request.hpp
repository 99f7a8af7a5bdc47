#pragma once

#include "poplardrift/base/outcome.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/placement/routing_view.hpp"

#include <httplib.h>

#include <memory>
#include <string>

namespace poplardrift
{

/// What a refusal or a failure says about the request.
enum class request_outcome : std::uint8_t
{
    done,
    not_run, ///< it did not run and will not
    unknown, ///< it may have run
};

[[nodiscard]] auto to_text(request_outcome value) -> std::string_view;

/// A refusal or a failure, as problem details (RFC 9457).
struct problem
{
    int status = 500;
    std::string title;
    std::string detail;
    request_outcome outcome = request_outcome::not_run;
    int retry_after_seconds = 0; ///< 0: trying again does not help
};

/// One caller's request with what has been found out about it.
struct caller_request
{
    std::string id; ///< stands in answers and logs
    request_id numeric_id;
    std::shared_ptr<const routing_view> view;
    const route_view* route = nullptr;
    const workspace_view* workspace = nullptr;
    std::string api_key;
    time_point arrived{};
    time_point deadline{};
    std::int32_t priority = 0;
};

/// Writes a problem as the answer.
auto reply_problem(httplib::Response& response, const problem& error, const std::string& id)
    -> void;

/// The problem as a JSON document.
[[nodiscard]] auto problem_to_json(const problem& error, const std::string& id) -> nlohmann::json;

/// Headers of a request that may stand once only, checked; the reason names the one that does not.
[[nodiscard]] auto find_repeated_header(const httplib::Request& request)
    -> std::optional<std::string>;

/// Fills in deadline and priority from headers.
[[nodiscard]] auto read_request_headers(const httplib::Request& request, caller_request& target)
    -> std::optional<problem>;

/// The API key of a request; empty when there is none.
[[nodiscard]] auto api_key_of(const httplib::Request& request) -> std::string;

} // namespace poplardrift
