#pragma once

#include "observability/decision_log.hpp"
#include "rollout/known_versions.hpp"
#include "rollout/latency_baseline.hpp"
#include "rollout/rollout.hpp"
#include "routing/upstream_state.hpp"
#include "traffic/rollout_mailbox.hpp"
#include "traffic/send_listener.hpp"
#include "traffic/traffic_metrics.hpp"

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace poplardrift::traffic
{

/// Connects the decisions on roll-outs with the data path: tells placement which versions a request
/// may run on, counts requests and responses, and exchanges reports through the mailbox. Does
/// nothing unless the settings have bounds for roll-outs. Traffic thread.
class rollout_controller final : public send_listener
{
public:
    rollout_controller(decision_log& log, traffic_metrics& metrics, rollout_mailbox& mailbox)
        : log(log), metrics(metrics), mailbox(mailbox)
    {
    }

    /// Takes the orders and the registry of a new view, and sets the upstreams' standings.
    auto apply(const routing::fleet_view& view, std::span<routing::live_upstream> upstreams,
               time_point now) -> void;
    /// A request to the service has arrived.
    auto on_request(std::string_view service, std::string_view route) -> void;
    /// Versions to prefer for a send; empty if only the known ones may be used.
    [[nodiscard]] auto choose(std::string_view service, std::string_view route,
                              bool is_repeat) const -> std::optional<routing::version_filter>;
    /// A send to an upstream of this standing begins.
    auto on_placed(std::string_view service, std::string_view route,
                   routing::version_standing standing) -> void;
    auto on_send_finished(const finished_send& send) -> void override;
    /// Exchanges reports with the mailbox and makes the decisions that are due.
    auto tick(std::span<routing::live_upstream> upstreams, time_point now) -> void;
    /// For the status page.
    [[nodiscard]] auto to_json(time_point now) const -> nlohmann::json;

private:
    /// Versions and the newest order of one service.
    struct service_state
    {
        rollout::known_versions versions;
        std::optional<rollout::service_rollout> current;
        rollout::latency_baseline first_output;
        rollout::latency_baseline event_gaps;
        rollout::rollout_phase logged_phase = rollout::rollout_phase::in_progress;
        time_point settled_at{}; ///< when the final phase was recorded
        std::size_t canary_count = 0;
    };

    [[nodiscard]] auto find(std::string_view service) -> service_state*;
    [[nodiscard]] auto find(std::string_view service) const -> const service_state*;
    auto apply_orders(const routing::fleet_view& view, time_point now) -> void;
    auto apply_order(service_state& state, const rollout::rollout_order& order, time_point now)
        -> void;
    auto apply_registry(std::span<const routing::live_upstream> upstreams) -> void;
    auto set_standings(std::span<routing::live_upstream> upstreams) -> void;
    auto set_hosts(rollout::service_rollout& current) const -> void;
    auto take_messages(time_point now) -> void;
    auto advance(const std::string& service, service_state& state, time_point now) -> void;
    auto settle(const std::string& service, service_state& state, time_point now) -> void;
    auto write_due_state(const std::string& service, service_state& state, time_point now) -> void;
    auto log_phase(const std::string& service, const service_state& state) -> void;
    auto publish(time_point now) -> void;
    [[nodiscard]] auto classify_speed(service_state& state, const finished_send& send,
                                      bool is_new_version) -> std::optional<bool>;

    decision_log& log;
    traffic_metrics& metrics;
    rollout_mailbox& mailbox;
    std::optional<rollout::rollout_bounds> bounds;
    routing::host_group hosts;
    std::map<std::string, service_state, std::less<>> services;
    absl::flat_hash_map<routing::upstream_key, std::uint32_t> zones; ///< hashes of their names
    std::uint64_t phase_changes = 0;
    std::uint64_t bad_responses = 0;
    bool standings_changed = false;
};

} // namespace poplardrift::traffic
