#pragma once

#include "poplardrift/base/time.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace poplardrift
{

/// Runs periodic callbacks, each on its own thread, so that a slow callback does not delay others.
/// Callbacks may be registered from any thread and run until the service stops.
class timer_service final
{
public:
    timer_service() = default;
    ~timer_service();
    timer_service(const timer_service&) = delete;
    auto operator=(const timer_service&) -> timer_service& = delete;

    /// Calls `callback` periodically; each interval starts when the previous call has returned.
    auto subscribe(duration interval, std::function<void()> callback) -> void;
    /// Stops all callbacks and waits for running ones to return.
    auto stop() -> void;

private:
    auto run(duration interval, const std::function<void()>& callback) -> void;

    std::mutex mutex;
    std::condition_variable stop_requested;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace poplardrift
