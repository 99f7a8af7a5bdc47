#pragma once

#include "poplardrift/admission/admission.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace poplardrift
{

/// Admission as traffic threads use it: one short lock around the core, and a wait for requests
/// that must queue.
class admission_service final
{
public:
    /// Access to the core while the lock is held.
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

    /// `on_ask` wakes the control thread when a wait asks an owner; it is called without the lock.
    admission_service(admission_settings settings, std::function<void()> on_slot_request);

    /// Takes the lock for a few calls. Control thread and tests.
    [[nodiscard]] auto access() -> locked_core { return locked_core(*this); }

    /// The present view; traffic threads keep it for one request.
    [[nodiscard]] auto view() -> std::shared_ptr<const routing_view>;
    /// Waits for a slot until the wish's deadline. The slot is held until `release`.
    [[nodiscard]] auto acquire(const placement_request& request) -> wait_result;
    /// The owner had no slot for a forwarded request, or could not be reached; waits for the next
    /// place.
    [[nodiscard]] auto acquire_after_denial(placement_request& request,
                                            const forward_to_owner& tried, bool reached)
        -> wait_result;
    auto on_forward_accepted(const placement_request& request, upstream_id upstream) -> void;
    auto on_forward_ended(upstream_id upstream) -> void;
    auto release(upstream_id upstream, workspace_id workspace) -> void;
    /// To be asked right before sending.
    [[nodiscard]] auto still_valid(upstream_id upstream) -> bool;
    [[nodiscard]] auto on_result(upstream_id upstream, bool succeeded) -> bool;
    /// A number for a new request.
    [[nodiscard]] auto next_request_id() -> request_id;

private:
    friend class locked_core;

    struct wait_handle
    {
        std::condition_variable changed;
        std::optional<wait_result> result;
    };

    /// Waits for the end of a placement that is not final.
    [[nodiscard]] auto wait_for(const placement_request& request, const placement_result& first,
                                std::unique_lock<std::mutex>& lock) -> wait_result;
    /// Wakes those whose wait has ended. Called with the lock held.
    auto notify_finished_waits() -> void;

    std::mutex mutex;
    admission core;
    std::function<void()> on_slot_request;
    std::map<request_id, wait_handle*> waits;
    std::uint64_t requests = 0;
};

} // namespace poplardrift
