#pragma once

#include "poplardrift/base/outcome.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace poplardrift
{

/// Collects the lines of one request from the logs of several hosts, and the events of the same
/// period that concern the upstreams named in those lines, sorted by time. Lines without a JSON
/// object are skipped. Fails when a file cannot be opened.
[[nodiscard]] auto trace_request(const std::string& request, const std::vector<std::string>& files)
    -> outcome<std::vector<nlohmann::json>>;

/// Formats a log line as text: time, host and event name first, then the other fields.
[[nodiscard]] auto to_trace_text(const nlohmann::json& line) -> std::string;

} // namespace poplardrift
