#pragma once

#include "ctl/admin_client.hpp"
#include "ctl/declaration_folder.hpp"

#include <string>
#include <vector>

namespace poplardrift::ctl
{

/// Exit codes of the tool, as listed in its help text.
enum class exit_code : int
{
    ok = 0,
    refused = 1,         ///< change refused or in conflict, request not placed, or no log lines
    bad_input = 2,       ///< invalid files or arguments
    changes_pending = 3, ///< `plan`, `diff`: the folder differs from the configuration in force
    unreachable = 4,     ///< no host responds
    wait_timed_out = 5,  ///< accepted, but not in force on every host before the wait timed out
};

/// Options of all commands that use the admin API or a folder of declarations.
struct command_options
{
    std::vector<std::string> admin_endpoints; ///< ADDRESS:PORT of admin APIs
    bool json = false;                        ///< machine-readable output
    std::string folder;
    std::string key_file; ///< file with the team's private key in hexadecimal
    std::string team = "fleet";
    std::string author;
    std::vector<std::string> only_teams; ///< teams whose subtrees are compared; empty: all
    bool keep_unlisted = false;          ///< do not remove paths that the folder lacks
    bool wait = false;                   ///< wait until the change is in force everywhere
    int wait_seconds = 16;
    std::string path_prefix;
    std::string zone;
    int limit = 50; ///< maximum number of audit entries
};

/// Writes a new private key to `key_file` and prints its public key.
[[nodiscard]] auto run_keygen(const command_options& options) -> exit_code;
/// Prints the SHA-256 hash of an API key, as workspace declarations hold it.
[[nodiscard]] auto run_hash_key(const std::string& api_key) -> exit_code;
/// Checks a folder of declarations without contacting a host.
[[nodiscard]] auto run_validate(const command_options& options) -> exit_code;
/// Prints the differences between a folder and the configuration in force.
[[nodiscard]] auto run_plan(const command_options& options, bool show_values) -> exit_code;
/// Submits the differences between a folder and the configuration in force as one signed change.
[[nodiscard]] auto run_apply(const command_options& options) -> exit_code;
/// Prints the configuration in force below `path_prefix`.
[[nodiscard]] auto run_get(const command_options& options) -> exit_code;
/// Prints the latest changes of paths below `path_prefix`.
[[nodiscard]] auto run_audit(const command_options& options) -> exit_code;
/// Takes an availability zone into or out of service.
[[nodiscard]] auto run_zone(const command_options& options, bool in_service) -> exit_code;
/// Prints the state of hosts, zones and upstreams as the first responding host reports it.
[[nodiscard]] auto run_status(const command_options& options) -> exit_code;

} // namespace poplardrift::ctl
