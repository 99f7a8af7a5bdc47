#pragma once

#include "poplardrift/admission/admission.hpp"
#include "poplardrift/base/events.hpp"
#include "poplardrift/config/configuration.hpp"
#include "poplardrift/gossip/ack_tracker.hpp"
#include "poplardrift/gossip/byte_budget.hpp"
#include "poplardrift/gossip/messages.hpp"
#include "poplardrift/leases/order_core.hpp"
#include "poplardrift/membership/membership.hpp"
#include "poplardrift/slots/slot_owner.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace poplardrift
{

/// Settings of `control_core`.
struct control_settings
{
    membership_settings membership;
    slot_settings slots;
    warmup_settings warmup;
    byte_budget_settings budget;
    configuration_settings configuration;
    std::uint32_t load_margin = 4;   ///< upper limit of the margin subtracted from a pool's load
    double load_margin_share = 0.15; ///< margin subtracted, as a share of the load
    duration startup_quiet_period = std::chrono::seconds(6); ///< no larger grants after a start
    duration heartbeat = std::chrono::milliseconds(600); ///< interval between messages to one host
    duration urgent_interval = std::chrono::milliseconds(4); ///< least gap before an urgent message
    /// Reconnect to a peer that still sends but has acknowledged no message for this time.
    duration silent_link_timeout = std::chrono::seconds(3);
    duration fault_report_repeat = std::chrono::seconds(2); ///< how long messages repeat a report
    duration log_retention = std::chrono::hours(1);         ///< how long the log keeps records
    std::int64_t snapshot_records = 1000;                   ///< records between snapshots
    std::size_t max_exceptions_per_message = 24; ///< most placement exceptions in one message
    std::uint64_t status_interval = 4; ///< an unchanged status is sent with every nth message
    /// Interval between polls of an engine that is not warm.
    duration cold_report_interval = std::chrono::seconds(1);
    /// Interval between polls of a warm engine.
    duration warm_report_interval = std::chrono::seconds(3);
    /// Reconnect to the log after being behind a peer for this time.
    duration peer_lead_timeout = std::chrono::milliseconds(300);
};

/// One record of the platform's log.
struct log_record
{
    log_offset offset;
    log_time time{};
    nlohmann::json data;
};

/// Input from this host's admission for one tick.
struct host_usage
{
    std::vector<slot_use> uses;
    std::vector<pool_load> loads;
    std::set<host_id> owners_to_notify; ///< owners that need a slot report because of new waits
    std::vector<placement_exception> exceptions; ///< placement exceptions for other hosts
};

/// A host's load in one pool and the time at which it was measured.
struct known_load
{
    host_id host;
    pool_load load;
    time_point at{};
};

/// An engine whose reports this host polls as its owner.
struct owned_engine
{
    upstream_id id;
    std::string address;
    std::uint16_t port = 0;
};

/// Action: send a message to another host.
struct send_message
{
    host_id to;
    peer_message message;
    std::string bytes; ///< the encoded message
};

/// Action: reconnect to another host that still sends messages but has not acknowledged any for
/// `silent_link_timeout`.
struct reconnect_peer
{
    host_id to;
};

/// Action: apply a grant of slots to this host's admission.
struct apply_grant
{
    upstream_id upstream;
    std::uint32_t slots = 0;
    time_point valid_until{};
};

/// Action: revoke all slots of an upstream until its next grant.
struct revoke_slots
{
    upstream_id upstream;
};

/// Action: store an owner's advertised count of free slots.
struct update_free_slots
{
    upstream_id upstream;
    std::uint32_t free_slots = 0;
};

/// Action: store a placement exception from another host.
struct store_exception
{
    placement_exception item;
};

/// Action: publish a new routing view to the traffic threads.
struct publish_view
{
    std::shared_ptr<const routing_view> view;
};

/// Action: append a snapshot of the configuration to the log.
struct append_snapshot
{
    nlohmann::json snapshot;
};

/// Action: poll the report of an engine.
struct poll_report
{
    owned_engine engine;
};

/// Action: read the configuration log over a new connection. Another host is ahead, so the current
/// connection may be silently broken.
struct read_log_now
{
    log_offset from;
};

/// Action: write an event to the log and the audit trail.
struct emit_event
{
    event event_data;
};

/// An action for the caller of `control_core`; actions are executed in order.
using control_action = std::variant<send_message, reconnect_peer, apply_grant, revoke_slots,
                                    update_free_slots, store_exception, publish_view,
                                    append_snapshot, poll_report, read_log_now, emit_event>;

/// State of an upstream for the admin API.
struct upstream_overview
{
    std::string path;
    std::string owner;
    upstream_state state = upstream_state::cold;
    std::uint32_t limit = 0;
    std::uint32_t in_use = 0;  ///< requests in flight as reported to the owner; zero on other hosts
    std::uint32_t granted = 0; ///< slots granted by the owner; zero on other hosts
};

/// Control state of one host: configuration, membership, the slots of the upstreams that it owns,
/// and its messages to other hosts. Deterministic: consumes events and produces actions, and equal
/// events produce equal actions. Not thread-safe.
class control_core final : private membership_listener
{
public:
    control_core(const control_settings& settings, host_address self, incarnation_id incarnation,
                 time_point now);

    auto add_seeds(const std::vector<host_address>& seeds) -> void { this->hosts.add_seeds(seeds); }

    auto on_host_list(const std::vector<host_address>& live,
                      const std::vector<std::string>& leaving, time_point now) -> void;
    auto on_peer_message(const peer_message& message, time_point now) -> void;
    /// The connection to another host ended or was established.
    auto on_connection(host_id to, bool connected, time_point now) -> void
    {
        this->hosts.on_connection(to, connected, now);
    }
    /// Applies records of the configuration log, in order. An empty list still marks the log as
    /// reachable.
    auto on_log_records(const std::vector<log_record>& records, time_point now) -> void;
    auto on_log_unreachable(time_point now) -> void;
    auto on_upstream_report(upstream_id upstream, const upstream_report& report, time_point now)
        -> void;
    /// Stores a host's load as of `at`, received with a forwarded request or its response.
    /// Loads older than the stored one are ignored.
    auto on_load(host_id of, const pool_load& load, time_point at) -> void;
    /// The last known loads of other hosts.
    [[nodiscard]] auto known_loads() const -> std::vector<known_load>;
    /// This host detected that an upstream turned cold or fails. Reports the fault to all hosts.
    auto on_local_fault(upstream_id upstream, upstream_state suspected, time_point now) -> void;
    /// Charges control traffic that the caller caused by other means than messages, such as probes,
    /// to the byte budget.
    auto on_control_bytes(control_traffic kind, std::size_t bytes, time_point now) -> void
    {
        this->budget.spend_raw(bytes, kind, now);
    }
    /// Stops granting slots of an engine while an order changes it, or resumes granting.
    auto suspend_granting(upstream_id upstream, bool suspended) -> void
    {
        this->owner.set_suspended(upstream, suspended);
    }
    /// Starts a planned stop: other hosts take over the upstreams that this one owns.
    auto start_leaving() -> void;
    /// Advances the time and takes the host's use of slots. Call it every few milliseconds.
    auto on_tick(const host_usage& usage, time_point now) -> void;

    /// Returns the actions since the last call.
    [[nodiscard]] auto take_actions() -> std::vector<control_action>;

    [[nodiscard]] auto config() const -> const configuration& { return this->configured; }
    [[nodiscard]] auto declared() const -> const declarations& { return this->parsed; }
    [[nodiscard]] auto members() const -> const membership& { return this->hosts; }
    /// Engines that this host owns, with their declared and reported models.
    [[nodiscard]] auto managed_engines(time_point now) const -> std::vector<managed_engine>;
    [[nodiscard]] auto overview(time_point now) const -> std::vector<upstream_overview>;
    /// Last known configuration offsets of all hosts, including this one; zero for unknown and
    /// suspect ones.
    [[nodiscard]] auto configuration_offsets() const -> std::map<std::string, log_offset>;
    /// True while an urgent message is deferred because `urgent_interval` has not passed.
    [[nodiscard]] auto has_urgent() const noexcept -> bool { return this->urgent_deferred; }
    [[nodiscard]] auto log_is_reachable() const noexcept -> bool { return this->log_reachable; }
    [[nodiscard]] auto incarnation_of(host_id host) const -> incarnation_id;
    /// Reason why this host is not ready for requests; empty when it is ready.
    [[nodiscard]] auto not_ready_reason() const -> std::string;
    /// Budget and byte counts of the control traffic, by kind.
    [[nodiscard]] auto traffic() const -> const byte_budget& { return this->budget; }

private:
    /// A load and the time at which it was measured.
    struct dated_load
    {
        pool_load load;
        time_point at{};
    };

    /// Weights and load of a pool, from which `mean_bound` is computed; updated once per tick.
    struct pool_sum
    {
        double warm_weight = 0.0;
        double all_weight = 0.0;
        pool_load load;
    };

    /// State kept for each other host.
    struct peer_state
    {
        ack_tracker link;
        bool urgent = false; ///< send without waiting for the heartbeat, within the byte budget
        std::uint64_t messages = 0; ///< messages sent to this process of the host
        std::map<upstream_id, upstream_status> sent_statuses; ///< last sent status of each upstream
        std::set<upstream_id> pending_grants;                 ///< grants due in the next message
        std::set<upstream_id>
            acknowledged_upstreams; ///< upstreams it owns for which it has answered a report
        std::map<pool_id, dated_load> loads;
        log_offset configuration;
        bool configuration_differs = false; ///< same offset but different content
        bool wants_configuration = false;
        std::uint64_t exceptions_sent = 0; ///< count of queued exceptions already sent or skipped
        time_point last_update_sent{};
    };

    /// A fault report of this host that its messages repeat for a while.
    struct recent_fault_report
    {
        upstream_fault_report report;
        time_point reported_at{};
    };

    /// Key of a fault report: the reporting host and the upstream.
    struct fault_report_source
    {
        host_id from;
        upstream_id upstream;
        // NOLINTNEXTLINE: clang-tidy does not recognize a defaulted comparison
        friend auto operator<=>(const fault_report_source&, const fault_report_source&) = default;
    };

    auto on_member_changed(const member& changed, member_status before) -> void override;
    auto emit(event_code code, std::string detail) -> void;
    auto peer(host_id id, time_point now) -> peer_state&;
    auto make_all_urgent() -> void;

    auto accept_reports(host_id from, peer_state& from_state, const peer_message& message,
                        time_point now) -> void;
    auto accept_grants(host_id from, peer_state& from_state, const peer_message& message) -> void;
    auto accept_statuses(host_id from, const peer_message& message) -> void;
    auto accept_fault_reports(host_id from, const peer_message& message, time_point now) -> void;
    auto accept_configuration(host_id from, peer_state& from_state, const peer_message& message,
                              time_point now) -> void;
    auto apply_fault_report(host_id from, upstream_id upstream, upstream_state suspected,
                            time_point now) -> void;
    [[nodiscard]] auto is_fault_confirmed(host_id from, upstream_id upstream, time_point now)
        -> bool;

    auto apply_configuration(time_point now) -> void;
    auto emit_audit_events() -> void;
    auto emit_zone_events(const declarations& before) -> void;
    auto update_owners(time_point now) -> void;
    auto tick_owned(const host_usage& usage, time_point now) -> void;
    auto grant_to_self(upstream_id id, const slot_use& use, time_point now) -> void;
    auto set_status(const upstream_status& status) -> void;
    auto tick_peers(const host_usage& usage, time_point now) -> void;
    auto tick_peer(host_id to, peer_state& state, const host_usage& usage, time_point now) -> void;
    auto tick_reports(time_point now) -> void;
    auto tick_log_lag(time_point now) -> void;
    auto tick_snapshot(time_point now) -> void;
    auto update_view() -> void;

    [[nodiscard]] auto compose(host_id to, peer_state& state, const host_usage& usage,
                               time_point now) -> peer_message;
    auto add_reports(host_id to, const peer_state& state, const host_usage& usage,
                     peer_message& message) const -> void;
    auto add_grants(host_id to, peer_state& state, peer_message& message, time_point now) -> void;
    auto add_statuses(peer_state& state, peer_message& message, time_point now) -> void;
    auto add_exceptions(peer_state& state, peer_message& message, time_point now) -> void;
    auto queue_exceptions(const std::vector<placement_exception>& fresh) -> void;
    auto add_configuration(peer_state& state, peer_message& message, time_point now) -> void;
    [[nodiscard]] auto is_settled(time_point now) const -> bool;
    [[nodiscard]] auto grant_to(upstream_id id, host_id holder, message_sequence sequence,
                                time_point now) -> slot_grant;
    [[nodiscard]] auto listed_hosts() const -> std::vector<host_id>;
    [[nodiscard]] auto alive_hosts() const -> std::vector<host_id>;
    auto update_pool_sums(time_point now) -> void;
    [[nodiscard]] auto mean_bound(const upstream_declaration& item) const -> std::uint32_t;
    [[nodiscard]] auto load_margin(std::uint32_t load) const -> std::uint32_t;
    [[nodiscard]] auto fleet_load(pool_id pool, time_point now) const -> pool_load;
    [[nodiscard]] auto declaration_of(upstream_id id) const -> const upstream_declaration*;
    [[nodiscard]] auto state_of(upstream_id id) const -> upstream_state;
    [[nodiscard]] auto digest() const -> std::uint32_t;

    control_settings settings;
    incarnation_id incarnation;
    membership hosts;
    configuration configured;
    declarations parsed;
    std::map<upstream_id, std::string> paths; ///< of declared upstreams
    byte_budget budget;
    slot_owner owner;
    std::map<host_id, peer_state> peers;
    std::map<upstream_id, upstream_runtime_info> known;
    std::map<upstream_id, recent_fault_report> local_faults;
    std::map<fault_report_source, std::uint32_t>
        received_fault_counts;                                    ///< `count` of the last report
    std::map<fault_report_source, time_point> fault_report_times; ///< time of the last report
    std::map<pool_id, pool_load> own_loads;
    std::map<pool_id, pool_sum> pool_sums;
    std::map<upstream_id, time_point> last_report_polls; ///< by engine
    std::optional<time_point> behind_since; ///< time since which a peer has applied a higher offset
    std::uint64_t self_sequence = 0;
    std::vector<control_action> actions;
    std::uint64_t seen_members_revision = 0;
    time_point members_changed;
    std::uint64_t seen_configuration_revision = 0;
    log_offset emitted_audit_offset;
    std::uint64_t view_revision = 0;
    bool view_is_stale = true;
    bool urgent_deferred = false;
    time_point started;
    bool leaving = false;
    bool log_reachable = false;
    bool was_complete = true;
    std::int64_t records_since_snapshot = 0;
    time_point last_snapshot_time{};
    std::uint32_t configuration_digest = 0;
    std::deque<placement_exception> exception_queue; ///< the newest placement exceptions to send
    std::uint64_t exceptions_end = 0;                ///< count of all exceptions ever queued
};

} // namespace poplardrift
