#include "traffic/traffic_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace poplardrift::traffic
{

namespace
{

/// Bucket bounds in seconds, densest around the usual latency objectives of 150 to 600 ms.
const prometheus::Histogram::BucketBoundaries first_output_bounds{
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5, 10};

const prometheus::Histogram::BucketBoundaries queue_time_bounds{0.001, 0.0025, 0.005, 0.01, 0.02,
                                                                0.04,  0.08,   0.15,  0.3};
/// Bucket bounds of a ratio: estimates within a quarter, a half and multiples of the time.
const prometheus::Histogram::BucketBoundaries estimate_bounds{0.125, 0.25, 0.5, 0.67, 0.8,
                                                              1.25,  1.5,  2,   4,    8};

} // namespace

traffic_metrics::traffic_metrics()
    : outcomes(&prometheus::BuildCounter()
                    .Name("poplardrift_requests_total")
                    .Help("Requests by route and outcome")
                    .Register(this->registry)),
      first_output(&prometheus::BuildHistogram()
                        .Name("poplardrift_first_output_seconds")
                        .Help("From a request's last byte to the first byte of its answer")
                        .Register(this->registry)),
      sends(&prometheus::BuildCounter()
                 .Name("poplardrift_sends_total")
                 .Help("Requests sent to upstreams, by service and whether sent before")
                 .Register(this->registry)),
      denied_retries(&prometheus::BuildCounter()
                          .Name("poplardrift_denied_retries_total")
                          .Help("Repeated sends that the retry budget did not allow")
                          .Register(this->registry)),
      ejections(&prometheus::BuildCounter()
                     .Name("poplardrift_ejections_total")
                     .Help("Upstreams left out after faults, by service")
                     .Register(this->registry)),
      interruptions(&prometheus::BuildCounter()
                         .Name("poplardrift_interrupted_sends_total")
                         .Help("Connections that ended before the answer was whole, by service and "
                               "whether there was output")
                         .Register(this->registry)),
      pauses(
          &prometheus::BuildCounter()
               .Name("poplardrift_upstream_pauses_total")
               .Help("Responses by which an upstream asked for no requests for a time, by service")
               .Register(this->registry)),
      rollout_sends(&prometheus::BuildCounter()
                         .Name("poplardrift_rollout_sends_total")
                         .Help("Sends to the new version during a roll-out, by service")
                         .Register(this->registry)),
      rollout_phases(&prometheus::BuildCounter()
                          .Name("poplardrift_rollout_phases_total")
                          .Help("Changes of a roll-out's phase, by service and phase")
                          .Register(this->registry)),
      admissions(&prometheus::BuildCounter()
                      .Name("poplardrift_admissions_total")
                      .Help("Decisions of admission gates, by service and cause of a refusal")
                      .Register(this->registry)),
      queue_time(&prometheus::BuildHistogram()
                      .Name("poplardrift_admission_wait_seconds")
                      .Help("Time that admitted and refused requests waited, by priority")
                      .Register(this->registry)),
      waiting(&prometheus::BuildGauge()
                   .Name("poplardrift_admission_waiting")
                   .Help("Requests that wait at the admission gate, by service")
                   .Register(this->registry)),
      load_reports(&prometheus::BuildCounter()
                        .Name("poplardrift_load_reports_total")
                        .Help("Load reports in responses, by service and whether they were valid")
                        .Register(this->registry)),
      estimates(&prometheus::BuildHistogram()
                     .Name("poplardrift_first_output_by_estimate")
                     .Help("Time to a send's first output, divided by the estimate by which its "
                           "upstream was chosen")
                     .Register(this->registry)),
      limits(&prometheus::BuildCounter()
                  .Name("poplardrift_caller_limits_total")
                  .Help("Callers refused or closed at a limit on memory or connections, by limit")
                  .Register(this->registry)),
      quarantines(&prometheus::BuildCounter()
                       .Name("poplardrift_prompt_quarantines_total")
                       .Help("Prompt parts quarantined, by this host's decision or another's")
                       .Register(this->registry)
                       .Add({})),
      peer_bytes(&prometheus::BuildCounter()
                      .Name("poplardrift_peer_bytes_total")
                      .Help("Bytes of beacons to other hosts, with the headers of their packets")
                      .Register(this->registry)
                      .Add({})),
      sessions(&prometheus::BuildGauge()
                    .Name("poplardrift_caller_connections")
                    .Help("Open connections of callers")
                    .Register(this->registry)
                    .Add({})),
      held_bytes(&prometheus::BuildGauge()
                      .Name("poplardrift_caller_memory_bytes")
                      .Help("Memory counted for callers' requests and responses")
                      .Register(this->registry)
                      .Add({}))
{
}

auto traffic_metrics::count_outcome(const std::string& route, const std::string& outcome,
                                    duration first) -> void
{
    auto& counter = this->outcome_series[{route, outcome}];
    if (counter == nullptr)
    {
        counter = &this->outcomes->Add({{"route", route}, {"outcome", outcome}});
    }
    counter->Increment();
    if (outcome != "done")
    {
        return;
    }
    auto& histogram = this->first_output_series[route];
    if (histogram == nullptr)
    {
        histogram = &this->first_output->Add({{"route", route}}, first_output_bounds);
    }
    histogram->Observe(to_seconds(first));
}

auto traffic_metrics::count_send(const std::string& service, bool is_repeat) -> void
{
    auto& counter = this->send_series[{service, is_repeat}];
    if (counter == nullptr)
    {
        counter =
            &this->sends->Add({{"service", service}, {"repeat", is_repeat ? "true" : "false"}});
    }
    counter->Increment();
}

auto traffic_metrics::count_denied_retry(const std::string& service) -> void
{
    this->denied_retries->Add({{"service", service}}).Increment();
}

auto traffic_metrics::count_ejection(const std::string& service) -> void
{
    this->ejections->Add({{"service", service}}).Increment();
}

auto traffic_metrics::count_interruption(const std::string& service, bool had_output) -> void
{
    this->interruptions->Add({{"service", service}, {"output", had_output ? "true" : "false"}})
        .Increment();
}

auto traffic_metrics::count_quarantine() -> void
{
    this->quarantines->Increment();
}

auto traffic_metrics::count_pause(const std::string& service) -> void
{
    this->pauses->Add({{"service", service}}).Increment();
}

auto traffic_metrics::count_rollout_send(const std::string& service) -> void
{
    this->rollout_sends->Add({{"service", service}}).Increment();
}

auto traffic_metrics::count_rollout_phase(const std::string& service, const std::string& phase)
    -> void
{
    this->rollout_phases->Add({{"service", service}, {"phase", phase}}).Increment();
}

auto traffic_metrics::count_load_report(const std::string& service, bool is_valid) -> void
{
    auto& counter = this->load_report_series[{service, is_valid}];
    if (counter == nullptr)
    {
        counter = &this->load_reports->Add(
            {{"service", service}, {"valid", is_valid ? "true" : "false"}});
    }
    counter->Increment();
}

auto traffic_metrics::observe_estimate(const std::string& service, double ratio) -> void
{
    auto& histogram = this->estimate_series[service];
    if (histogram == nullptr)
    {
        histogram = &this->estimates->Add({{"service", service}}, estimate_bounds);
    }
    histogram->Observe(ratio);
}

auto traffic_metrics::count_peer_bytes(std::size_t bytes) -> void
{
    this->peer_bytes->Increment(static_cast<double>(bytes));
}

auto traffic_metrics::count_admission(const std::string& service,
                                      const overload::gate_decision& decision, int priority) -> void
{
    auto& counter = this->admission_series[{service, decision.cause}];
    if (counter == nullptr)
    {
        counter = &this->admissions->Add(
            {{"service", service}, {"refused", overload::to_text(decision.cause)}});
    }
    counter->Increment();
    auto& histogram = this->queue_time_series[priority];
    if (histogram == nullptr)
    {
        histogram =
            &this->queue_time->Add({{"priority", std::to_string(priority)}}, queue_time_bounds);
    }
    histogram->Observe(to_seconds(decision.waited));
}

auto traffic_metrics::set_waiting(const std::string& service, std::size_t count) -> void
{
    this->waiting->Add({{"service", service}}).Set(static_cast<double>(count));
}

auto traffic_metrics::count_limit(const char* limit) -> void
{
    this->limits->Add({{"limit", limit}}).Increment();
}

auto traffic_metrics::set_held_bytes(std::size_t bytes) -> void
{
    this->held_bytes->Set(static_cast<double>(bytes));
}

auto traffic_metrics::set_sessions(std::size_t count) -> void
{
    this->sessions->Set(static_cast<double>(count));
}

auto traffic_metrics::to_text() const -> std::string
{
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace poplardrift::traffic
