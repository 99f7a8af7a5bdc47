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

/// How a host chooses among upstreams. The first is the product; the others are baselines that
/// experiments compare with.
enum class placement_policy : std::uint8_t
{
    affinity_within_bounds, ///< rendezvous, exceptions and hints, within granted slots
    round_robin,            ///< next in turn, no bounds
    least_loaded,           ///< fewest requests in flight from this host, no bounds
    rendezvous,             ///< first choice always, no bounds
    bounded_rendezvous,     ///< rendezvous with bounded load as this host alone sees it
};

/// Settings of admission.
struct admission_settings
{
    placement_policy policy = placement_policy::affinity_within_bounds;
    duration min_target_wait = std::chrono::milliseconds(25); ///< wait for the first choice's owner
    std::size_t exception_capacity = 1 << 17;                 ///< conversations remembered
    duration base_ejection = std::chrono::seconds(2);         ///< shortest local ejection
    duration max_ejection = std::chrono::seconds(60);         ///< longest local ejection
    host_id self;                                             ///< this host
    std::uint32_t max_forwards = 3;                   ///< owners that one request is sent to
    duration owner_backoff = std::chrono::seconds(1); ///< an owner that fails is left alone so long
    std::uint32_t consecutive_failures_to_eject = 3;  ///< in a row
    double max_ejected_share = 0.5;                   ///< share of a pool that may be ejected
};

/// A request that asks for an upstream.
struct placement_request
{
    static constexpr std::size_t max_excluded = 4;

    request_id id;
    pool_id pool;
    workspace_id workspace;
    double share = 1.0;                               ///< the workspace's weight against others
    std::int64_t max_queued = 256;                    ///< most waiting requests of the workspace
    conversation_id conversation;                     ///< zero: no affinity
    std::optional<upstream_id> hint;                  ///< where the caller says that it last ran
    std::int32_t priority = 0;                        ///< higher goes first within the workspace
    time_point deadline{};                            ///< end of the wait for a slot
    std::array<upstream_id, max_excluded> excluded{}; ///< tried before; zero: unused
    std::optional<upstream_id> pinned; ///< another host sent it for a slot of this upstream only
    bool may_forward = false; ///< the request may go through the host that owns an upstream
    bool is_new = false;      ///< no upstream can hold anything of the conversation yet
    duration target_wait{};   ///< what waiting for the wanted upstream is worth
    std::uint32_t denied_forwards = 0; ///< owners that had no slot for it
};

/// The request holds a slot of this upstream until `release`.
struct placed
{
    upstream_id upstream;
};

/// The owner of the upstream decides: send the request through it. No slot is held here.
struct forward_to_owner
{
    host_id owner;
    upstream_id upstream;
};

/// The request waits; an event will tell how it ends.
struct waiting
{
};

enum class refusal : std::uint8_t
{
    no_upstream,   ///< none of the pool may take work
    queue_full,    ///< this host's queue, or the workspace's part of it
    queue_timeout, ///< no slot came free in time
    no_slot,       ///< the pinned upstream has no slot now
};

struct refused
{
    refusal reason = refusal::no_upstream;
};

using placement_result = std::variant<placed, forward_to_owner, waiting, refused>;
/// How a wait can end.
using wait_result = std::variant<placed, forward_to_owner, refused>;

/// Text of a refusal, for logs and problem details.
[[nodiscard]] auto to_text(refusal reason) -> std::string_view;

/// End of a wait.
struct wait_ended
{
    request_id id;
    wait_result result;
};

/// Use of one upstream's slots, for the report to its owner.
struct slot_use
{
    upstream_id upstream;
    host_id owner;
    std::uint32_t in_use = 0;
    std::uint32_t wanted = 0;
    std::uint32_t held = 0;
};

/// How requests have got their places so far.
struct placement_counts
{
    std::uint64_t preferred = 0;           ///< at once, where wanted
    std::uint64_t preferred_waited = 0;    ///< where wanted, after a wait
    std::uint64_t elsewhere = 0;           ///< at another upstream, after a wait
    std::uint64_t forwarded = 0;           ///< through the owner of the one that was wanted
    std::uint64_t forwarded_elsewhere = 0; ///< through the owner of another one
    std::uint64_t denied = 0;              ///< forwards for which the owner had no slot
    std::uint64_t refused = 0;
    std::uint64_t left_out = 0;   ///< waits that the owner's grant left out
    std::uint64_t unanswered = 0; ///< waits whose owner did not answer in time
};

/// Decides where each request of this host goes: within the slots that owners have granted, with
/// affinity, and with queues that share what there is among workspaces. Free of I/O; traffic
/// threads call it under a short lock, so nothing here blocks, and the path without a wait
/// allocates nothing.
class admission final
{
public:
    explicit admission(admission_settings settings);

    /// Takes a new view. Waiting requests whose pool is gone are refused.
    auto set_view(std::shared_ptr<const routing_view> view, time_point now) -> void;
    [[nodiscard]] auto view() const -> const std::shared_ptr<const routing_view>&
    {
        return this->current;
    }

    /// Asks for an upstream.
    [[nodiscard]] auto request(const placement_request& request, time_point now)
        -> placement_result;
    /// The owner had no slot for a forwarded request, or could not be reached: the next place.
    [[nodiscard]] auto on_denied(placement_request& request, const forward_to_owner& tried,
                                 bool reached, time_point now) -> placement_result;
    /// The owner took a forwarded request in.
    auto on_forward_accepted(const placement_request& request, upstream_id upstream) -> void;
    /// A forwarded request ended, so that its owner has a slot free.
    auto on_forward_ended(upstream_id upstream, time_point now) -> void;
    /// Gives a slot back.
    auto release(upstream_id upstream, workspace_id workspace, time_point now) -> void;
    /// Ends a wait from the caller's side. False when it had ended before.
    auto cancel(request_id id) -> bool;
    /// True when the slot's lease still stands. To be asked right before sending, since the process
    /// may have been paused since the slot was given.
    [[nodiscard]] auto still_valid(upstream_id upstream, time_point now) const -> bool;

    /// How a request at an upstream ended, for ejection. True when it was just ejected.
    auto on_result(upstream_id upstream, bool succeeded, time_point now) -> bool;

    /// A grant from the upstream's owner.
    auto on_grant(upstream_id upstream, std::uint32_t slots, time_point valid_until, time_point now)
        -> void;
    /// The owner's word on slots that nobody has; tells waiting requests where to ask.
    auto on_free_slots(upstream_id upstream, std::uint32_t free_slots) -> void;
    /// Slots of an upstream that this host may still use.
    [[nodiscard]] auto free_slots(upstream_id upstream, time_point now) const -> std::uint32_t;
    /// Takes all slots of an upstream away, because it turned cold.
    auto revoke(upstream_id upstream) -> void;
    /// A conversation's place as another host tells it.
    auto on_exception(const placement_exception& item) -> void;
    /// Ends waits that are over and widens the choice of those whose patience is.
    auto on_tick(time_point now) -> void;

    /// Waits that ended since the last call.
    [[nodiscard]] auto take_ended() -> std::vector<wait_ended>;
    /// Owners that new waits ask, since the last call. Allocates nothing when there are none.
    [[nodiscard]] auto take_owners_to_notify() -> std::set<host_id>;
    [[nodiscard]] auto has_owners_to_notify() const -> bool
    {
        return !this->owners_to_notify.empty();
    }
    /// Places that other hosts should learn, at most `most`; the newest first.
    [[nodiscard]] auto take_exceptions(std::size_t max_count) -> std::vector<placement_exception>;
    /// Use of all upstreams that have any, in id order.
    [[nodiscard]] auto uses(time_point now) const -> std::vector<slot_use>;
    /// Requests in flight by pool, at warm upstreams.
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
        std::uint32_t wanted = 0;          ///< waiting requests that aim at it
        std::uint32_t reported_wanted = 0; ///< of which a slot is asked of the owner by message
        std::uint32_t published_free = 0;  ///< slots that the owner says nobody has
        time_point valid_until{};
        time_point next_probe{}; ///< when a waiting request may try the owner unasked
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        time_point ejected_until{};
    };

    struct waiter
    {
        placement_request request;
        upstream_id target;         ///< whose owner was asked
        upstream_id first_target;   ///< where the request should best go
        bool accepts_any = false;   ///< patience for the target is over
        time_point next_retarget{}; ///< when the target is thought over
    };

    /// Order within a workspace: higher priority first, then arrival.
    struct waiter_key
    {
        std::int32_t negated_priority = 0;
        std::uint64_t arrival = 0;
        // NOLINTNEXTLINE: the linter does not know a defaulted comparison
        friend auto operator<=>(const waiter_key&, const waiter_key&) = default;
    };

    using workspace_queue = std::map<waiter_key, waiter>;

    struct pool_state
    {
        std::vector<slot_state*> slots;                 ///< in the order of the view's upstreams
        std::map<workspace_id, workspace_queue> queues; ///< those that are not empty
        std::uint32_t rotation = 0;                     ///< for round robin and ties
    };

    /// A pool of the view with this host's state of it.
    struct pool_ref
    {
        const pool_view* view = nullptr;
        pool_state* state = nullptr;
    };

    /// What one walk over a pool finds; positions in the pool.
    struct candidates
    {
        std::optional<std::size_t> home;      ///< first choice of all declared
        std::optional<std::size_t> usable;    ///< first choice of those that may take work
        std::optional<std::size_t> available; ///< first choice of those with a free slot
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
    /// A waiting request and the queue that it is in.
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
    std::map<host_id, time_point> failed_owners; ///< with the end of their rest
    placement_counts tally;
    std::uint64_t arrivals = 0;
    std::uint32_t total_in_flight = 0;
    std::uint32_t total_queued = 0;
};

} // namespace poplardrift
