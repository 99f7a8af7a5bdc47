#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace poplardrift::load
{

/// Options of `streams`.
struct stream_load_options
{
    std::string target;        ///< ADDRESS:PORT
    int streams = 100;         ///< open at once
    int tokens = 200;          ///< events of each answer
    double ramp_seconds = 2.0; ///< over which the streams are opened
    std::string key = "demo";  ///< API key
};

/// Opens many streams at once and measures the time to the first event and between events.
[[nodiscard]] auto run_streams(const stream_load_options& options) -> nlohmann::json;

} // namespace poplardrift::load
