#pragma once

#include "poplardrift/base/time.hpp"

namespace poplardrift
{

/// Now on the machine's monotonic clock, as the shell feeds it to the core. Any thread.
[[nodiscard]] inline auto monotonic_now() -> time_point
{
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Milliseconds of wall-clock time since 1970.
[[nodiscard]] inline auto wall_clock_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace poplardrift
