#pragma once

#include "http/message.hpp"

#include <string>

namespace poplardrift::traffic
{

class traffic_service;

inline constexpr std::string_view status_page = "/status";
/// Followed by the path of a request; the fields of the question are those of the request.
inline constexpr std::string_view explain_page = "/explain";

/// What this host believes: configuration, bounds, and each upstream with what was seen of it.
/// JSON. Traffic thread.
[[nodiscard]] auto render_status(const traffic_service& service) -> std::string;
/// Where a request with this head would go now, and what decides. JSON. Traffic thread.
[[nodiscard]] auto explain_request(const traffic_service& service, const http::request_head& head)
    -> std::string;

} // namespace poplardrift::traffic
