#pragma once

#include "poplardrift/base/outcome.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace poplardrift
{

/// Collects from the logs of several hosts, in the order of time, the lines of one request, and
/// what the hosts came to believe meanwhile of the upstreams that those lines name. Lines that are
/// not JSON objects are passed over. Fails when a file cannot be read.
[[nodiscard]] auto trace_request(const std::string& request, const std::vector<std::string>& files)
    -> outcome<std::vector<nlohmann::json>>;

/// One line of a log for people: time, host and event first, then the other fields.
[[nodiscard]] auto to_trace_text(const nlohmann::json& line) -> std::string;

} // namespace poplardrift
