// Prints what callers get from several ways of admission on the same sequences of arrivals.

#include "overload/overload_simulation.hpp"

#include <chrono>
#include <cstdio>

using namespace poplardrift;
using namespace poplardrift::overload;
using namespace std::chrono_literals;

namespace
{

/// Prints the mean time of one decision while 10,000 requests wait.
auto print_decision_time() -> void
{
    const time_point now(1h);
    admission_gate gate;
    gate.capacity().set_remote({service_key(1), 1e6, 2e5, 1.5}, 0ms);
    const auto make = [&](std::uint64_t id) {
        return gate_request{id, id % 50, static_cast<int>(id % 3), now, 16s, now + 60s + id * 1us,
                            0};
    };
    std::vector<gate_decision> ended;
    for (std::uint64_t id = 0; id < 200'000 && gate.waiting_count() < 10'000; ++id)
    {
        (void)gate.offer(make(id), now);
    }
    const auto waiting = gate.waiting_count();
    constexpr int rounds = 100'000;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t id = 0; id < rounds; ++id)
    {
        const auto decision = gate.offer(make(id * 7919 % 1'000'003), now);
        gate.release(now, ended);
        gate.withdraw(decision.ticket);
        ended.clear();
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    std::printf("decision with %zu waiting: %.2f us\n", waiting, took.count() / rounds);
}

} // namespace

auto main() -> int
{
    print_decision_time();
    for (const bool with_gate : {false, true})
    {
        for (const std::size_t hosts : {1U, 5U, 34U})
        {
            for (const duration age : {duration(0ms), duration(300ms), duration(1s)})
            {
                for (const double load : {0.8, 1.0, 1.25, 2.0, 3.0})
                {
                    simulation_settings settings;
                    settings.hosts = hosts;
                    settings.load = load;
                    settings.figures_age = age;
                    settings.with_gate = with_gate;
                    auto result = simulation(settings).run();
                    const auto seconds = to_seconds(settings.load_phase);
                    std::printf("gate %d hosts %2zu age %.1f load %.2f goodput %.3f served %.3f "
                                "declined %5d calm %.3f wait %2lld ms classes",
                                with_gate ? 1 : 0, hosts, to_seconds(age), load,
                                result.all.in_time / seconds / settings.capacity() /
                                    std::min(1.0, load),
                                result.all.served / seconds / settings.capacity(), result.declined,
                                result.calm.share_in_time(),
                                static_cast<long long>(to_milliseconds(result.longest_wait)));
                    for (const auto& [priority, group] : result.by_class)
                    {
                        std::printf(" %.2f", group.share_in_time());
                    }
                    std::printf("\n");
                }
            }
        }
    }
    return 0;
}
