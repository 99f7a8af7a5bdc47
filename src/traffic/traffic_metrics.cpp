#include "traffic/traffic_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace poplardrift::traffic
{

namespace
{

/// Bucket bounds in seconds, densest around the usual latency objectives of 150 to 600 ms.
const prometheus::Histogram::BucketBoundaries first_output_bounds{
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5, 10};

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

auto traffic_metrics::count_peer_bytes(std::size_t bytes) -> void
{
    this->peer_bytes->Increment(static_cast<double>(bytes));
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
