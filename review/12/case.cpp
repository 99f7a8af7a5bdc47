// After a drill of the store, configurations that it acknowledges do not come into force.

#include "../stand_in_3/deployment.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>

using namespace review;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr auto contact_time = 3000ms;     // bounds.contact_ms
constexpr auto config_time = 2000ms;      // bounds.config_ms
constexpr auto judged_time = 10'000ms;    // requests are judged for this long
constexpr auto sending_allowance = 500ms; // beyond config_ms, for the machine of the test

/// Each version adds an idle route. `withdrawn` is without the key of the second tenant.
auto configuration(int version, bool withdrawn) -> std::string
{
    json routes = json::array();
    const auto add_route = [&](const std::string& name)
    {
        routes.push_back({{"name", name},
                          {"hostname", "site.example"},
                          {"path_prefix", "/" + name + "/"},
                          {"route_kind", "idempotent"},
                          {"timeout_ms", 1500},
                          {"slo_ms", 150},
                          {"priority", 2},
                          {"max_attempts", 2},
                          {"anonymous", false},
                          {"sticky", false},
                          {"resumable", false},
                          {"service", "passes-app"}});
    };
    add_route("reserva");
    for (int number = 2; number <= version; ++number)
    {
        add_route("idle-" + std::to_string(number));
    }
    json tenants = {{{"name", "first"}, {"api_keys", {"key-of-first"}}}};
    if (!withdrawn)
    {
        tenants.push_back({{"name", "second"}, {"api_keys", {"key-of-second"}}});
    }
    return json{{"version", version},
                {"routes", routes},
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
                {"tenants", tenants}}
        .dump();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const std::string scratch = argc > 2 ? argv[2] : "/tmp";
    record_file record(folder + "/record.txt");
    const auto trouble = has_trouble();
    record.write(trouble ? "with the drill" : "without the drill");

    platform_store store(own_address(200));
    plain_runner one(record, "i-one", "passes-app", "poa-a", 101);
    plain_runner two(record, "i-two", "passes-app", "poa-b", 102);
    heartbeats beats(store, {&one, &two});
    static_cast<void>(store.put("keyed.op", "config", configuration(1, false)));

    const std::vector<std::string> addresses = {own_address(1), own_address(2)};
    const auto ports = free_ports(addresses, 20);
    std::vector<std::unique_ptr<router_process>> routers;
    for (std::size_t number = 0; number < addresses.size(); ++number)
    {
        router_settings settings;
        settings.name = "edge-" + std::to_string(number + 1);
        settings.address = addresses[number];
        settings.zone = number == 0 ? "poa-a" : "poa-b";
        settings.callers = ports;
        settings.readiness = static_cast<std::uint16_t>(ports + 1);
        settings.first_port = static_cast<std::uint16_t>(ports + 4);
        settings.seeds = addresses[0] + ":" + std::to_string(ports + 2) + "," + addresses[1] + ":" +
                         std::to_string(ports + 2);
        settings.store = own_address(200) + ":" + std::to_string(store.port());
        settings.bounds = small_bounds;
        routers.push_back(std::make_unique<router_process>(settings, scratch));
        routers.back()->start();
    }
    for (const auto& router : routers)
    {
        if (!router->wait_until_ready(15s))
        {
            record.write(router->get_settings().name + " isn't ready");
            return not_run;
        }
    }
    const auto status_of = [&](const router_process& router, const std::string& key)
    {
        const auto id = new_attempt_id();
        const auto answer = ask(router.get_settings().address, router.get_settings().callers,
                                client_request("GET", "/reserva/1", id, key, 1500), 3s);
        const auto status = answer && answer->is_complete ? answer->status() : 0;
        record.write("client sent " + id + " with " + key + " to " + router.get_settings().name +
                     " -> " + std::to_string(status));
        return status;
    };
    std::this_thread::sleep_for(3s);
    for (const auto& router : routers)
    {
        if (status_of(*router, "key-of-first") != 200 || status_of(*router, "key-of-second") != 200)
        {
            record.write("not served before the drill");
            return not_run;
        }
    }

    // Three changes in the last seconds before the drill.
    store.take_copy();
    for (int version = 2; version <= 4; ++version)
    {
        static_cast<void>(store.put("keyed.op", "config", configuration(version, false)));
        record.write("operator wrote version " + std::to_string(version));
        std::this_thread::sleep_for(1200ms);
    }
    if (trouble)
    {
        store.set_away(true);
        record.write("the store is away");
        std::this_thread::sleep_for(1s);
        store.restore();
        store.set_away(false);
        record.write("the store is back from a copy that is 4 s old");
        static_cast<void>(store.put("keyed.op", "config", configuration(4, false)));
        beats.write_all();
        record.write("operator and runners have written again what they wrote");
    }
    // The store is stable again, and all machines are in touch.
    std::this_thread::sleep_for(contact_time + 3s);
    for (const auto& router : routers)
    {
        if (status_of(*router, "key-of-first") != 200)
        {
            record.write("not served after the drill");
            return not_run;
        }
    }
    static_cast<void>(store.put("keyed.op", "config", configuration(5, true)));
    record.write("operator wrote version 5, without key-of-second: acknowledged");
    std::this_thread::sleep_for(config_time + sending_allowance);
    const auto end = clock::now() + judged_time;
    int run_with_removed_key = 0;
    int refused = 0;
    while (clock::now() < end)
    {
        for (const auto& router : routers)
        {
            const auto status = status_of(*router, "key-of-second");
            run_with_removed_key += status == 200 ? 1 : 0;
            refused += status == 401 ? 1 : 0;
        }
        std::this_thread::sleep_for(250ms);
    }
    record.write("requests with the removed key: " + std::to_string(run_with_removed_key) +
                 " run, " + std::to_string(refused) +
                 " refused with 401; reads answered 410: " + std::to_string(store.expired_reads()) +
                 ", 429: " + std::to_string(store.rejected_calls()));
    routers.clear();
    if (run_with_removed_key == 0 && refused == 0)
    {
        record.write("no request was answered as one of the versions asks");
        return not_run;
    }
    record.write(run_with_removed_key > 0 ? "CONFIG is broken" : "CONFIG held");
    std::_Exit(run_with_removed_key > 0 ? rule_broken : rule_held);
}
