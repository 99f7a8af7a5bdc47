#pragma once

#include "load/recorder.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace poplardrift::load
{

/// Writes a self-contained HTML page with the results of a run, its events and plots over time
/// (inline SVG). Returns false when the file cannot be written.
auto write_report(const std::string& path, const nlohmann::json& results, const recorder& samples)
    -> bool;

} // namespace poplardrift::load
