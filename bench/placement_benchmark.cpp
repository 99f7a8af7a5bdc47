// Time and allocations of one choice of an upstream, over fleets of 10 to 8,000 upstreams.

#include "net/clock.hpp"
#include "routing/placement.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <random>

using namespace poplardrift;
using namespace poplardrift::routing;
using namespace std::chrono_literals;

namespace
{

std::atomic<std::uint64_t> allocations{0};

struct fleet
{
    service_rules rules;
    fleet_bounds bounds;
    zone_name zone{"a"};
    std::vector<live_upstream> upstreams;
    std::vector<prompt_metadata> prompts;
};

auto make_fleet(std::size_t count) -> fleet
{
    std::mt19937_64 random(count);
    fleet made;
    made.rules.engine = engine_rules{600'000, 327'680.0, 550'000.0};
    for (std::size_t number = 0; number < count; ++number)
    {
        live_upstream upstream;
        upstream.known.entry.name = upstream_name("e" + std::to_string(number));
        upstream.known.entry.zone = zone_name(number % 3 == 0 ? "a" : "b");
        upstream.known.usable_until = time_point::max();
        upstream.key = routing::upstream_key_of(upstream.known.entry.name);
        upstream.state = std::make_shared<upstream_state>(360'000);
        upstream.state->in_flight_elsewhere = static_cast<int>(random() % 8);
        made.upstreams.push_back(upstream);
    }
    for (int number = 0; number < 512; ++number)
    {
        prompt_metadata prompt;
        prompt.parts = {{1, 512}, {random(), 10'000}, {random(), 1'300}};
        prompt.input_tokens = 11'812;
        made.upstreams[random() % count].state->cache.on_prefilled(prompt);
        made.prompts.push_back(prompt);
    }
    return made;
}

/// What placement decides by, and for what.
enum class placement_mode
{
    constants,    ///< prompts, without learnt speeds
    learnt,       ///< prompts, with learnt speeds
    learnt_plain, ///< requests to a plain service, with learnt speeds
};

auto to_text(placement_mode mode) -> const char*
{
    switch (mode)
    {
    case placement_mode::constants:
        return "constants";
    case placement_mode::learnt:
        return "learnt";
    case placement_mode::learnt_plain:
        return "learnt, plain";
    }
    return "";
}

/// Gives all upstreams reports and learnt times.
auto learn(const fleet& made, service_speed& speed, time_point now) -> void
{
    for (const auto& upstream : made.upstreams)
    {
        auto& known = upstream.state->speed;
        known.on_load_report({3, 0, 16, static_cast<int>(80 + upstream.key % 100)}, now - 50ms);
        known.on_prompt_read(4'000, 3, {}, 45ms, speed, now);
        known.on_response({}, 30ms, speed, now);
    }
}

auto measure(std::size_t count, placement_mode mode) -> void
{
    const auto made = make_fleet(count);
    placement_query query;
    query.rules = &made.rules;
    query.own_zone = &made.zone;
    query.bounds = &made.bounds;
    host_group hosts;
    hosts.count = 5;
    query.hosts = &hosts;
    query.now = time_point(std::chrono::hours(1));
    service_speed speed;
    if (mode != placement_mode::constants)
    {
        learn(made, speed, query.now);
        query.speed = &speed;
    }
    const auto rounds = 2'000'000 / count + 50;
    placement_failure why;
    std::uint64_t chosen = 0;
    const auto allocated_before = allocations.load();
    const auto begin = monotonic_now();
    for (std::size_t round = 0; round < rounds; ++round)
    {
        const auto& prompt = made.prompts[round % made.prompts.size()];
        query.prompt = mode == placement_mode::learnt_plain ? nullptr : &prompt;
        query.affinity = prompt.parts[1].chain_hash;
        query.draw = prompt.parts[2].chain_hash + round;
        chosen += choose_upstream(made.upstreams, query, why).has_value() ? 1 : 0;
    }
    const auto took = to_seconds(monotonic_now() - begin);
    std::printf("%6zu upstreams, %-13s: %8.2f us a choice, %.2f allocations, %llu of %zu placed\n",
                count, to_text(mode), took * 1e6 / static_cast<double>(rounds),
                static_cast<double>(allocations.load() - allocated_before) /
                    static_cast<double>(rounds),
                static_cast<unsigned long long>(chosen), rounds);
}

} // namespace

auto operator new(std::size_t size) -> void*
{
    ++allocations;
    if (auto* const memory = std::malloc(size))
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

auto main() -> int
{
    for (const std::size_t count : {10U, 60U, 170U, 1'000U, 8'000U})
    {
        for (const auto mode :
             {placement_mode::constants, placement_mode::learnt, placement_mode::learnt_plain})
        {
            measure(count, mode);
        }
    }
}
