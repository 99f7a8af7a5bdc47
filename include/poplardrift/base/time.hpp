#pragma once

#include <chrono>
#include <cstdint>

namespace poplardrift
{

/// Duration type of the core, in nanoseconds.
using duration = std::chrono::nanoseconds;

/// Clock of the core: monotonic, with an arbitrary epoch. Callers pass in the current time; the
/// core never reads the system clock.
struct core_clock
{
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

/// Point in time on the core's clock.
using time_point = core_clock::time_point;

/// Timestamp by the log service's clock, in milliseconds since its epoch.
using log_time = std::chrono::milliseconds;

/// Converts to floating-point seconds, for metrics and reports.
[[nodiscard]] inline auto to_seconds(duration length) -> double
{
    return std::chrono::duration<double>(length).count();
}

/// Converts from floating-point seconds, truncated to nanoseconds.
[[nodiscard]] inline auto from_seconds(double seconds) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Converts to whole milliseconds, truncated, for logs and the wire.
[[nodiscard]] inline auto to_milliseconds(duration length) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

} // namespace poplardrift
