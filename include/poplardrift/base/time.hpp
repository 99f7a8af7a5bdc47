#pragma once

#include <chrono>
#include <cstdint>

namespace poplardrift
{

/// Length of time inside the core.
using duration = std::chrono::nanoseconds;

/// Clock of the core: monotonic, with an arbitrary start. The shell feeds it; nothing in the core
/// reads the machine's clock.
struct core_clock
{
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

/// Instant on the core's clock.
using time_point = core_clock::time_point;

/// Instant on the log service's clock, in milliseconds since its epoch.
using log_time = std::chrono::milliseconds;

/// Seconds as a floating-point number, for metrics and reports.
[[nodiscard]] inline auto to_seconds(duration length) -> double
{
    return std::chrono::duration<double>(length).count();
}

/// Whole milliseconds, for logs and the wire.
[[nodiscard]] inline auto to_milliseconds(duration length) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

} // namespace poplardrift
