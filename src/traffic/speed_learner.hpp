#pragma once

#include "traffic/send_listener.hpp"
#include "traffic/traffic_metrics.hpp"
#include "traffic/wire_adapter.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace poplardrift::traffic
{

/// Learns the speeds of upstreams from their reports and from the ends of sends, by service.
/// Traffic thread.
class speed_learner final : public send_listener
{
public:
    explicit speed_learner(traffic_metrics& metrics) : metrics(metrics) {}

    /// The head of a response of one of the service's upstreams has arrived.
    auto on_response_head(routing::upstream_state& state, const std::string& service,
                          const response_metadata& response, time_point now) -> void;
    auto on_send_finished(const finished_send& send) -> void override;

    /// What is known of a service, for placement; null unless it is to be used: one of the
    /// service's upstreams reports how long work takes there, or the settings enable it for all.
    [[nodiscard]] auto find(const std::string& service, bool is_enabled_for_all) const
        -> const routing::service_speed*;

private:
    traffic_metrics& metrics;
    absl::flat_hash_map<std::string, routing::service_speed> services;
};

} // namespace poplardrift::traffic
