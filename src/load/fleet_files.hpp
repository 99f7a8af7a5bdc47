#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace poplardrift::load
{

/// Options of `prepare`.
struct prepare_options
{
    std::string fleet_file; ///< description of hosts, zones, engines, services, workspaces
    std::string folder;     ///< where the files go
    std::string placement = "affinity_within_bounds";
    int hosts = 0;   ///< more hosts than described; 0: as described
    int network = 1; ///< addresses are 127.NETWORK.x.y, so that fleets can stand side by side
};

/// Writes what a fleet needs to run on one machine: settings for each host and for the stand-ins,
/// declarations, a key, and `client.json` for the load tool. False when something cannot be
/// written.
[[nodiscard]] auto prepare_fleet(const prepare_options& options) -> bool;

} // namespace poplardrift::load
