#include "load/experiment.hpp"
#include "load/fleet_files.hpp"
#include "load/report.hpp"
#include "load/stream_load.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>

namespace
{

using namespace poplardrift::load;

constexpr int exit_ok = 0;
constexpr int exit_no_fleet = 1;
constexpr int exit_bad_input = 2;
constexpr int exit_violations = 3;

auto read_json(const std::string& path) -> nlohmann::json
{
    std::ifstream file(path);
    return nlohmann::json::parse(file, nullptr, false);
}

auto run_experiment(const std::string& plan_path, const std::string& client_path,
                    const std::string& report_path, bool json) -> int
{
    const auto plan = read_json(plan_path);
    const auto client = read_json(client_path);
    if (!plan.is_object() || !client.is_object())
    {
        std::cerr << (plan.is_object() ? client_path : plan_path) << ": not a JSON object\n";
        return exit_bad_input;
    }
    if (!json)
    {
        std::cout << "needs the fleet of " << plan.value("fleet", "")
                  << ", prepared and running, with its client.json at " << client_path << "\n";
    }
    experiment run(plan, client);
    if (!run.run())
    {
        return exit_no_fleet;
    }
    if (!report_path.empty())
    {
        write_report(report_path, run.result(), run.samples());
    }
    std::cout << (json ? run.result().dump() : run.result().dump(2)) << "\n";
    return run.result()["violations"].empty() ? exit_ok : exit_violations;
}

/// Puts the product's figures and those of the baselines into one object.
auto merge_results(const std::vector<std::string>& files) -> int
{
    nlohmann::json merged;
    for (const auto& file : files)
    {
        auto figures = read_json(file);
        if (!figures.is_object())
        {
            std::cerr << file << ": not a JSON object\n";
            return exit_bad_input;
        }
        if (merged.is_null())
        {
            merged = figures;
            merged["baselines"] = nlohmann::json::object();
            continue;
        }
        merged["baselines"][figures.value("placement", file)] = figures;
    }
    std::cout << merged.dump() << "\n";
    return exit_ok;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    CLI::App app("poplardrift-load: load, experiments and measurement");
    app.set_version_flag("--version", POPLARDRIFT_VERSION);
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 done, 1 the fleet is not there, 2 bad input, 3 a promise was broken.");
    std::signal(SIGPIPE, SIG_IGN);
    int result = exit_ok;

    prepare_options prepare;
    auto* preparing =
        app.add_subcommand("prepare", "write the files that a fleet needs to run on this machine");
    preparing->add_option("--fleet", prepare.fleet_file, "description of the fleet")->required();
    preparing->add_option("--out", prepare.folder, "folder for the files")->required();
    preparing->add_option("--placement", prepare.placement, "placement policy of the hosts");
    preparing->add_option("--hosts", prepare.hosts, "number of hosts, if not as described");
    preparing->add_option("--network", prepare.network, "addresses are 127.NETWORK.x.y");
    preparing->callback([&] { result = prepare_fleet(prepare) ? exit_ok : exit_bad_input; });

    std::string plan;
    std::string client = "run/fleet/client.json";
    std::string report;
    bool json = false;
    auto* running =
        app.add_subcommand("run", "run an experiment against a fleet that stands already");
    running->add_option("plan", plan, "experiment file")->required();
    running->add_option("--client", client, "the fleet's client.json");
    running->add_option("--report", report, "write a page with plots to this file");
    running->add_flag("--json", json, "print the figures on one line");
    running->callback([&] { result = run_experiment(plan, client, report, json); });

    stream_load_options streams;
    auto* streaming =
        app.add_subcommand("streams", "open many streams at once and measure their events");
    streaming->add_option("--target", streams.target, "ADDRESS:PORT")->required();
    streaming->add_option("--streams", streams.streams, "open at once");
    streaming->add_option("--tokens", streams.tokens, "events of each answer");
    streaming->add_option("--ramp", streams.ramp_seconds, "seconds over which they are opened");
    streaming->add_option("--key", streams.key, "API key");
    streaming->callback([&] { std::cout << run_streams(streams).dump() << "\n"; });

    std::vector<std::string> files;
    auto* merging =
        app.add_subcommand("merge", "put results into one object; the first is the product's");
    merging->add_option("files", files, "result files")->required();
    merging->callback([&] { result = merge_results(files); });
    CLI11_PARSE(app, argc, argv);
    return result;
}
