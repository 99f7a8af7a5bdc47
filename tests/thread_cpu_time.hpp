#pragma once

#include <chrono>
#include <ctime>

namespace poplardrift::tests
{

/// Processor time that the calling thread has used. Unlike wall time it does not depend on what
/// else the machine runs.
[[nodiscard]] inline auto thread_cpu_time() -> std::chrono::nanoseconds
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Processor time that `work` takes on the calling thread.
template <class Work>
[[nodiscard]] auto cpu_time_of(const Work& work) -> std::chrono::nanoseconds
{
    const auto begin = thread_cpu_time();
    work();
    return thread_cpu_time() - begin;
}

/// The lag with which callers accept the events of a stream. While the traffic thread works on the
/// bytes of one read, it forwards no event of any other stream.
inline constexpr std::chrono::milliseconds max_time_for_one_read{120};

} // namespace poplardrift::tests
