#pragma once

#include "overload/capacity_estimate.hpp"
#include "overload/decayed_counter.hpp"
#include "overload/workspace_shares.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace poplardrift::overload
{

/// Identifies a waiting request at one gate.
using gate_ticket = strong_type<struct gate_ticket_tag, std::uint64_t>;

/// A request before its first send.
struct gate_request
{
    std::uint64_t id = 0;        ///< hash of the request's id
    std::uint64_t workspace = 0; ///< hash of the workspace's name
    int priority = 0;            ///< 0 is the highest
    time_point arrived{};
    duration objective{};
    time_point deadline{};
    std::uint32_t work = 0; ///< prompt tokens; 0 if unknown
};

enum class gate_verdict : std::uint8_t
{
    admitted,
    waiting,
    refused,
};

enum class refusal_cause : std::uint8_t
{
    none,
    wait_too_long,  ///< no place became free within the longest wait
    queue_full,     ///< more urgent requests take all places of the longest wait
    early_repeat,   ///< refused before, and returned before the time that it was told
    deadline_close, ///< its deadline could not be met any more
};

[[nodiscard]] auto to_text(refusal_cause cause) -> const char*;

struct gate_decision
{
    gate_verdict verdict = gate_verdict::admitted;
    gate_ticket ticket{0}; ///< of a waiting request
    refusal_cause cause = refusal_cause::none;
    std::size_t rank = 0; ///< number of classes that are more urgent
    duration waited{};
    std::optional<duration> returns_in; ///< of an early repeat: the rest of its wait
};

/// Decides when the requests of one service are sent to upstreams for the first time. Answers load
/// beyond the capacity of the service: without congestion every request passes at once. Under
/// congestion this host admits its share of the measured capacity, the most urgent requests first.
///
/// All classes draw from one token bucket, and a less urgent class needs a higher level. The level
/// settles where the capacity is spent: classes above are always admitted and classes below never,
/// without a measurement of each class. Order of requests: excess of a workspace last, then
/// priority, deadline and least work. Needs no clock and no network. Not thread-safe.
class admission_gate final
{
public:
    admission_gate();

    [[nodiscard]] auto offer(const gate_request& request, time_point now) -> gate_decision;
    /// Appends the requests whose wait has ended.
    auto release(time_point now, std::vector<gate_decision>& ended) -> void;
    /// Removes a waiting request whose caller has left.
    auto withdraw(gate_ticket ticket) -> void;
    /// When `release` is due next; time_point::max() while nothing waits.
    [[nodiscard]] auto next_release(time_point now) -> time_point;
    /// A refused caller has been told to return at this time.
    auto on_return_told(std::uint64_t id, time_point at, time_point now) -> void;

    [[nodiscard]] auto capacity() -> capacity_estimate& { return this->estimate; }
    [[nodiscard]] auto capacity() const -> const capacity_estimate& { return this->estimate; }
    [[nodiscard]] auto waiting_count() const -> std::size_t { return this->queue.size(); }
    [[nodiscard]] auto is_engaged() const -> bool { return this->engaged; }
    /// Requests a second that this host admits under congestion.
    [[nodiscard]] auto get_rate() const -> double { return this->rate; }

private:
    /// Position in the queue; the smallest is admitted first.
    struct queue_key
    {
        std::uint8_t request_class = 0;
        time_point deadline{};
        std::uint32_t work = 0;
        std::uint64_t ticket = 0;
        auto operator<=>(const queue_key&) const -> std::strong_ordering = default; // NOLINT
    };
    struct expiry_key
    {
        time_point at{};
        std::uint64_t ticket = 0;
        auto operator<=>(const expiry_key&) const -> std::strong_ordering = default; // NOLINT
    };
    struct waiting_entry
    {
        queue_key key;
        expiry_key expiry;
        time_point since{};
        std::uint64_t workspace = 0;
        bool is_cut_by_deadline = false;
    };
    static constexpr std::size_t priority_levels = 8;
    static constexpr std::size_t class_count = 2 * priority_levels;

    auto update(time_point now) -> void;
    [[nodiscard]] auto find_starting_level(time_point now) const -> double;
    auto refill(time_point now) -> void;
    [[nodiscard]] auto find_early_repeat(std::uint64_t id, time_point now)
        -> std::optional<duration>;
    [[nodiscard]] auto class_of(const gate_request& request, time_point now) -> std::uint8_t;
    [[nodiscard]] auto rank_of(std::size_t request_class, time_point now) const -> std::size_t;
    /// Level of the bucket that a class needs.
    [[nodiscard]] auto level_needed(std::size_t request_class, time_point now) const -> double;
    [[nodiscard]] auto try_take(std::size_t request_class, time_point now) -> bool;
    auto enqueue(const gate_request& request, std::uint8_t request_class, time_point now)
        -> gate_decision;
    auto remove(std::uint64_t ticket) -> waiting_entry;
    auto end_wait(std::uint64_t ticket, gate_verdict verdict, refusal_cause cause, time_point now,
                  std::vector<gate_decision>& ended) -> void;
    auto drop_least_urgent(time_point now) -> void;

    capacity_estimate estimate;
    workspace_shares shares;
    absl::btree_set<queue_key> queue;
    absl::btree_set<expiry_key> expiries;
    absl::flat_hash_map<std::uint64_t, waiting_entry> entries;
    absl::flat_hash_map<std::uint64_t, time_point> told_returns;
    std::vector<gate_decision> dropped; ///< until the next release
    std::array<time_point, class_count> class_seen_at{};
    std::array<decayed_counter, class_count> class_arrivals;
    std::uint64_t next_ticket = 1;
    double rate = 0.0;
    double level = 0.0; ///< of the token bucket
    duration longest_wait{};
    time_point refilled_at{};
    time_point updated_at{};
    time_point last_shortage_at{};
    bool engaged = false;
};

} // namespace poplardrift::overload
