#pragma once

#include "poplardrift/admission/admission.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace poplardrift
{

/// Thread-safe access to the admission core for traffic threads: one mutex that is held briefly,
/// and blocking waits for requests that are queued.
class admission_service final
{
public:
    /// Holds the mutex and gives access to the core. On destruction, wakes the threads whose waits
    /// have ended.
    class locked_core final
    {
    public:
        explicit locked_core(admission_service& service) : service(service), lock(service.mutex) {}
        ~locked_core() { this->service.notify_finished_waits(); }
        locked_core(const locked_core&) = delete;
        auto operator=(const locked_core&) -> locked_core& = delete;
        auto operator->() -> admission* { return &this->service.core; }
        auto operator*() -> admission& { return this->service.core; }

    private:
        admission_service& service;
        std::lock_guard<std::mutex> lock;
    };

    /// `on_slot_request` is called without the lock when a request is queued, because its wait may
    /// request slots from an owner. It must wake the control thread.
    admission_service(admission_settings settings, std::function<void()> on_slot_request);

    /// Locks the core for a few calls. For the control thread.
    [[nodiscard]] auto access() -> locked_core { return locked_core(*this); }

    /// Current routing view; traffic threads keep it for one request.
    [[nodiscard]] auto view() -> std::shared_ptr<const routing_view>;
    /// Blocks until a slot is available or the request's deadline passes. The slot is held until
    /// `release`.
    [[nodiscard]] auto acquire(const placement_request& request) -> wait_result;
    /// Waits for another placement after the owner had no slot for a forwarded request or could not
    /// be reached (`reached` is false).
    [[nodiscard]] auto acquire_after_denial(placement_request& request,
                                            const forward_to_owner& tried, bool reached)
        -> wait_result;
    auto on_forward_accepted(const placement_request& request, upstream_id upstream) -> void;
    auto on_forward_ended(upstream_id upstream) -> void;
    auto release(upstream_id upstream, workspace_id workspace) -> void;
    /// True while the upstream may still be used. Must be checked right before sending.
    [[nodiscard]] auto still_valid(upstream_id upstream) -> bool;
    [[nodiscard]] auto on_result(upstream_id upstream, bool succeeded) -> bool;
    /// Returns an id for a new request, unique within the process.
    [[nodiscard]] auto next_request_id() -> request_id;

private:
    friend class locked_core;

    struct wait_handle
    {
        std::condition_variable changed;
        std::optional<wait_result> result;
    };

    /// Returns the result if `first` is final, else blocks until the queued request is placed,
    /// forwarded or refused.
    [[nodiscard]] auto wait_for(const placement_request& request, const placement_result& first,
                                std::unique_lock<std::mutex>& lock) -> wait_result;
    /// Wakes the threads whose requests have a final result. Requires the lock.
    auto notify_finished_waits() -> void;

    std::mutex mutex;
    admission core;
    std::function<void()> on_slot_request;
    std::map<request_id, wait_handle*> waits;
    std::uint64_t requests = 0;
};

} // namespace poplardrift
