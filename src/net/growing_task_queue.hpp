#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace poplardrift
{

/// Thread pool of an HTTP server with one thread per connection. Threads are created on demand and
/// reused. Connections above `max_connections` also get a thread, but only to be rejected: handlers
/// check `is_overflow`. Owned by the server.
class growing_task_queue final : public httplib::TaskQueue
{
public:
    explicit growing_task_queue(std::size_t max_connections);
    ~growing_task_queue() override = default;

    auto enqueue(std::function<void()> job)
        -> void override; // NOLINT(modernize-use-trailing-return-type)
    auto shutdown() -> void override;

    /// True on a thread that serves a connection above the limit.
    [[nodiscard]] static auto is_overflow() -> bool;

private:
    struct task
    {
        std::function<void()> job;
        bool overflow = false;
    };

    auto work() -> void;

    std::size_t max_connections;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<task> tasks;
    std::size_t threads = 0;
    std::size_t idle = 0;
    std::size_t busy = 0;
    bool stopping = false;
};

} // namespace poplardrift
