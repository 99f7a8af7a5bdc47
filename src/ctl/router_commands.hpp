#pragma once

#include "ctl/commands.hpp"

#include <string>
#include <vector>

namespace poplardrift::ctl
{

/// Options of the commands that query routers on the users' platform and their logs.
struct router_options
{
    std::vector<std::string> router_addresses; ///< ADDRESS:PORT of readiness or metrics endpoints
    std::string host_name;                     ///< value of the request's Host header
    std::string path;
    std::vector<std::string> fields; ///< header fields of the request, as "Name: value"
    std::string request_id;
    std::vector<std::string> log_files;
    bool json = false;
};

/// Prints the status of each router. `unreachable` unless all of them respond.
[[nodiscard]] auto run_router_status(const router_options& options) -> exit_code;
/// Prints which upstream the first router would choose for a request now, and why. `refused` when
/// the request would not be placed.
[[nodiscard]] auto run_router_explain(const router_options& options) -> exit_code;
/// Prints the log lines of one request, and those about its upstreams, from the logs of several
/// hosts.
[[nodiscard]] auto run_trace(const router_options& options) -> exit_code;

} // namespace poplardrift::ctl
