#pragma once

#include "overload/admission_gate.hpp"
#include "poplardrift/base/time.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <utility>

namespace poplardrift::traffic
{

/// Counters and histograms of the data path. Any thread may call `to_text`, `count_peer_bytes`
/// and `count_limit`;
/// the rest belongs to the traffic thread, whose maps cache the series by label.
class traffic_metrics final
{
public:
    traffic_metrics();

    auto count_outcome(const std::string& route, const std::string& outcome, duration first_output)
        -> void;
    auto count_send(const std::string& service, bool is_repeat) -> void;
    auto count_denied_retry(const std::string& service) -> void;
    auto count_ejection(const std::string& service) -> void;
    auto count_interruption(const std::string& service, bool had_output) -> void;
    auto count_quarantine() -> void;
    auto count_pause(const std::string& service) -> void;
    /// A send to the new version of a roll-out.
    auto count_rollout_send(const std::string& service) -> void;
    auto count_rollout_phase(const std::string& service, const std::string& phase) -> void;
    auto count_load_report(const std::string& service, bool is_valid) -> void;
    /// Counts the time to a first output, divided by the estimate made at placement.
    auto observe_estimate(const std::string& service, double ratio) -> void;
    auto count_peer_bytes(std::size_t bytes) -> void;
    /// A decision of an admission gate, and the queue time of those that it has admitted.
    auto count_admission(const std::string& service, const overload::gate_decision& decision,
                         int priority) -> void;
    auto set_waiting(const std::string& service, std::size_t count) -> void;
    /// Any thread.
    auto count_limit(const char* limit) -> void;
    auto set_sessions(std::size_t count) -> void;
    auto set_held_bytes(std::size_t bytes) -> void;
    [[nodiscard]] auto to_text() const -> std::string;

private:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>* outcomes;
    prometheus::Family<prometheus::Histogram>* first_output;
    prometheus::Family<prometheus::Counter>* sends;
    prometheus::Family<prometheus::Counter>* denied_retries;
    prometheus::Family<prometheus::Counter>* ejections;
    prometheus::Family<prometheus::Counter>* interruptions;
    prometheus::Family<prometheus::Counter>* pauses;
    prometheus::Family<prometheus::Counter>* rollout_sends;
    prometheus::Family<prometheus::Counter>* rollout_phases;
    prometheus::Family<prometheus::Counter>* admissions;
    prometheus::Family<prometheus::Histogram>* queue_time;
    prometheus::Family<prometheus::Gauge>* waiting;
    prometheus::Family<prometheus::Counter>* load_reports;
    prometheus::Family<prometheus::Histogram>* estimates;
    prometheus::Family<prometheus::Counter>* limits;
    prometheus::Counter* quarantines;
    prometheus::Counter* peer_bytes;
    prometheus::Gauge* sessions;
    prometheus::Gauge* held_bytes;
    std::map<std::pair<std::string, std::string>, prometheus::Counter*> outcome_series;
    std::map<std::string, prometheus::Histogram*> first_output_series;
    std::map<std::pair<std::string, bool>, prometheus::Counter*> send_series;
    std::map<std::pair<std::string, overload::refusal_cause>, prometheus::Counter*>
        admission_series;
    std::map<int, prometheus::Histogram*> queue_time_series;
    std::map<std::pair<std::string, bool>, prometheus::Counter*> load_report_series;
    std::map<std::string, prometheus::Histogram*> estimate_series;
};

} // namespace poplardrift::traffic
