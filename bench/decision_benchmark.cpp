/// Benchmarks of the decision core at the sizes of the capacity page: time and allocations a
/// decision, time to take a changed view, memory, bytes of a message. Prints one JSON object a
/// size, with a hash of the decisions, so that a faster wrong answer shows.

#include "poplardrift/base/crypto.hpp"
#include "poplardrift/core/host_core.hpp"
#include "poplardrift/gossip/codec.hpp"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <new>

namespace
{

std::atomic<std::uint64_t> allocations{0};

} // namespace

auto operator new(std::size_t size) -> void*
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (auto* memory = std::malloc(size))
    {
        return memory;
    }
    throw std::bad_alloc();
}

auto operator delete(void* memory) noexcept -> void
{
    std::free(memory);
}
auto operator delete(void* memory, std::size_t) noexcept -> void
{
    std::free(memory);
}

namespace
{

using namespace poplardrift;
using namespace std::chrono_literals;

const std::string fleet_key = std::string(63, '0') + "1";
constexpr int models = 5;

/// Sizes of one run.
struct fleet_size
{
    int hosts = 5;
    int engines = 10;
    int workspaces = 10;
};

auto resident_bytes() -> std::uint64_t
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t pages = 0;
    std::uint64_t resident = 0;
    file >> pages >> resident;
    return resident * 4096;
}

auto make_record(const fleet_size& size) -> nlohmann::json
{
    config_change change;
    change.id = "all";
    change.author = "bench";
    change.team = "fleet";
    for (int zone = 0; zone < 9; ++zone)
    {
        change.sets.push_back({"/fleet/zones/z" + std::to_string(zone), log_offset{},
                               nlohmann::json{{"in_service", true}}});
    }
    for (int engine = 0; engine < size.engines; ++engine)
    {
        change.sets.push_back({"/assist/upstreams/e" + std::to_string(engine), log_offset{},
                               nlohmann::json{{"address", "10.0.0.1"},
                                              {"port", 80},
                                              {"zone", "z" + std::to_string(engine % 9)},
                                              {"pool", "m" + std::to_string(engine % models)},
                                              {"capacity", 256},
                                              {"cold_capacity", 4}}});
    }
    for (int workspace = 0; workspace < size.workspaces; ++workspace)
    {
        change.sets.push_back({"/assist/workspaces/w" + std::to_string(workspace), log_offset{},
                               nlohmann::json{{"key_hashes", {std::to_string(workspace)}}}});
    }
    for (int model = 0; model < models; ++model)
    {
        change.sets.push_back({"/assist/routes/m" + std::to_string(model), log_offset{},
                               nlohmann::json{{"prefix", "/m" + std::to_string(model)},
                                              {"pool", "m" + std::to_string(model)}}});
    }
    change.signature = *sign_message(fleet_key, change.signed_text());
    return change.to_json();
}

auto microseconds_since(std::chrono::steady_clock::time_point begin) -> double
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
        .count();
}

auto run(const fleet_size& size) -> void
{
    const auto memory_before = resident_bytes();
    const auto secret = std::string("a secret of the hosts");
    control_settings settings;
    settings.configuration.fleet_public_key = *public_key_of(fleet_key);
    settings.configuration.host_secret = secret;
    auto now = time_point(100s);
    const host_address self{"h0", "z0", "10.0.0.1", 1, 2};
    host_core host(settings, {}, self, incarnation_id{1}, now);
    host_list_read list;
    for (int index = 0; index < size.hosts; ++index)
    {
        list.live.push_back(
            {"h" + std::to_string(index), "z" + std::to_string(index % 9), "10.0.0.1", 1, 2});
    }
    host.handle(list, now);
    // A changed configuration until it is in force here.
    const auto record = make_record(size);
    const auto begin_view = std::chrono::steady_clock::now();
    host.handle(log_records_read{{{log_offset{1}, log_time{}, record}}}, now);
    host.on_tick(now);
    const auto view_microseconds = microseconds_since(begin_view);
    const auto memory = resident_bytes() - memory_before;

    // Slots everywhere, so that the path without a wait is measured.
    const auto& pool = host.traffic().view()->pools[0];
    for (const auto& upstream : pool.upstreams)
    {
        host.traffic().on_grant(upstream.id, 1000, now + 1h, now);
    }
    constexpr int decisions = 20'000;
    std::uint64_t hash = 0;
    placement_request wish;
    wish.pool = pool.id;
    wish.workspace = make_workspace_id("/assist/workspaces/w1");
    wish.deadline = now + 1h;
    const auto decide = [&](std::uint64_t chat)
    {
        wish.id = request_id{chat};
        wish.conversation = conversation_id{(chat * 7919) | 1U};
        const auto result = host.traffic().request(wish, now);
        const auto upstream = std::get<placed>(result).upstream;
        hash = hash_pair_64(hash, upstream.value());
        host.traffic().release(upstream, wish.workspace, now);
    };
    decide(1);
    const auto allocations_before = allocations.load();
    const auto begin = std::chrono::steady_clock::now();
    for (int count = 0; count < decisions; ++count)
    {
        decide(static_cast<std::uint64_t>(count));
    }
    const auto decision_microseconds = microseconds_since(begin) / decisions;
    const auto allocated = allocations.load() - allocations_before;

    // One tick of the control state, and the messages that it sends.
    (void)host.take_actions();
    now += 1s;
    const auto begin_tick = std::chrono::steady_clock::now();
    host.on_tick(now);
    const auto tick_microseconds = microseconds_since(begin_tick);
    std::size_t messages = 0;
    std::size_t bytes = 0;
    for (const auto& action : host.take_actions())
    {
        if (const auto* message = std::get_if<send_message>(&action))
        {
            ++messages;
            bytes += message->bytes.size();
        }
    }
    const nlohmann::json result = {
        {"hosts", size.hosts},
        {"engines", size.engines},
        {"workspaces", size.workspaces},
        {"engines_a_pool", pool.upstreams.size()},
        {"decision_microseconds", decision_microseconds},
        {"allocations_a_decision", static_cast<double>(allocated) / decisions},
        {"view_microseconds", view_microseconds},
        {"tick_microseconds", tick_microseconds},
        {"memory_bytes", memory},
        {"messages", messages},
        {"bytes_a_message", messages == 0 ? 0 : bytes / messages},
        {"hash", hash}};
    std::cout << result.dump() << "\n";
}

} // namespace

auto main() -> int
{
    for (const auto& size : {fleet_size{5, 10, 10}, fleet_size{5, 50, 50}, fleet_size{16, 170, 75},
                             fleet_size{50, 500, 250}, fleet_size{187, 2000, 875},
                             fleet_size{375, 4000, 1750}, fleet_size{750, 8000, 3500}})
    {
        run(size);
    }
    return 0;
}
