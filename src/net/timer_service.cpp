#include "net/timer_service.hpp"

namespace poplardrift
{

timer_service::~timer_service()
{
    this->stop();
}

auto timer_service::subscribe(duration interval, std::function<void()> callback) -> void
{
    const std::lock_guard lock(this->mutex);
    this->threads.emplace_back([this, interval, call = std::move(callback)]
                               { this->run(interval, call); });
}

auto timer_service::run(duration interval, const std::function<void()>& callback) -> void
{
    std::unique_lock lock(this->mutex);
    while (!this->stop_requested.wait_for(lock, interval, [&] { return this->stopping; }))
    {
        lock.unlock();
        callback();
        lock.lock();
    }
}

auto timer_service::stop() -> void
{
    std::vector<std::thread> ending;
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        ending.swap(this->threads);
    }
    this->stop_requested.notify_all();
    for (auto& thread : ending)
    {
        thread.join();
    }
}

} // namespace poplardrift
