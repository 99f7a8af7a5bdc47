#pragma once

#include "poplardrift/admission/admission.hpp"
#include "poplardrift/gossip/byte_budget.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace poplardrift
{

/// Latency histograms of one route and workspace.
struct route_metrics
{
    prometheus::Histogram* first_token = nullptr;
    prometheus::Histogram* between_tokens = nullptr;
    prometheus::Histogram* total = nullptr;
};

/// All Prometheus metrics of a host. Thread-safe.
class metrics final
{
public:
    metrics();

    /// Histograms of a route and workspace; created on first use and never removed.
    [[nodiscard]] auto of_route(const std::string& route, const std::string& workspace)
        -> const route_metrics&;
    /// Counts a request by its outcome, such as `done`, `not-run` or `unknown`.
    auto count_request(const std::string& route, const std::string& outcome) -> void;
    auto count_event(const std::string& name) -> void;
    auto set_in_flight(double value) -> void { this->in_flight->Set(value); }
    auto set_queued(double value) -> void { this->queued->Set(value); }
    auto set_placements(const placement_counts& counts) -> void;
    auto set_control_bytes(const byte_budget& traffic) -> void;
    auto set_configuration_offset(double offset) -> void { this->configuration->Set(offset); }
    [[nodiscard]] auto to_text() const -> std::string;

private:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram>* first_token;
    prometheus::Family<prometheus::Histogram>* between_tokens;
    prometheus::Family<prometheus::Histogram>* total;
    prometheus::Family<prometheus::Counter>* requests;
    prometheus::Family<prometheus::Counter>* events;
    prometheus::Gauge* in_flight;
    prometheus::Gauge* queued;
    prometheus::Family<prometheus::Gauge>* control_bytes;
    prometheus::Family<prometheus::Gauge>* placements;
    prometheus::Gauge* configuration;
    std::mutex mutex;
    std::unordered_map<std::string, route_metrics> by_route;
};

} // namespace poplardrift
