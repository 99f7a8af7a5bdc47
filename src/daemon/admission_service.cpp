#include "daemon/admission_service.hpp"

#include "net/clock.hpp"

namespace poplardrift
{

namespace
{

/// A wait that no tick of admission has ended gives up this long after its deadline.
constexpr duration deadline_slack = std::chrono::milliseconds(500);

} // namespace

admission_service::admission_service(admission_settings settings,
                                     std::function<void()> on_slot_request)
    : core(settings), on_slot_request(std::move(on_slot_request))
{
}

auto admission_service::notify_finished_waits() -> void
{
    for (const auto& item : this->core.take_ended())
    {
        const auto found = this->waits.find(item.id);
        if (found == this->waits.end())
        {
            continue;
        }
        found->second->result = item.result;
        found->second->changed.notify_one();
        this->waits.erase(found);
    }
}

auto admission_service::view() -> std::shared_ptr<const routing_view>
{
    const std::lock_guard lock(this->mutex);
    return this->core.view();
}

auto admission_service::next_request_id() -> request_id
{
    const std::lock_guard lock(this->mutex);
    return request_id{++this->requests};
}

auto admission_service::acquire(const placement_request& request) -> wait_result
{
    std::unique_lock lock(this->mutex);
    const auto result = this->core.request(request, monotonic_now());
    return this->wait_for(request, result, lock);
}

auto admission_service::acquire_after_denial(placement_request& request,
                                             const forward_to_owner& tried, bool reached)
    -> wait_result
{
    std::unique_lock lock(this->mutex);
    const auto result = this->core.on_denied(request, tried, reached, monotonic_now());
    return this->wait_for(request, result, lock);
}

auto admission_service::wait_for(const placement_request& request, const placement_result& first,
                                 std::unique_lock<std::mutex>& lock) -> wait_result
{
    this->notify_finished_waits();
    if (const auto* place = std::get_if<placed>(&first))
    {
        return *place;
    }
    if (const auto* forward = std::get_if<forward_to_owner>(&first))
    {
        return *forward;
    }
    if (const auto* refusal = std::get_if<refused>(&first))
    {
        return *refusal;
    }
    wait_handle handle;
    this->waits.emplace(request.id, &handle);
    lock.unlock();
    this->on_slot_request();
    lock.lock();
    const auto until =
        std::chrono::steady_clock::time_point(request.deadline.time_since_epoch() + deadline_slack);
    handle.changed.wait_until(lock, until, [&] { return handle.result.has_value(); });
    if (!handle.result)
    {
        this->waits.erase(request.id);
        this->core.cancel(request.id);
        return refused{refusal::queue_timeout};
    }
    return *handle.result;
}

auto admission_service::on_forward_accepted(const placement_request& request, upstream_id upstream)
    -> void
{
    const std::lock_guard lock(this->mutex);
    this->core.on_forward_accepted(request, upstream);
}

auto admission_service::on_forward_ended(upstream_id upstream) -> void
{
    const std::lock_guard lock(this->mutex);
    this->core.on_forward_ended(upstream, monotonic_now());
    this->notify_finished_waits();
}

auto admission_service::release(upstream_id upstream, workspace_id workspace) -> void
{
    const std::lock_guard lock(this->mutex);
    this->core.release(upstream, workspace, monotonic_now());
    this->notify_finished_waits();
}

auto admission_service::still_valid(upstream_id upstream) -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->core.still_valid(upstream, monotonic_now());
}

auto admission_service::on_result(upstream_id upstream, bool succeeded) -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->core.on_result(upstream, succeeded, monotonic_now());
}

} // namespace poplardrift
