#include "ctl/commands.hpp"
#include "ctl/router_commands.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>

namespace
{

using namespace poplardrift::ctl;

/// Options of commands that write.
auto add_change_options(CLI::App* command, command_options& options) -> void
{
    command->add_option("--key", options.key_file, "file with the team's private key")->required();
    command->add_option("--team", options.team, "team whose key that is (default: fleet)");
    command->add_option("--author", options.author, "name for the audit trail");
    command->add_flag("--wait", options.wait, "wait until the change is in force on every host");
    command->add_option("--wait-seconds", options.wait_seconds, "longest wait (default: 16)");
}

auto add_folder_options(CLI::App* command, command_options& options) -> void
{
    command->add_option("folder", options.folder, "folder of declarations")->required();
    command->add_option("--only-team", options.only_teams,
                        "look at this team's subtree only; may be repeated");
    command->add_flag("--keep-unlisted", options.keep_unlisted,
                      "do not remove paths that the folder lacks");
}

/// Commands for routers on the users' platform.
auto add_router_commands(CLI::App& app, router_options& options, exit_code& result) -> void
{
    auto* router = app.add_subcommand("router", "ask poplardrift-router on the users' platform");
    router->require_subcommand(1);
    auto* status = router->add_subcommand("status", "what each router believes of the fleet");
    auto* explain =
        router->add_subcommand("explain", "where a router would send a request now, and why");
    for (auto* command : {status, explain})
    {
        command
            ->add_option("--router", options.router_addresses,
                         "ADDRESS:PORT of a router's readiness or metrics; may be repeated")
            ->envname("POPLARDRIFT_ROUTER")
            ->required();
    }
    explain->add_option("--host-name", options.host_name, "host that the request is meant for")
        ->required();
    explain->add_option("--path", options.path, "path of the request")->required();
    explain->add_option("--field", options.fields,
                        "\"Name: value\" as the request would have it; may be repeated");
    status->callback([&] { result = run_router_status(options); });
    explain->callback([&] { result = run_router_explain(options); });
    auto* trace =
        app.add_subcommand("trace", "one request's way through the logs of several hosts");
    trace->add_option("request", options.request_id, "identifier of the request")->required();
    trace->add_option("files", options.log_files, "logs of hosts")->required();
    trace->callback([&] { result = run_trace(options); });
}

auto default_author() -> std::string
{
    const auto* user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    CLI::App app("poplardriftctl: drives a poplardrift fleet");
    command_options options;
    std::string api_key;
    router_options router;
    auto result = exit_code::ok;
    options.author = default_author();
    app.add_option("--admin", options.admin_endpoints,
                   "ADDRESS:PORT of a host's operators' interface; may be repeated")
        ->envname("POPLARDRIFT_ADMIN");
    app.add_flag("--json", options.json, "machine-readable output");
    app.set_version_flag("--version", POPLARDRIFT_VERSION);
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 done, 1 refused, 2 bad input, 3 the folder differs from what is in force,\n"
        "4 no host answers, 5 accepted but not in force everywhere within the wait.");

    auto* keygen = app.add_subcommand("keygen", "make a team's key; prints the public key");
    keygen->add_option("file", options.key_file, "file for the private key")->required();
    keygen->callback([&] { result = run_keygen(options); });
    auto* hash = app.add_subcommand("hash-key",
                                    "print the hash of an API key, for a workspace's declaration");
    hash->add_option("key", api_key, "the API key")->required();
    hash->callback([&] { result = run_hash_key(api_key); });
    auto* validate = app.add_subcommand("validate", "check a folder of declarations");
    add_folder_options(validate, options);
    validate->callback([&] { result = run_validate(options); });
    auto* plan = app.add_subcommand("plan", "show which paths apply would change");
    add_folder_options(plan, options);
    plan->callback([&] { result = run_plan(options, false); });
    auto* diff = app.add_subcommand("diff", "like plan, with the values");
    add_folder_options(diff, options);
    diff->callback([&] { result = run_plan(options, true); });
    auto* apply = app.add_subcommand("apply", "bring the fleet to a folder's state, as one change");
    add_folder_options(apply, options);
    add_change_options(apply, options);
    apply->callback([&] { result = run_apply(options); });
    auto* get = app.add_subcommand("get", "show what is in force");
    get->add_option("prefix", options.path_prefix, "paths that begin with this");
    get->callback([&] { result = run_get(options); });
    for (const auto* name : {"audit", "history"})
    {
        auto* audit = app.add_subcommand(name, "show changes, the newest first");
        audit->add_option("prefix", options.path_prefix, "changes of paths that begin with this");
        audit->add_option("--limit", options.limit, "most changes shown (default: 50)");
        audit->callback([&] { result = run_audit(options); });
    }
    auto* zone =
        app.add_subcommand("zone", "take an availability zone out of service, or bring it back");
    zone->require_subcommand(1);
    auto* drain = zone->add_subcommand("drain", "no new work to the zone");
    auto* undrain = zone->add_subcommand("undrain", "the zone takes work again");
    for (auto* command : {drain, undrain})
    {
        command->add_option("zone", options.zone, "name of the zone")->required();
        add_change_options(command, options);
    }
    drain->callback([&] { result = run_zone(options, false); });
    undrain->callback([&] { result = run_zone(options, true); });
    auto* status = app.add_subcommand("status", "show hosts, zones and upstreams");
    status->callback([&] { result = run_status(options); });
    add_router_commands(app, router, result);
    app.parse_complete_callback([&] { router.json = options.json; });
    CLI11_PARSE(app, argc, argv);
    return static_cast<int>(result);
}
