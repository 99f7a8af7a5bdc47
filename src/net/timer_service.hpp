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

/// Calls its subscribers at their own intervals, each on a thread of its own, so that a slow one
/// delays nobody else. Subscribe from any thread; a subscription ends with the service.
class timer_service final
{
public:
    timer_service() = default;
    ~timer_service();
    timer_service(const timer_service&) = delete;
    auto operator=(const timer_service&) -> timer_service& = delete;

    /// Calls `callback` every `interval` after its last return.
    auto subscribe(duration interval, std::function<void()> callback) -> void;
    /// Ends all subscriptions and waits for callbacks that run.
    auto stop() -> void;

private:
    auto run(duration interval, const std::function<void()>& callback) -> void;

    std::mutex mutex;
    std::condition_variable stop_requested;
    bool stopping = false;
    std::vector<std::thread> threads;
};

} // namespace poplardrift
