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

/// Settings of the control state.
struct control_settings
{
    membership_settings membership;
    slot_settings slots;
    warmup_settings warmup;
    byte_budget_settings budget;
    configuration_settings configuration;
    std::uint32_t load_margin = 4;   ///< requests by which the fleet's load is taken lower, at most
    double load_margin_share = 0.15; ///< the same as a share of the load
    duration startup_quiet_period =
        std::chrono::seconds(6); ///< a new process grants nothing new for that long
    duration heartbeat = std::chrono::milliseconds(600);     ///< between messages to one host
    duration urgent_interval = std::chrono::milliseconds(4); ///< shortest pause between messages
    duration silent_link_timeout = std::chrono::seconds(3);  ///< without acknowledgement: dial anew
    duration fault_report_repeat = std::chrono::seconds(2);  ///< for which a sign is told again
    duration log_retention = std::chrono::hours(1);          ///< the log keeps records that long
    std::int64_t snapshot_records = 1000;        ///< records after which a snapshot is due
    std::size_t max_exceptions_per_message = 24; ///< most exceptions told in one message
    std::uint64_t status_interval = 4; ///< messages between two repeats of an unchanged status
    duration cold_report_interval =
        std::chrono::seconds(1); ///< between reports of an engine in cold start
    duration warm_report_interval = std::chrono::seconds(3); ///< between reports of a warm engine
    duration peer_lead_timeout =
        std::chrono::milliseconds(300); ///< a host that is ahead for that long: read the log anew
};

/// One record as read from the platform's log.
struct log_record
{
    log_offset offset;
    log_time time{};
    nlohmann::json data;
};

/// What this host's admission tells the control state at one moment.
struct host_usage
{
    std::vector<slot_use> uses;
    std::vector<pool_load> loads;
    std::set<host_id> owners_to_notify;          ///< owners that new waits ask
    std::vector<placement_exception> exceptions; ///< places that others should learn
};

/// A host's load in one pool, with the time at which it was so.
struct known_load
{
    host_id host;
    pool_load load;
    time_point at{};
};

/// An engine whose reports this host has to read.
struct owned_engine
{
    upstream_id id;
    std::string address;
    std::uint16_t port = 0;
};

/// A message for another host.
struct send_message
{
    host_id to;
    peer_message message;
    std::string bytes; ///< the message as it goes on the wire
};

/// A connection to another host takes messages but nothing arrives: dial it anew.
struct reconnect_peer
{
    host_id to;
};

/// Slots for this host.
struct apply_grant
{
    upstream_id upstream;
    std::uint32_t slots = 0;
    time_point valid_until{};
};

/// All slots of an upstream are void for now.
struct revoke_slots
{
    upstream_id upstream;
};

/// An owner's word on slots that nobody has.
struct update_free_slots
{
    upstream_id upstream;
    std::uint32_t free_slots = 0;
};

/// A conversation's place, told by another host.
struct store_exception
{
    placement_exception item;
};

/// A new view for traffic threads.
struct publish_view
{
    std::shared_ptr<const routing_view> view;
};

/// A snapshot of the configuration to append to the log.
struct append_snapshot
{
    nlohmann::json snapshot;
};

/// Read this upstream's report.
struct poll_report
{
    owned_engine engine;
};

/// Read the configuration's stream over a new connection: another host is ahead, so the present
/// connection may have gone silent.
struct read_log_now
{
    log_offset from;
};

/// Something for the log and the audit trail.
struct emit_event
{
    event what;
};

/// What the control state wants done, in order.
using control_action = std::variant<send_message, reconnect_peer, apply_grant, revoke_slots,
                                    update_free_slots, store_exception, publish_view,
                                    append_snapshot, poll_report, read_log_now, emit_event>;

/// State of an upstream for operators.
struct upstream_overview
{
    std::string path;
    std::string owner;
    upstream_state state = upstream_state::cold;
    std::uint32_t limit = 0;
    std::uint32_t in_use = 0;   ///< as the owner knows it; zero on other hosts
    std::uint32_t promised = 0; ///< likewise
};

/// All control state of one host: configuration, membership, the slots of the upstreams that it
/// owns, and what it tells other hosts. Events go in, actions come out; the same events give the
/// same actions. One thread calls it.
class control_core final : private membership_listener
{
public:
    control_core(const control_settings& settings, host_address self, incarnation_id incarnation,
                 time_point now);

    auto add_seeds(const std::vector<host_address>& seeds) -> void { this->hosts.add_seeds(seeds); }

    auto on_host_list(const std::vector<host_address>& live,
                      const std::vector<std::string>& leaving, time_point now) -> void;
    auto on_peer_message(const peer_message& message, time_point now) -> void;
    /// The connection to another host ended, or stands again.
    auto on_connection(host_id to, bool connected, time_point now) -> void
    {
        this->hosts.on_connection(to, connected, now);
    }
    /// Records of the configuration's stream, in order. An empty list says that the log answers.
    auto on_log_records(const std::vector<log_record>& records, time_point now) -> void;
    auto on_log_unreachable(time_point now) -> void;
    auto on_upstream_report(upstream_id upstream, const upstream_report& report, time_point now)
        -> void;
    /// A host's load as it was at `at`, told along with a forwarded request by it or by another
    /// one.
    auto on_load(host_id of, const pool_load& load, time_point at) -> void;
    /// The loads of other hosts as last known.
    [[nodiscard]] auto known_loads() const -> std::vector<known_load>;
    /// This host saw that an upstream turned cold or fails.
    auto on_local_fault(upstream_id upstream, upstream_state suspected, time_point now) -> void;
    /// Control bytes that the shell caused by other means, such as probes.
    auto on_control_bytes(control_traffic kind, std::size_t bytes, time_point now) -> void
    {
        this->budget.spend_raw(bytes, kind, now);
    }
    /// Stops granting slots of an engine that is being changed, or grants them again.
    auto hold_engine(upstream_id upstream, bool held) -> void
    {
        this->owner.set_suspended(upstream, held);
    }
    /// A planned stop begins: other hosts take over what this one owns.
    auto start_leaving() -> void;
    /// Lets time pass and takes the host's use of slots. Call it every few milliseconds.
    auto on_tick(const host_usage& usage, time_point now) -> void;

    /// Actions since the last call.
    [[nodiscard]] auto take_actions() -> std::vector<control_action>;

    [[nodiscard]] auto config() const -> const configuration& { return this->configured; }
    [[nodiscard]] auto declared() const -> const declarations& { return this->parsed; }
    [[nodiscard]] auto members() const -> const membership& { return this->hosts; }
    /// Engines that this host owns, with their declared and reported models.
    [[nodiscard]] auto managed_engines(time_point now) const -> std::vector<managed_engine>;
    [[nodiscard]] auto overview(time_point now) const -> std::vector<upstream_overview>;
    /// Configuration offsets of all hosts as last heard, this one among them.
    [[nodiscard]] auto configuration_offsets() const -> std::map<std::string, log_offset>;
    /// True while a message that cannot wait is held back by the shortest pause between messages.
    [[nodiscard]] auto has_urgent() const noexcept -> bool { return this->urgent_deferred; }
    [[nodiscard]] auto log_is_reachable() const noexcept -> bool { return this->log_reachable; }
    [[nodiscard]] auto incarnation_of(host_id host) const -> incarnation_id;
    /// Why this host should take no requests; empty when it should.
    [[nodiscard]] auto not_ready_reason() const -> std::string;
    /// Control bytes so far, by kind.
    [[nodiscard]] auto traffic() const -> const byte_budget& { return this->budget; }

private:
    /// A load with the time at which it was so.
    struct dated_load
    {
        pool_load load;
        time_point at{};
    };

    /// What the bound by the mean of a pool is worked out from; made once a tick.
    struct pool_sum
    {
        double warm_weight = 0.0;
        double all_weight = 0.0;
        pool_load load;
    };

    /// What is kept for each other host.
    struct peer_state
    {
        ack_tracker link;
        bool urgent = false;        ///< send at once, within the byte budget
        std::uint64_t messages = 0; ///< sent to this process
        std::map<upstream_id, upstream_status> sent_statuses; ///< statuses as last sent
        std::set<upstream_id> pending_grants;                 ///< its reports that want a grant
        std::set<upstream_id>
            acknowledged_upstreams; ///< its upstreams that have answered a report of ours
        std::map<pool_id, dated_load> loads;
        log_offset configuration;
        bool configuration_differs = false; ///< same offset, other content
        bool wants_configuration = false;
        std::uint64_t exceptions_sent = 0; ///< number of places that it has been told
        time_point last_update_sent{};
    };

    /// A sign that this host has given and repeats for a while.
    struct recent_fault_report
    {
        upstream_fault_report report;
        time_point reported_at{};
    };

    /// A sign that another host has given.
    struct fault_report_source
    {
        host_id from;
        upstream_id upstream;
        // NOLINTNEXTLINE: the linter does not know a defaulted comparison
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
    auto log_exceptions(const std::vector<placement_exception>& fresh) -> void;
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
        received_fault_counts;                                    ///< with the count last heard
    std::map<fault_report_source, time_point> fault_report_times; ///< of all hosts
    std::map<pool_id, pool_load> own_loads;
    std::map<pool_id, pool_sum> pool_sums;
    std::map<upstream_id, time_point> last_report_polls; ///< when each report was last asked for
    std::optional<time_point> behind_since; ///< since when another host has folded more
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
    std::deque<placement_exception> exception_log; ///< the last places to tell
    std::uint64_t exception_end = 0;               ///< number of all places ever in that log
};

} // namespace poplardrift
