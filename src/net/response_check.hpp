#pragma once

#include <httplib.h>

#include <string>

namespace poplardrift
{

/// True if the head of a response is one of HTTP/1.1 (RFC 9112, RFC 9110): a final status, names
/// that are tokens, and framing that defines one body. The client library accepts more.
[[nodiscard]] auto has_valid_head(const httplib::Response& response) -> bool;

/// True if a response has come, and its head is valid.
[[nodiscard]] auto has_valid_response(const httplib::Result& result) -> bool;

/// Why there is no valid response. Call if has_valid_response is false.
[[nodiscard]] auto describe_failure(const httplib::Result& result) -> std::string;

} // namespace poplardrift
