#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/gossip/messages.hpp"
#include "poplardrift/placement/exception_table.hpp"
#include "poplardrift/placement/routing_view.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace poplardrift
{

/// Placement policy of a host. Production uses the first; the others are baselines for experiments.
enum class placement_policy : std::uint8_t
{
    affinity_within_bounds, ///< rendezvous hashing, exceptions and hints, within granted slots
    round_robin,            ///< next upstream in rotation, no bounds
    least_loaded,           ///< fewest requests in flight from this host, no bounds
    rendezvous,             ///< always the first choice by rendezvous hashing, no bounds
    bounded_rendezvous,     ///< rendezvous hashing with a load bound from this host's load only
};

/// Settings of admission.
struct admission_settings
{
    placement_policy policy = placement_policy::affinity_within_bounds;
    duration min_target_wait = std::chrono::milliseconds(25); ///< shortest wait for a target
    std::size_t exception_capacity = 1 << 17;         ///< most conversations in the exception table
    duration base_ejection = std::chrono::seconds(2); ///< first ejection; doubles with each one
    duration max_ejection = std::chrono::seconds(60); ///< longest ejection
    host_id self;                                     ///< this host
    std::uint32_t max_forwards = 3; ///< most owners that a request is forwarded to
    duration owner_backoff = std::chrono::seconds(1); ///< no forwards to a failed owner
    std::uint32_t consecutive_failures_to_eject = 3;
    double max_ejected_share = 0.5; ///< share of a pool that may be ejected
};

/// A request for a slot of an upstream.
struct placement_request
{
    static constexpr std::size_t max_excluded = 4;

    request_id id;
    pool_id pool;
    workspace_id workspace;
    double share = 1.0;              ///< the workspace's weight in the fair queue
    std::int64_t max_queued = 256;   ///< most waiting requests of the workspace in the pool
    conversation_id conversation;    ///< zero: no affinity
    std::optional<upstream_id> hint; ///< upstream of the previous turn, given by the caller
    std::int32_t priority = 0;       ///< higher goes first within the workspace
    time_point deadline{};           ///< end of the wait for a slot
    std::array<upstream_id, max_excluded> excluded{}; ///< tried before; zero: unused
    std::optional<upstream_id> pinned; ///< forwarded by another host; may only use this upstream
    bool may_forward = false;          ///< may be forwarded to the owner of an upstream
    bool is_new = false;    ///< first turn: no upstream has cached any of the conversation
    duration target_wait{}; ///< wait for the target before any other is used
    std::uint32_t denied_forwards = 0; ///< forwards that failed or that owners denied
};

/// Result: the request holds a slot of this upstream until `release`.
struct placed
{
    upstream_id upstream;
};

/// Result: forward the request to the owner of the upstream, which admits or denies it. This host
/// holds no slot for it.
struct forward_to_owner
{
    host_id owner;
    upstream_id upstream;
};

/// Result: the request is queued; `take_ended` returns the outcome.
struct waiting
{
};

enum class refusal : std::uint8_t
{
    no_upstream,   ///< no upstream of the pool is usable
    queue_full,    ///< this host's queue or the workspace's queue is full
    queue_timeout, ///< the deadline passed without a free slot
    no_slot,       ///< the pinned upstream has no free slot
};

struct refused
{
    refusal reason = refusal::no_upstream;
};

using placement_result = std::variant<placed, forward_to_owner, waiting, refused>;
/// Outcome of a wait.
using wait_result = std::variant<placed, forward_to_owner, refused>;

/// Text of a refusal reason for logs and problem details.
[[nodiscard]] auto to_text(refusal reason) -> std::string_view;

/// End of a wait.
struct wait_ended
{
    request_id id;
    wait_result result;
};

/// This host's use of one upstream's slots, as reported to the owner.
struct slot_use
{
    upstream_id upstream;
    host_id owner;
    std::uint32_t in_use = 0;
    std::uint32_t wanted = 0;
    std::uint32_t held = 0;
};

/// Counts of placement outcomes since the process started.
struct placement_counts
{
    std::uint64_t preferred = 0;           ///< placed on the preferred upstream without a wait
    std::uint64_t preferred_waited = 0;    ///< placed on the preferred upstream after a wait
    std::uint64_t elsewhere = 0;           ///< placed on another upstream
    std::uint64_t forwarded = 0;           ///< forwarded to the owner of the preferred upstream
    std::uint64_t forwarded_elsewhere = 0; ///< forwarded to the owner of another upstream
    std::uint64_t denied = 0;              ///< forwards that failed or that the owner denied
    std::uint64_t refused = 0;
    std::uint64_t left_out = 0; ///< waits that the next grant from the target's owner did not serve
    std::uint64_t unanswered = 0; ///< waits that gave up their first target; includes `left_out`
};

/// Admission control and placement of this host's requests: uses only slots granted by upstream
/// owners, prefers the upstream with the conversation's cache, and queues requests with weighted
/// fair sharing among workspaces. Free of I/O. Not thread-safe: traffic threads call it under a
/// short lock, so nothing here blocks. Placement without a wait allocates nothing.
class admission final
{
public:
    explicit admission(admission_settings settings);

    /// Replaces the routing view. Refuses waiting requests whose pool no longer exists.
    auto set_view(std::shared_ptr<const routing_view> view, time_point now) -> void;
    [[nodiscard]] auto view() const -> const std::shared_ptr<const routing_view>&
    {
        return this->current;
    }

    /// Places a request, queues it or refuses it.
    [[nodiscard]] auto request(const placement_request& request, time_point now)
        -> placement_result;
    /// Places a request again after its owner denied the forward, or could not be reached
    /// (`reached` is false).
    [[nodiscard]] auto on_denied(placement_request& request, const forward_to_owner& tried,
                                 bool reached, time_point now) -> placement_result;
    /// Records that the owner admitted a forwarded request.
    auto on_forward_accepted(const placement_request& request, upstream_id upstream) -> void;
    /// Records that a forwarded request ended, which frees a slot at its owner.
    auto on_forward_ended(upstream_id upstream, time_point now) -> void;
    /// Releases a slot and serves waiting requests with it.
    auto release(upstream_id upstream, workspace_id workspace, time_point now) -> void;
    /// Removes a waiting request, for example when the caller disconnects. False when it no longer
    /// waits.
    auto cancel(request_id id) -> bool;
    /// True while the slot's lease is valid. Check it right before sending, since the process may
    /// have been paused after the slot was taken.
    [[nodiscard]] auto still_valid(upstream_id upstream, time_point now) const -> bool;

    /// Records a request's success or failure at an upstream. True when this failure ejects the
    /// upstream.
    auto on_result(upstream_id upstream, bool succeeded, time_point now) -> bool;

    /// Applies a grant from the upstream's owner and serves waiting requests.
    auto on_grant(upstream_id upstream, std::uint32_t slots, time_point valid_until, time_point now)
        -> void;
    /// Stores the owner's advertised count of free slots, which guides where waiting requests
    /// go.
    auto on_free_slots(upstream_id upstream, std::uint32_t free_slots) -> void;
    /// Granted slots of an upstream that this host does not use yet.
    [[nodiscard]] auto free_slots(upstream_id upstream, time_point now) const -> std::uint32_t;
    /// Revokes all granted slots of an upstream because it turned cold or is suspected of a fault.
    auto revoke(upstream_id upstream) -> void;
    /// Stores a placement exception from another host.
    auto on_exception(const placement_exception& item) -> void;
    /// Ends waits past their deadline. Lets requests whose target wait has passed use any upstream.
    auto on_tick(time_point now) -> void;

    /// Returns the waits that ended since the last call.
    [[nodiscard]] auto take_ended() -> std::vector<wait_ended>;
    /// Returns the owners that need a slot report because of new waits since the last call.
    /// Allocates nothing when there are none.
    [[nodiscard]] auto take_owners_to_notify() -> std::set<host_id>;
    [[nodiscard]] auto has_owners_to_notify() const -> bool
    {
        return !this->owners_to_notify.empty();
    }
    /// Returns up to `max_count` of the newest placement exceptions to send to other hosts, oldest
    /// first.
    [[nodiscard]] auto take_exceptions(std::size_t max_count) -> std::vector<placement_exception>;
    /// Slot use of all upstreams where it is not zero, by pool, then in the view's order of
    /// upstreams.
    [[nodiscard]] auto uses(time_point now) const -> std::vector<slot_use>;
    /// Requests in flight by pool: at warm upstreams, and at all eligible ones.
    [[nodiscard]] auto loads() const -> std::vector<pool_load>;
    [[nodiscard]] auto counts() const noexcept -> const placement_counts& { return this->tally; }
    [[nodiscard]] auto in_flight() const noexcept -> std::uint32_t { return this->total_in_flight; }
    [[nodiscard]] auto queued() const noexcept -> std::uint32_t { return this->total_queued; }

private:
    struct slot_state
    {
        pool_id pool;
        std::uint32_t granted = 0;
        std::uint32_t in_use = 0;
        std::uint32_t wanted = 0;          ///< waiting requests whose target it is
        std::uint32_t reported_wanted = 0; ///< of those, requests reported to the owner
        std::uint32_t published_free = 0;  ///< free slots advertised by the owner
        time_point valid_until{};
        time_point next_probe{}; ///< earliest forward to an owner that advertises no free slot
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        time_point ejected_until{};
    };

    struct waiter
    {
        placement_request request;
        upstream_id target;         ///< upstream that the request waits for
        upstream_id first_target;   ///< preferred upstream at arrival
        bool accepts_any = false;   ///< target wait has passed: any upstream will do
        time_point next_retarget{}; ///< time of the next choice of a target
    };

    /// Queue order within a workspace: higher priority first, then arrival order.
    struct waiter_key
    {
        std::int32_t negated_priority = 0;
        std::uint64_t arrival = 0;
        // NOLINTNEXTLINE: clang-tidy does not recognize a defaulted comparison
        friend auto operator<=>(const waiter_key&, const waiter_key&) = default;
    };

    using workspace_queue = std::map<waiter_key, waiter>;

    struct pool_state
    {
        std::vector<slot_state*> slots;                 ///< in the view's order of upstreams
        std::map<workspace_id, workspace_queue> queues; ///< empty ones are removed at the next tick
        std::uint32_t rotation = 0; ///< index used last, for round robin and ties
    };

    /// A pool of the view and this host's state of it.
    struct pool_ref
    {
        const pool_view* view = nullptr;
        pool_state* state = nullptr;
    };

    /// Candidates of one scan over a pool, as indexes into its upstreams.
    struct candidates
    {
        std::optional<std::size_t> home;      ///< first choice among all declared
        std::optional<std::size_t> usable;    ///< first choice among usable ones
        std::optional<std::size_t> available; ///< first choice among usable ones with a free slot
    };

    [[nodiscard]] auto find_pool(pool_id id) -> pool_ref;
    [[nodiscard]] auto is_usable(const pool_ref& pool, std::size_t index,
                                 const placement_request& request, time_point now) const -> bool;
    [[nodiscard]] auto has_free_slot(const slot_state& slot, time_point now) const -> bool;
    [[nodiscard]] auto scan(const pool_ref& pool, const placement_request& request,
                            time_point now) const -> candidates;
    [[nodiscard]] auto scan_least_used(const pool_ref& pool, const placement_request& request,
                                       time_point now) const -> candidates;
    [[nodiscard]] auto preferred(const pool_ref& pool, const candidates& found,
                                 const placement_request& request, time_point now)
        -> std::optional<std::size_t>;
    [[nodiscard]] auto pick_baseline(const pool_ref& pool, const placement_request& request,
                                     time_point now) -> std::optional<std::size_t>;
    [[nodiscard]] auto within_local_bound(const pool_ref& pool, std::size_t index) const -> bool;
    auto take_slot(const pool_ref& pool, std::size_t index, const placement_request& request)
        -> placed;
    auto record_placement(const pool_ref& pool, std::size_t index, conversation_id conversation)
        -> void;
    [[nodiscard]] auto place_elsewhere(const pool_ref& pool, const placement_request& request,
                                       std::size_t target, time_point now) -> placement_result;
    [[nodiscard]] auto estimated_free_slots(const pool_ref& pool, std::size_t index,
                                            time_point now) const -> std::int64_t;
    [[nodiscard]] auto most_free_upstream(const pool_ref& pool, const placement_request& request,
                                          time_point now) const -> std::optional<std::size_t>;
    [[nodiscard]] auto has_unrestricted_waiter(const pool_ref& pool) const -> bool;
    [[nodiscard]] auto may_have_slot(const pool_ref& pool, std::size_t index, time_point now) const
        -> bool;
    [[nodiscard]] auto is_reachable_owner(host_id owner, time_point now) const -> bool;
    [[nodiscard]] auto place_pinned(const pool_ref& pool, const placement_request& request,
                                    time_point now) -> placement_result;
    auto forward(const pool_ref& pool, std::size_t index) -> forward_to_owner;
    auto forward_waiters(const pool_ref& pool, time_point now) -> void;
    [[nodiscard]] auto index_of(const pool_ref& pool, upstream_id id) const
        -> std::optional<std::size_t>;
    [[nodiscard]] auto enqueue(const pool_ref& pool, std::size_t target,
                               const placement_request& request, time_point now)
        -> placement_result;
    auto set_target(const pool_ref& pool, waiter& item, std::size_t index, bool notify_owner)
        -> void;
    [[nodiscard]] auto choose_target(const pool_ref& pool, const waiter& item, time_point now) const
        -> std::optional<std::size_t>;
    /// A waiting request and its queue.
    struct waiter_ref
    {
        workspace_queue* queue = nullptr;
        workspace_queue::iterator position;
    };

    [[nodiscard]] auto next_waiter(const pool_ref& pool, std::size_t index, time_point now,
                                   bool by_forward) -> waiter_ref;
    auto serve_waiters(const pool_ref& pool, std::size_t index, time_point now) -> void;
    auto retarget_waiter(const pool_ref& pool, waiter& item, time_point now)
        -> std::optional<wait_result>;
    auto tick_pool(const pool_ref& pool, time_point now) -> void;
    auto tick_queue(const pool_ref& pool, workspace_queue& queue, time_point now) -> void;
    auto drop_waiter(workspace_queue& queue, workspace_queue::iterator position)
        -> workspace_queue::iterator;
    [[nodiscard]] auto ejected_share(const pool_ref& pool, time_point now) const -> double;

    admission_settings settings;
    std::shared_ptr<const routing_view> current;
    std::map<upstream_id, slot_state> slots; ///< node addresses are stable
    std::map<pool_id, pool_state> pools;
    std::map<workspace_id, std::uint32_t> workspace_in_flight;
    exception_table exceptions;
    std::vector<placement_exception> outgoing_exceptions;
    std::vector<wait_ended> ended;
    std::set<host_id> owners_to_notify;
    std::map<host_id, time_point> failed_owners; ///< with the end of their backoff
    placement_counts tally;
    std::uint64_t arrivals = 0;
    std::uint32_t total_in_flight = 0;
    std::uint32_t total_queued = 0;
};

} // namespace poplardrift
