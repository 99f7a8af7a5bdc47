#include "ctl/commands.hpp"
#include "ctl/router_commands.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>

namespace
{

using namespace poplardrift::ctl;

/// Adds the options of commands that submit a change.
auto add_change_options(CLI::App* command, command_options& options) -> void
{
    command->add_option("--key", options.key_file, "file with the team's private key")->required();
    command->add_option("--team", options.team, "team that the key belongs to (default: fleet)");
    command->add_option("--author", options.author,
                        "author recorded in the audit log (default: $USER)");
    command->add_flag("--wait", options.wait, "wait until the change is in force on every host");
    command->add_option("--wait-seconds", options.wait_seconds,
                        "timeout of --wait in seconds (default: 16)");
}

/// Adds the options of commands that read a folder of declarations.
auto add_folder_options(CLI::App* command, command_options& options) -> void
{
    command->add_option("folder", options.folder, "folder of declarations")->required();
    command->add_option("--only-team", options.only_teams,
                        "compare only this team's subtree; may be repeated");
    command->add_flag("--keep-unlisted", options.keep_unlisted,
                      "do not remove paths that the folder lacks");
}

/// Adds the commands that query routers on the users' platform and their logs.
auto add_router_commands(CLI::App& app, router_options& options, exit_code& result) -> void
{
    auto* router = app.add_subcommand("router", "query poplardrift-router on the users' platform");
    router->require_subcommand(1);
    auto* status = router->add_subcommand(
        "status", "show hosts, zones and upstreams as each router sees them");
    auto* explain = router->add_subcommand(
        "explain", "show which upstream a router would choose for a request now, and why");
    for (auto* command : {status, explain})
    {
        command
            ->add_option(
                "--router", options.router_addresses,
                "ADDRESS:PORT of a router's readiness or metrics endpoint; may be repeated")
            ->envname("POPLARDRIFT_ROUTER")
            ->required();
    }
    explain->add_option("--host-name", options.host_name, "value of the request's Host header")
        ->required();
    explain->add_option("--path", options.path, "path of the request")->required();
    explain->add_option("--field", options.fields,
                        "header field of the request, as \"Name: value\"; may be repeated");
    status->callback([&] { result = run_router_status(options); });
    explain->callback([&] { result = run_router_explain(options); });
    auto* trace = app.add_subcommand(
        "trace", "show the log lines of one request across the logs of several hosts");
    trace->add_option("request", options.request_id, "request ID")->required();
    trace->add_option("files", options.log_files, "log files of hosts")->required();
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
    CLI::App app("poplardriftctl: configures and inspects a poplardrift fleet");
    command_options options;
    std::string api_key;
    router_options router;
    auto result = exit_code::ok;
    options.author = default_author();
    app.add_option("--admin", options.admin_endpoints,
                   "ADDRESS:PORT of a host's admin API; may be repeated")
        ->envname("POPLARDRIFT_ADMIN");
    app.add_flag("--json", options.json, "machine-readable output");
    app.set_version_flag("--version", POPLARDRIFT_VERSION);
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 done, 1 refused, 2 bad input, 3 the folder differs from the configuration\n"
        "in force, 4 no host responds, 5 accepted but not in force on every host before the "
        "timeout.");

    auto* keygen =
        app.add_subcommand("keygen", "generate a team's key pair; prints the public key");
    keygen->add_option("file", options.key_file, "file for the private key")->required();
    keygen->callback([&] { result = run_keygen(options); });
    auto* hash =
        app.add_subcommand("hash-key", "print the hash of an API key for a workspace declaration");
    hash->add_option("key", api_key, "the API key")->required();
    hash->callback([&] { result = run_hash_key(api_key); });
    auto* validate = app.add_subcommand("validate", "validate a folder of declarations");
    add_folder_options(validate, options);
    validate->callback([&] { result = run_validate(options); });
    auto* plan = app.add_subcommand("plan", "show which paths apply would change");
    add_folder_options(plan, options);
    plan->callback([&] { result = run_plan(options, false); });
    auto* diff = app.add_subcommand("diff", "like plan, and show the values before and after");
    add_folder_options(diff, options);
    diff->callback([&] { result = run_plan(options, true); });
    auto* apply =
        app.add_subcommand("apply", "apply a folder of declarations to the fleet as one change");
    add_folder_options(apply, options);
    add_change_options(apply, options);
    apply->callback([&] { result = run_apply(options); });
    auto* get = app.add_subcommand("get", "show the configuration in force");
    get->add_option("prefix", options.path_prefix, "only paths with this prefix");
    get->callback([&] { result = run_get(options); });
    for (const auto* name : {"audit", "history"})
    {
        auto* audit = app.add_subcommand(name, "show changes, newest first");
        audit->add_option("prefix", options.path_prefix, "only changes of paths with this prefix");
        audit->add_option("--limit", options.limit, "maximum number of changes (default: 50)");
        audit->callback([&] { result = run_audit(options); });
    }
    auto* zone = app.add_subcommand(
        "zone", "take an availability zone out of service or return it to service");
    zone->require_subcommand(1);
    auto* drain = zone->add_subcommand("drain", "stop sending new requests to the zone");
    auto* undrain = zone->add_subcommand("undrain", "resume sending requests to the zone");
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
