// Prints what callers get from several ways of admission on the same sequences of arrivals.

#include "overload/overload_simulation.hpp"

#include <cstdio>

using namespace poplardrift;
using namespace poplardrift::overload;
using namespace std::chrono_literals;

auto main() -> int
{
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
