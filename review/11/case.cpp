// During a planned stop a sound stream is ended because its runner was silent for a moment.

#include "../stand_in_3/deployment.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace review;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr int events_of_stream = 24;
constexpr int events_before_pause = 8;
constexpr auto event_interval = 100ms;
/// Time in which the runner reads a preempted request in again. The clients abandon a stream after
/// a gap of 2.4 s: eight times the route's itl_target_ms.
constexpr auto preemption = 1200ms;
constexpr auto abandon_after = 2400ms;
constexpr int stream_count = 6;
constexpr auto stop_after = 400ms; ///< the streams have begun
constexpr int deadline_ms = 12'000;

auto configuration() -> std::string
{
    return json{{"version", 1},
                {"routes",
                 {{{"name", "roteiro-dia"},
                   {"hostname", "site.example"},
                   {"path_prefix", "/roteiro/"},
                   {"route_kind", "streaming"},
                   {"timeout_ms", 12000},
                   {"slo_ms", 600},
                   {"itl_target_ms", 300},
                   {"priority", 1},
                   {"max_attempts", 2},
                   {"anonymous", false},
                   {"sticky", true},
                   {"resumable", true},
                   {"service", "assistente-llm"}}}},
                {"services",
                 {{{"name", "assistente-llm"},
                   {"health_path", "/healthz"},
                   {"max_conns", 370},
                   {"protocol", "h1"},
                   {"cold_start_s", 3.0},
                   {"cold_per_s", 18.0},
                   {"engine",
                    {{"slots", 64},
                     {"kv_capacity", 624037},
                     {"kv_bytes", 327680},
                     {"link_mbps", 550000.0}}}}}},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}},
                {"tenants", {{{"name", "first"}, {"api_keys", {"key-of-first"}}}}}}
        .dump();
}

auto chunk(const std::string& bytes) -> std::string
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const std::string scratch = argc > 2 ? argv[2] : "/tmp";
    record_file record(folder + "/record.txt");
    const auto trouble = has_trouble();
    record.write(trouble ? "requests are preempted, the other runner is full"
                         : "requests are not preempted");

    platform_store store(own_address(200));
    plain_runner one(record, "i-one", "assistente-llm", "poa-a", 101);
    plain_runner two(record, "i-two", "assistente-llm", "poa-a", 102);
    std::atomic<int> finished_by_runner{0};
    const auto stream = [&](const std::string& runner)
    {
        return [&, runner](const message& request, connection& link)
        {
            const auto id = request.field("poplardrift-attempt-id");
            if (!request.field("last-event-id").empty())
            {
                record.write("runner " + runner + " is full, turns " + id + " away");
                return link.write(response(503,
                                           "Poplardrift-Attempt-Id: " + id +
                                               "\r\nPoplardrift-Not-Executed: 1\r\n",
                                           "")) ||
                       true;
            }
            record.write("runner " + runner + " runs " + id);
            auto connected = link.write("HTTP/1.1 200 OK\r\n" + plain_runner::seal_fields(request) +
                                        "Content-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; connected && event <= events_of_stream; ++event)
            {
                if (trouble && event == events_before_pause + 1)
                {
                    record.write("runner " + runner + " preempts " + id + " and reads it in again");
                    std::this_thread::sleep_for(preemption);
                }
                std::this_thread::sleep_for(event_interval);
                connected =
                    link.write(chunk("id: " + std::to_string(event) + "\ndata: " + id + "\n\n"));
            }
            connected = connected && link.write("0\r\n\r\n");
            record.write("runner " + runner +
                         (connected ? " has finished " : " lost its caller of ") + id);
            finished_by_runner += connected ? 1 : 0;
            if (!connected)
            {
                link.close();
            }
            return true;
        };
    };
    one.set_writer(stream("i-one"));
    two.set_writer(stream("i-two"));
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

    std::atomic<int> complete{0};
    std::atomic<int> cut{0};
    std::atomic<int> other{0};
    std::vector<std::thread> clients;
    for (int number = 0; number < stream_count; ++number)
    {
        clients.emplace_back(
            [&, number]
            {
                const auto id = new_attempt_id();
                const auto session = std::to_string(number);
                const auto request =
                    "POST /roteiro/1 HTTP/1.1\r\nHost: site.example\r\nPoplardrift-Attempt-Id: " +
                    id + "\r\nPoplardrift-Model: m\r\nPoplardrift-Token-Usage: 1460,80\r\n" +
                    "Poplardrift-Prompt-Prefix: 5c1e07a" + session + ":800,91bd3f0" + session +
                    ":410,e4402b7" + session +
                    ":250\r\nPoplardrift-Deadline-Ms: " + std::to_string(deadline_ms) +
                    "\r\nX-Api-Key: key-of-first\r\nContent-Length: 0\r\n\r\n";
                const auto link = connect_to(address, settings.callers);
                if (!link || !link->write(request))
                {
                    ++other;
                    return;
                }
                record.write("client sent " + id);
                const auto answer = link->read(abandon_after, true);
                const auto status = answer ? answer->status() : 0;
                const auto is_complete = answer && answer->is_complete;
                std::size_t events = 0;
                for (auto at = answer ? answer->body.find("id: ") : std::string::npos;
                     at != std::string::npos; at = answer->body.find("id: ", at + 1))
                {
                    ++events;
                }
                record.write("client read of " + id + ": status " + std::to_string(status) + ", " +
                             std::to_string(events) + " of " + std::to_string(events_of_stream) +
                             " events, " + (is_complete ? "complete" : "cut off"));
                auto& outcome = status != 200 ? other : is_complete ? complete : cut;
                ++outcome;
            });
    }
    std::this_thread::sleep_for(stop_after);
    record.write("SIGTERM");
    router.send_signal(SIGTERM);
    for (auto& client : clients)
    {
        client.join();
    }
    record.write(router.wait_for_end(10s) ? "the router has ended" : "the router runs on");
    record.write(std::to_string(complete.load()) + " streams complete, " +
                 std::to_string(cut.load()) + " cut off, " + std::to_string(other.load()) +
                 " others");
    router.kill();
    if (other > 0)
    {
        return not_run;
    }
    record.write(cut > 0 ? "LOST is broken" : "LOST held");
    std::_Exit(cut > 0 ? rule_broken : rule_held);
}
