#pragma once

#include "load/recorder.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace poplardrift::load
{

/// Writes an HTML page with the run's figures and plots (SVG inside) that a person can look at.
auto write_report(const std::string& path, const nlohmann::json& results, const recorder& samples)
    -> bool;

} // namespace poplardrift::load
