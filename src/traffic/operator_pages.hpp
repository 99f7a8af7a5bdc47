#pragma once

#include "http/message.hpp"

#include <string>

namespace poplardrift::traffic
{

class traffic_service;

inline constexpr std::string_view status_page = "/status";
/// Prefix of the target; the path to explain follows. The request's header fields are evaluated as
/// those of the explained request.
inline constexpr std::string_view explain_page = "/explain";

/// JSON page with this host's readiness, configuration, zones taken out and the state of each
/// upstream. Traffic thread.
[[nodiscard]] auto render_status(const traffic_service& service) -> std::string;
/// JSON page with the placement that a request with this head would get now, and the verdict and
/// cost of each candidate. Traffic thread.
[[nodiscard]] auto explain_request(const traffic_service& service, const http::request_head& head)
    -> std::string;

} // namespace poplardrift::traffic
