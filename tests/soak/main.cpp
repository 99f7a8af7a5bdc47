#include "fault_schedule.hpp"
#include "soak_caller.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace poplardrift::soak;
using namespace std::chrono_literals;

namespace
{

struct run_options
{
    fleet_settings fleet;
    std::size_t callers = 12;
    int seconds = 12;
    std::vector<std::string> kinds;
    bool prints_event_log = false;
};

constexpr std::size_t max_printed_findings = 20;
constexpr auto settle_time = 3s; ///< for pending responses to end and late runs to be recorded

/// Runs one seed; true if there are no findings.
auto run_seed(const run_options& options) -> bool
{
    soak_fleet fleet(options.fleet);
    auto& tracker = fleet.get_tracker();
    if (!fleet.wait_until_serving(soak_fleet::recovery_limit))
    {
        tracker.add_finding("a host does not serve requests after the start");
    }
    fault_schedule schedule(fleet, options.fleet.seed, options.kinds);
    {
        std::vector<std::unique_ptr<soak_caller>> callers;
        for (std::size_t number = 0; number < options.callers; ++number)
        {
            callers.push_back(
                std::make_unique<soak_caller>(fleet, options.fleet.seed * 100'000 + number));
        }
        schedule.run(std::chrono::seconds(options.seconds));
        for (const auto& caller : callers)
        {
            caller->stop();
        }
    }
    for (std::size_t number = 0; number < fleet.count_upstreams(); ++number)
    {
        fleet.get_upstream(number).set_misbehaving(false);
    }
    if (!fleet.wait_until_serving(soak_fleet::recovery_limit))
    {
        tracker.add_finding("a host does not serve requests after the faults ended");
    }
    std::this_thread::sleep_for(settle_time);
    for (std::size_t host = 0; host < fleet.count_hosts(); ++host)
    {
        if (fleet.get_host(host).has_failed())
        {
            tracker.add_finding(fleet.get_host(host).get_name() +
                                " exited without a stop request or with an error");
        }
    }
    tracker.check_all(soak_fleet::max_attempts);
    if (!tracker.counts().contains("200"))
    {
        tracker.add_finding("no request succeeded");
    }

    const auto findings = tracker.findings();
    std::cout << "seed " << options.fleet.seed << ":";
    for (const auto& [outcome, count] : tracker.counts())
    {
        std::cout << "  " << outcome << " " << count;
    }
    std::cout << (findings.empty() ? "  in order\n" : "  FAILED\n");
    const auto printed = std::min(findings.size(), max_printed_findings);
    for (std::size_t number = 0; number < printed; ++number)
    {
        std::cout << "  " << findings[number] << '\n';
    }
    if (printed < findings.size())
    {
        std::cout << "  and " << findings.size() - printed << " more\n";
    }
    if (options.prints_event_log || !findings.empty())
    {
        for (const auto& line : schedule.get_event_log())
        {
            std::cout << "    " << line << '\n';
        }
    }
    return findings.empty();
}

} // namespace

/// Soak test with fault injection: runs real router processes, injects seeded faults from outside
/// and checks what callers and upstreams observe.
auto main(int argc, char** argv) -> int
{
    CLI::App app("poplardrift-soak: injects seeded faults into router processes");
    run_options options;
    std::uint64_t first = 1;
    std::uint64_t count = 1;
    std::string folder = "run/soak";
    app.add_option("--router", options.fleet.program, "router program under test")->required();
    app.add_option("--folder", folder, "directory for the hosts' settings and logs");
    app.add_option("--seed", first, "first seed");
    app.add_option("--seeds", count, "number of seeds to run, one after another");
    app.add_option("--hosts", options.fleet.hosts, "number of router processes");
    app.add_option("--upstreams", options.fleet.upstreams, "number of upstreams");
    app.add_option("--callers", options.callers, "number of callers");
    app.add_option("--seconds", options.seconds, "duration of fault injection for each seed");
    app.add_option("--faults", options.kinds, "kinds of fault; by default each seed selects them")
        ->delimiter(',')
        ->check(CLI::IsMember(fault_schedule::kind_names()));
    app.add_option("--network", options.fleet.first_network,
                   "second byte of the hosts' loopback addresses; the first free one from it on");
    app.add_flag("--story", options.prints_event_log,
                 "print the injected faults even if there are no findings");
    CLI11_PARSE(app, argc, argv);

    auto failed = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        options.fleet.seed = seed;
        options.fleet.folder = folder + "/" + std::to_string(seed);
        failed += run_seed(options) ? 0 : 1;
        std::cout.flush();
    }
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
