#pragma once

#include "ctl/admin_client.hpp"
#include "ctl/declaration_folder.hpp"

#include <string>
#include <vector>

namespace poplardrift::ctl
{

/// Exit codes of the tool.
enum class exit_code : int
{
    ok = 0,
    refused = 1,         ///< the fleet refused the change, or another operator was faster
    bad_input = 2,       ///< files or arguments are faulty
    changes_pending = 3, ///< `plan` and `diff`: the folder differs from what is in force
    unreachable = 4,     ///< no host answers
    wait_timed_out = 5,  ///< accepted, but not in force on every host within the wait
};

/// Options that commands share.
struct command_options
{
    std::vector<std::string> admin_endpoints; ///< ADDRESS:PORT of hosts
    bool json = false;                        ///< machine-readable output
    std::string folder;
    std::string key_file; ///< private key, hex, of the team
    std::string team = "fleet";
    std::string author;
    std::vector<std::string> only_teams; ///< subtrees that plan and apply look at
    bool keep_unlisted = false;
    bool wait = false;
    int wait_seconds = 16;
    std::string path_prefix;
    std::string zone;
    int limit = 50;
};

[[nodiscard]] auto run_keygen(const command_options& options) -> exit_code;
[[nodiscard]] auto run_hash_key(const std::string& api_key) -> exit_code;
[[nodiscard]] auto run_validate(const command_options& options) -> exit_code;
[[nodiscard]] auto run_plan(const command_options& options, bool show_values) -> exit_code;
[[nodiscard]] auto run_apply(const command_options& options) -> exit_code;
[[nodiscard]] auto run_get(const command_options& options) -> exit_code;
[[nodiscard]] auto run_audit(const command_options& options) -> exit_code;
[[nodiscard]] auto run_zone(const command_options& options, bool in_service) -> exit_code;
[[nodiscard]] auto run_status(const command_options& options) -> exit_code;

} // namespace poplardrift::ctl
