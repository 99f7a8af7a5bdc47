#include "net/growing_task_queue.hpp"

#include <pthread.h>

#include <thread>

namespace poplardrift
{

namespace
{

thread_local bool serves_overflow_connection = false;

} // namespace

growing_task_queue::growing_task_queue(std::size_t max_connections)
    : max_connections(max_connections)
{
}

auto growing_task_queue::is_overflow() -> bool
{
    return serves_overflow_connection;
}

auto growing_task_queue::enqueue(std::function<void()> job) -> void
{
    const std::lock_guard lock(this->mutex);
    this->tasks.push_back(
        {std::move(job), this->busy + this->tasks.size() >= this->max_connections});
    if (this->idle >= this->tasks.size())
    {
        this->changed.notify_one();
        return;
    }
    ++this->threads;
    std::thread([this] { this->work(); }).detach();
}

auto growing_task_queue::work() -> void
{
    std::unique_lock lock(this->mutex);
    while (true)
    {
        ++this->idle;
        this->changed.wait(lock, [&] { return !this->tasks.empty() || this->stopping; });
        --this->idle;
        if (this->tasks.empty())
        {
            break;
        }
        auto next = std::move(this->tasks.front());
        this->tasks.pop_front();
        ++this->busy;
        lock.unlock();
        serves_overflow_connection = next.overflow;
        next.job();
        next.job = nullptr;
        lock.lock();
        --this->busy;
    }
    --this->threads;
    this->changed.notify_all();
}

auto growing_task_queue::shutdown() -> void
{
    std::unique_lock lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
    this->changed.wait(lock, [&] { return this->threads == 0; });
}

} // namespace poplardrift
