// A runner's own failure after it has run a request reaches the client as the promise that the
// request has not run; the client sends it again.

#include "../stand_in_3/deployment.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>

using namespace review;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr int orders = 60;
constexpr int failing_in_twenty = 9; ///< 0.45 of the requests
constexpr int deadline_ms = 1500;

auto configuration() -> std::string
{
    return json{{"version", 1},
                {"routes",
                 {{{"name", "emitir-passe"},
                   {"hostname", "site.example"},
                   {"path_prefix", "/emitir/"},
                   {"route_kind", "non_idempotent"},
                   {"timeout_ms", 1500},
                   {"slo_ms", 150},
                   {"priority", 2},
                   {"max_attempts", 2},
                   {"anonymous", false},
                   {"sticky", false},
                   {"resumable", false},
                   {"service", "passes-app"}}}},
                {"services",
                 {{{"name", "passes-app"},
                   {"health_path", "/healthz"},
                   {"max_conns", 110},
                   {"protocol", "h1"},
                   {"cold_start_s", 0.0},
                   {"cold_per_s", 0.0}}}},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}},
                {"tenants", {{{"name", "first"}, {"api_keys", {"key-of-first"}}}}}}
        .dump();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const std::string scratch = argc > 2 ? argv[2] : "/tmp";
    record_file record(folder + "/record.txt");
    const auto trouble = has_trouble();
    record.write(trouble ? "runners fail" : "runners do not fail");

    platform_store store(own_address(200));
    plain_runner one(record, "i-one", "passes-app", "poa-a", 101);
    plain_runner two(record, "i-two", "passes-app", "poa-a", 102);
    // A request runs before the runner knows that it fails. Only a response with
    // Poplardrift-Not-Executed would state that it has not run.
    std::mutex mutex;
    std::map<std::string, int> runs_of_order;
    std::map<std::string, int> status_of_run;
    int count = 0;
    const auto run_order = [&](const message& request) -> std::optional<std::string>
    {
        const std::lock_guard lock(mutex);
        ++runs_of_order[request.target()];
        const auto fails = trouble && count++ % 20 < failing_in_twenty;
        const auto status = !fails ? 200 : count % 2 == 0 ? 503 : 429;
        status_of_run[request.field("poplardrift-attempt-id")] = status;
        return response(status, plain_runner::seal_fields(request),
                        status == 200 ? "pass issued\n" : "issued, but the printer failed\n");
    };
    one.set_behaviour(run_order);
    two.set_behaviour(run_order);
    heartbeats beats(store, {&one, &two});
    static_cast<void>(store.put("keyed.op", "config", configuration()));

    const auto address = own_address(1);
    const auto ports = free_ports({address}, 20);
    router_settings settings;
    settings.name = "edge-1";
    settings.address = address;
    settings.zone = "poa-a";
    settings.callers = ports;
    settings.readiness = static_cast<std::uint16_t>(ports + 1);
    settings.first_port = static_cast<std::uint16_t>(ports + 4);
    settings.seeds = address + ":" + std::to_string(ports + 2);
    settings.store = own_address(200) + ":" + std::to_string(store.port());
    settings.bounds = small_bounds;
    router_process router(settings, scratch);
    router.start();
    if (!router.wait_until_ready(15s))
    {
        record.write("the router isn't ready");
        return not_run;
    }
    std::this_thread::sleep_for(4s); // bounds.contact_ms and more

    int answered = 0;
    int promised_and_run = 0;
    for (int order = 1; order <= orders; ++order)
    {
        const auto path = "/emitir/" + std::to_string(order);
        // Clients retry requests that are not idempotent once, and only after a promise.
        for (int attempt = 1; attempt <= 2; ++attempt)
        {
            const auto id = new_attempt_id();
            const auto answer =
                ask(address, settings.callers,
                    client_request("POST", path, id, "key-of-first", deadline_ms), 3s);
            const auto status = answer && answer->is_complete ? answer->status() : 0;
            answered += status == 0 ? 0 : 1;
            const auto is_promise =
                status == 429 || status == 503 || status == 408 || status == 421;
            const std::lock_guard lock(mutex);
            const auto has_run = status_of_run.contains(id);
            promised_and_run += is_promise && has_run ? 1 : 0;
            record.write("client sent " + id + " for " + path + " -> " + std::to_string(status) +
                         (has_run ? ", it has run" : ", it has not run"));
            if (!is_promise)
            {
                break;
            }
        }
        std::this_thread::sleep_for(50ms);
    }
    int twice = 0;
    for (const auto& [path, runs] : runs_of_order)
    {
        twice += runs > 1 ? 1 : 0;
    }
    record.write(std::to_string(answered) + " attempts answered, " +
                 std::to_string(promised_and_run) +
                 " of them with 429 or 503 though the request had run; " + std::to_string(twice) +
                 " of " + std::to_string(orders) + " orders were carried out twice");
    router.kill();
    if (answered == 0)
    {
        return not_run;
    }
    record.write(promised_and_run > 0 ? "REFUSED is broken" : "REFUSED held");
    std::_Exit(promised_and_run > 0 ? rule_broken : rule_held);
}
