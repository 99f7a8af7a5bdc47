#pragma once

#include "poplardrift/base/time.hpp"

#include <chrono>
#include <ctime>

namespace poplardrift
{

/// Current time of the monotonic clock, the time source of the core state machines. Any thread.
[[nodiscard]] inline auto monotonic_now() -> time_point
{
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Current time of the boot clock, which also advances while the machine is suspended, so that
/// deadlines and leases expire during that time. Any thread.
[[nodiscard]] inline auto boot_clock_now() -> time_point
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

/// Wall-clock time in milliseconds since the Unix epoch. Any thread.
[[nodiscard]] inline auto wall_clock_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace poplardrift
