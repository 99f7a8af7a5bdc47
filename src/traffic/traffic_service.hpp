#pragma once

#include "http/listener.hpp"
#include "http/message_reader.hpp"
#include "observability/decision_log.hpp"
#include "overload/return_schedule.hpp"
#include "quarantine/prompt_quarantine.hpp"
#include "routing/host_retry_budget.hpp"
#include "routing/upstream_state.hpp"
#include "traffic/caller_session.hpp"
#include "traffic/connection_pool.hpp"
#include "traffic/descriptor_budget.hpp"
#include "traffic/limit_reporter.hpp"
#include "traffic/load_mailbox.hpp"
#include "traffic/memory_budget.hpp"
#include "traffic/overload_control.hpp"
#include "traffic/rollout_controller.hpp"
#include "traffic/send_listener.hpp"
#include "traffic/speed_learner.hpp"
#include "traffic/status_session.hpp"
#include "traffic/traffic_metrics.hpp"
#include "traffic/wire_adapter.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplardrift::traffic
{

/// Zone, listening addresses and limits of the data path.
struct traffic_settings
{
    zone_name zone;
    boost::asio::ip::tcp::endpoint callers;
    boost::asio::ip::tcp::endpoint status;                 ///< readiness, status and metrics pages
    std::optional<boost::asio::ip::tcp::endpoint> metrics; ///< second address of the same pages
    std::size_t max_held_bytes = 64'000'000; ///< memory for callers' requests and responses
    std::size_t max_sessions = 10'000;       ///< caller connections
};

/// The data path of one host: caller sessions, upstream connections and the state used for
/// placement. Members are used on the traffic thread, except set_view, leave and count_peer_bytes,
/// which any thread may call.
class traffic_service final : private quarantine::quarantine_listener
{
public:
    traffic_service(traffic_settings settings, const wire_adapter& adapter, decision_log& log,
                    load_mailbox& mailbox);

    /// False when binding one of the addresses fails.
    [[nodiscard]] auto open() -> bool;
    /// Runs the event loop until a stop begun by `leave` is complete.
    auto run() -> void;
    auto set_view(std::shared_ptr<const routing::fleet_view> view) -> void;
    /// Begins a graceful stop: readiness fails at once, later the listener closes, and the loop
    /// ends once all sessions have closed or `within` has passed.
    auto leave(duration within) -> void;
    /// Control thread: counts bytes sent to other hosts.
    auto count_peer_bytes(std::size_t bytes) -> void { this->metrics.count_peer_bytes(bytes); }
    /// Any thread: a caller has met a limit of the process.
    auto count_limit(const char* limit) -> void { this->metrics.count_limit(limit); }

    [[nodiscard]] auto get_io() -> boost::asio::io_context& { return this->io; }
    [[nodiscard]] auto get_adapter() const -> const wire_adapter& { return this->adapter; }
    [[nodiscard]] auto get_log() -> decision_log& { return this->log; }
    [[nodiscard]] auto get_mailbox() -> load_mailbox& { return this->mailbox; }
    [[nodiscard]] auto get_overload() -> overload_control& { return this->overload; }
    [[nodiscard]] auto get_pool() -> connection_pool& { return this->pool; }
    [[nodiscard]] auto get_view() const -> const routing::fleet_view& { return *this->view; }
    [[nodiscard]] auto get_upstreams() const -> const std::vector<routing::live_upstream>&
    {
        return this->upstreams;
    }
    /// When the current configuration was applied on this host.
    [[nodiscard]] auto get_configuration_applied_at() const -> time_point
    {
        return this->configuration_applied_at;
    }
    [[nodiscard]] auto get_zone() const -> const zone_name& { return this->settings.zone; }
    [[nodiscard]] auto get_caller_limits() const -> routing::caller_limits;
    [[nodiscard]] auto get_reader_limits() const -> http::reader_limits;
    [[nodiscard]] auto get_memory() -> memory_budget& { return this->memory; }
    /// Empty if the head states none that is known. Valid until the view changes.
    [[nodiscard]] auto workspace_name_of(const http::request_head& head) const -> std::string_view;
    /// Closes the connection that holds most and progresses least, among those that the shortage
    /// concerns; false if that is the one that asks.
    [[nodiscard]] auto make_room(const caller_session& asking, const memory_holding& wanted,
                                 room_shortage shortage) -> bool;
    /// A session has ended whose connection may still be open; `room` is what it still holds.
    auto on_lingering(const std::shared_ptr<http::byte_stream>& stream,
                      const std::shared_ptr<memory_reservation>& room) -> void;
    [[nodiscard]] auto is_leaving() const -> bool { return this->leaving; }
    [[nodiscard]] auto is_ready() const -> bool;

    [[nodiscard]] auto connect(const boost::asio::ip::tcp::endpoint& address) -> connection_ptr;
    [[nodiscard]] auto retry_budget_of(const std::string& service) -> routing::host_retry_budget&;
    /// When refused callers of a service return.
    [[nodiscard]] auto return_schedule_of(const std::string& service) -> overload::return_schedule&
    {
        return this->return_schedules[service];
    }
    [[nodiscard]] auto get_quarantine() -> quarantine::prompt_quarantine&
    {
        return this->prompts_in_quarantine;
    }
    [[nodiscard]] auto get_quarantine() const -> const quarantine::prompt_quarantine&
    {
        return this->prompts_in_quarantine;
    }
    [[nodiscard]] auto get_rollouts() -> rollout_controller& { return this->rollouts; }
    [[nodiscard]] auto get_rollouts() const -> const rollout_controller& { return this->rollouts; }
    [[nodiscard]] auto get_speeds() -> speed_learner& { return this->speeds; }
    [[nodiscard]] auto get_speeds() const -> const speed_learner& { return this->speeds; }
    [[nodiscard]] auto may_retry(const std::string& service) -> bool;
    /// Consumes one repeated send from a service's retry budget; false when the budget is used up.
    [[nodiscard]] auto consume_retry(const std::string& service) -> bool;
    auto on_upstream_fault(routing::upstream_state& state, const routing::upstream_name& name,
                           const std::string& service, routing::upstream_fault fault) -> void;
    /// The upstream has said in a response that it leaves.
    auto on_upstream_leaving(routing::upstream_state& state, const routing::upstream_name& name)
        -> void;
    /// The upstream has turned a request away and wants none from this host for `length`.
    auto on_upstream_paused(routing::upstream_state& state, const routing::upstream_name& name,
                            const std::string& service, duration length) -> void;
    /// Reports the shared prefix of a prompt, whose prefill an upstream has completed, to other
    /// hosts.
    auto on_prefill_complete(const routing::upstream_name& name,
                             const routing::prompt_metadata& prompt) -> void;
    /// A send of this host has ended.
    auto on_send_finished(const finished_send& send) -> void;
    /// Adds a listener for the ends of sends, which must outlive the service's event loop.
    auto add_send_listener(send_listener& listener) -> void
    {
        this->send_listeners.push_back(&listener);
    }
    auto count_send(const std::string& service, bool is_repeat) -> void;
    auto count_interruption(const std::string& service, bool had_output) -> void;
    auto count_outcome(const std::string& route, const std::string& outcome, duration first_output)
        -> void;
    auto count_admission(const std::string& service, const overload::gate_decision& decision,
                         int priority) -> void
    {
        this->metrics.count_admission(service, decision, priority);
    }
    auto set_waiting(const std::string& service, std::size_t count) -> void
    {
        this->metrics.set_waiting(service, count);
    }
    auto on_session_ended(const std::shared_ptr<caller_session>& session) -> void;

private:
    auto on_quarantined(const quarantine::part_evidence& evidence, bool is_own) -> void override;
    auto on_released(const quarantine::part_evidence& evidence,
                     const quarantine::part_release& release) -> void override;
    auto sync_evidence(time_point now) -> void;
    /// Time for evidence to reach all hosts and their answer to come back. A single host has none
    /// to wait for; beyond a mesh the hosts of other cells are reached through several of one's
    /// own.
    [[nodiscard]] static auto evidence_settling_time(std::size_t hosts) -> duration;
    auto apply_view(std::shared_ptr<const routing::fleet_view> next) -> void;
    auto make_upstream(const routing::known_upstream& known, std::size_t service)
        -> routing::live_upstream;
    auto handle_status_request(const http::request_head& head) const -> status_response;
    auto accept_caller(boost::asio::ip::tcp::socket socket) -> void;
    /// Closes the connection that has been inactive for longest; false if none is.
    auto close_inactive_caller() -> bool;
    auto close_lingering_for(const caller_session& asking, room_shortage shortage) -> bool;
    auto accept_status(boost::asio::ip::tcp::socket socket) -> void;
    auto tick() -> void;
    auto sync_mailbox() -> void;
    auto apply_remote_prefixes() -> void;
    auto apply_silent_zones() -> void;
    auto apply_remote_loads() -> void;
    [[nodiscard]] auto find_upstream(routing::upstream_key key) -> routing::live_upstream*;
    auto begin_leaving(duration within) -> void;
    auto stop_accepting() -> void;
    auto stop_when_idle() -> void;
    auto run_after(duration delay, std::function<void()> action) -> void;
    /// Marks an upstream as possibly restarted after a failure that this host has seen.
    auto suspect_restart(routing::upstream_state& state, const std::string& service) -> void;
    auto record_zone_unreachable(const routing::upstream_state& state) -> void;
    [[nodiscard]] auto cold_start_of(const std::string& service) const -> duration;
    [[nodiscard]] auto failure_share_of(const std::string& service) const -> double;
    /// False when the maximum number of upstreams of the service is ejected: the others could not
    /// take more load.
    [[nodiscard]] auto may_eject(const std::string& service) const -> bool;

    traffic_settings settings;
    const wire_adapter& adapter;
    decision_log& log;
    load_mailbox& mailbox;
    // Before the event loop, whose handlers may hold parts of these.
    memory_budget memory;
    descriptor_budget descriptors;
    boost::asio::io_context io{1};
    std::shared_ptr<http::listener> caller_listener;
    std::vector<std::shared_ptr<http::listener>> status_listeners;
    std::shared_ptr<const routing::fleet_view> view = std::make_shared<routing::fleet_view>();
    std::vector<routing::live_upstream> upstreams;
    absl::flat_hash_map<routing::upstream_key, std::size_t> positions; ///< indexes into upstreams
    absl::flat_hash_map<std::string, std::shared_ptr<routing::upstream_state>> states;
    absl::flat_hash_map<std::string, routing::host_retry_budget> retry_budgets;
    absl::flat_hash_map<std::string, overload::return_schedule> return_schedules;
    absl::flat_hash_set<std::shared_ptr<caller_session>> sessions;
    connection_pool pool;
    quarantine::prompt_quarantine prompts_in_quarantine{*this};
    /// Connections of ended sessions, oldest first; some may have closed since.
    struct lingering_stream
    {
        std::weak_ptr<http::byte_stream> stream;
        std::weak_ptr<memory_reservation> room;
    };
    std::deque<lingering_stream> lingering;
    status_session_group status_sessions;
    traffic_metrics metrics;
    overload_control overload{*this};
    rollout_controller rollouts;
    speed_learner speeds{this->metrics};
    limit_reporter limits;
    boost::asio::steady_timer ticker;
    std::vector<send_listener*> send_listeners;
    std::uint64_t remote_loads_version = 0;
    std::vector<upstream_load> remote_loads;
    time_point configuration_applied_at{};
    bool leaving = false;
    bool accepting = true;
};

} // namespace poplardrift::traffic
