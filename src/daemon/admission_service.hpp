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
    class locked final
    {
    public:
        explicit locked(admission_service& service) : service(service), lock(service.mutex) {}
        ~locked() { this->service.tell_ended(); }
        locked(const locked&) = delete;
        auto operator=(const locked&) -> locked& = delete;
        auto operator->() -> admission* { return &this->service.core; }
        auto operator*() -> admission& { return this->service.core; }

    private:
        admission_service& service;
        std::lock_guard<std::mutex> lock;
    };

    /// `on_ask` wakes the control thread when a wait asks an owner; it is called without the lock.
    admission_service(admission_settings settings, std::function<void()> on_ask);

    /// Takes the lock for a few calls. Control thread and tests.
    [[nodiscard]] auto access() -> locked { return locked(*this); }

    /// The present view; traffic threads keep it for one request.
    [[nodiscard]] auto view() -> std::shared_ptr<const routing_view>;
    /// Waits for a slot until the wish's deadline. The slot is held until `release`.
    [[nodiscard]] auto acquire(const placement_request& wish) -> wait_result;
    /// The owner had no slot for a forwarded request, or could not be reached; waits for the next
    /// place.
    [[nodiscard]] auto acquire_after_denial(placement_request& wish, const forward_to_owner& tried,
                                            bool reached) -> wait_result;
    auto on_forward_accepted(const placement_request& wish, upstream_id upstream) -> void;
    auto on_forward_ended(upstream_id upstream) -> void;
    auto release(upstream_id upstream, workspace_id workspace) -> void;
    /// To be asked right before sending.
    [[nodiscard]] auto still_valid(upstream_id upstream) -> bool;
    [[nodiscard]] auto on_result(upstream_id upstream, bool succeeded) -> bool;
    /// A number for a new request.
    [[nodiscard]] auto next_request() -> request_id;

private:
    friend class locked;

    struct wait_handle
    {
        std::condition_variable changed;
        std::optional<wait_result> result;
    };

    /// Waits for the end of a placement that is not final.
    [[nodiscard]] auto wait_for(const placement_request& wish, const placement_result& first,
                                std::unique_lock<std::mutex>& lock) -> wait_result;
    /// Wakes those whose wait has ended. Called with the lock held.
    auto tell_ended() -> void;

    std::mutex mutex;
    admission core;
    std::function<void()> on_ask;
    std::map<request_id, wait_handle*> waits;
    std::uint64_t requests = 0;
};

} // namespace poplardrift
