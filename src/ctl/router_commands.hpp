#pragma once

#include "ctl/commands.hpp"

#include <string>
#include <vector>

namespace poplardrift::ctl
{

/// What the commands for routers on the users' platform need.
struct router_options
{
    std::vector<std::string>
        router_addresses;  ///< ADDRESS:PORT of hosts' readiness or metrics addresses
    std::string host_name; ///< that the request is meant for
    std::string path;
    std::vector<std::string> fields; ///< "Name: value", as the request would have them
    std::string request_id;
    std::vector<std::string> log_files;
    bool json = false;
};

/// What each host believes, host by host.
[[nodiscard]] auto run_router_status(const router_options& options) -> exit_code;
/// Where the first host would send a request now, and why.
[[nodiscard]] auto run_router_explain(const router_options& options) -> exit_code;
/// One request's way through the logs of several hosts.
[[nodiscard]] auto run_trace(const router_options& options) -> exit_code;

} // namespace poplardrift::ctl
