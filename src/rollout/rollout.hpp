#pragma once

#include "rollout/canary_choice.hpp"
#include "rollout/early_verdicts.hpp"
#include "rollout/evidence.hpp"
#include "rollout/exposure_budget.hpp"
#include "rollout/rollout_order.hpp"
#include "rollout/verdict.hpp"

#include <optional>
#include <string>
#include <vector>

namespace poplardrift::rollout
{

/// Where a request may go.
enum class version_choice : std::uint8_t
{
    old_version,
    canary,      ///< an upstream chosen for canary requests, or the old version
    new_version, ///< any upstream of the new version, or the old version
    only_new,    ///< the roll-out is complete
};

/// How a judged response ended.
enum class response_quality : std::uint8_t
{
    good,
    failed,
    interrupted, ///< broken or silent
};

/// A finished response of either version.
struct judged_response
{
    route_key route;
    bool is_new_version = false;
    std::uint32_t upstream = 0;
    response_quality quality = response_quality::good;
    std::optional<bool> slow; ///< empty if its speed can't be compared
};

/// What one host tells the others about a roll-out.
struct rollout_report
{
    std::string service;
    order_position position;
    std::optional<time_point> ordered_at; ///< on the local clock; empty while the age is unknown
    rollout_phase phase = rollout_phase::in_progress;
    bool is_recorded = false; ///< the phase is in the store
    host_counts counts;

    auto operator==(const rollout_report&) const -> bool = default;
};

/// The hosts, as far as a roll-out depends on them.
struct rollout_hosts
{
    budget_share share;
    /// Other hosts are known, but none has been heard lately.
    bool is_isolated = false;
};

/// Why a roll-out was rolled back.
enum class rollback_cause : std::uint8_t
{
    none,
    bad_version,
    no_evidence,      ///< by the deadline
    withdrawn,        ///< by the operators, or replaced by another order
    decided_elsewhere ///< by another host, or read in the store
};

[[nodiscard]] auto to_text(rollback_cause cause) -> std::string_view;

/// One order, from its record to its final phase, as one host sees it. Has no I/O; callers pass the
/// time. The decisions respond to the service's requests, to the responses of both versions on all
/// hosts and to the order's age.
class service_rollout final
{
public:
    service_rollout(rollout_order order, const rollout_bounds& bounds, time_point now);

    [[nodiscard]] auto get_order() const -> const rollout_order& { return this->order; }
    [[nodiscard]] auto get_phase() const -> rollout_phase { return this->phase; }
    [[nodiscard]] auto get_cause() const -> rollback_cause { return this->cause; }
    [[nodiscard]] auto get_verdict() const -> const std::optional<bad_verdict>&
    {
        return this->verdict;
    }
    /// The phase is in the store.
    [[nodiscard]] auto is_recorded() const -> bool { return this->recorded; }
    [[nodiscard]] auto get_evidence() const -> const evidence& { return this->counts; }
    /// Long-run share of canary requests.
    [[nodiscard]] auto get_canary_share() const -> double;
    /// The order's age; nullopt while it is unknown.
    [[nodiscard]] auto age(time_point now) const -> std::optional<duration>;

    auto set_bounds(const rollout_bounds& next) -> void { this->bounds = next; }
    auto set_hosts(const rollout_hosts& next) -> void { this->hosts = next; }
    /// A request to the service has arrived.
    auto on_request(route_key route) -> void { ++this->counts.own.routes[route].requests; }
    /// Chooses the version for a send. `is_repeat`: the request has been sent before.
    [[nodiscard]] auto choose(route_key route, bool is_repeat) const -> version_choice;
    /// A send to the new version begins.
    auto on_sent_to_new(route_key route) -> void;
    /// A bad response of the new version may end the roll-out at once: a version that plainly fails
    /// would otherwise get requests until the next tick, the more the faster they arrive.
    auto on_response(const judged_response& response, time_point now) -> void;
    /// Another host's report.
    auto on_report(host_instance from, const rollout_report& report, time_point now) -> void;
    /// The store has this state for the order's version.
    auto on_recorded(rollout_phase recorded_phase, time_point now) -> void;
    /// The operators have withdrawn the order or given another one for the service.
    auto on_withdrawn(time_point now) -> void;
    /// Makes the decisions that are due. Call about every 50 ms.
    auto tick(time_point now) -> void;
    /// The state that this host should write to the store now; empty if there is none or it was
    /// returned before. `rank` is this host's in the order's rendezvous order.
    [[nodiscard]] auto take_due_write(time_point now) -> std::optional<rollout_phase>;
    /// True if this host should read the store's state now.
    [[nodiscard]] auto take_due_read(time_point now) -> bool;
    [[nodiscard]] auto report() const -> rollout_report;

private:
    /// A state to be written, and since when.
    struct pending_write
    {
        rollout_phase state = rollout_phase::in_progress;
        time_point since{};
        bool is_taken = false;
    };

    [[nodiscard]] auto may_send_to_new() const -> bool;
    auto count_response(const judged_response& response) -> void;
    [[nodiscard]] auto has_enough_evidence(const host_counts& sums) const -> bool;
    auto assume_age(time_point now) -> void;
    auto judge(const host_counts& sums, time_point now) -> void;
    auto advance(const host_counts& sums, duration order_age, time_point now) -> void;
    auto roll_back(rollback_cause why, time_point now) -> void;
    auto want_write(rollout_phase state, time_point now) -> void;
    auto update_expected_requests(const host_counts& sums, duration order_age) -> void;

    rollout_order order;
    rollout_bounds bounds;
    rollout_hosts hosts;
    time_point known_since;
    std::optional<time_point> ordered_at;
    rollout_phase phase = rollout_phase::in_progress;
    bool recorded = false;
    rollback_cause cause = rollback_cause::none;
    std::optional<bad_verdict> verdict;
    evidence counts;
    std::map<route_key, std::uint64_t> canaries; ///< sends to the new version by route
    version_judge judging;
    early_verdicts early;
    double expected_requests = 0.0; ///< of all hosts by the deadline
    bool stopped_alone = false;     ///< an isolated host has seen too many bad responses
    bool peer_is_shifting = false;
    std::optional<pending_write> write;
    time_point next_read_at{};
};

} // namespace poplardrift::rollout
