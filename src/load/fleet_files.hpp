#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace poplardrift::load
{

/// Options of the subcommand `prepare`.
struct prepare_options
{
    std::string fleet_file; ///< describes hosts, zones, engines, services and workspaces as JSON
    std::string folder;     ///< output folder
    std::string placement = "affinity_within_bounds";
    int hosts = 0;   ///< number of hosts; 0: as many as described
    int network = 1; ///< addresses are 127.NETWORK.x.y, so that several fleets can run at once
};

/// Writes the files that a fleet needs to run on one machine: settings of each host and of the
/// emulator, declarations, the fleet's private key, and `client.json` for the load tool. Returns
/// false when the fleet file is not a JSON object or a file cannot be written.
[[nodiscard]] auto prepare_fleet(const prepare_options& options) -> bool;

} // namespace poplardrift::load
