#include "observability/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace poplardrift
{

namespace
{

/// Bucket bounds in seconds, densest at the targets: 0.35 s to first token, 40 ms between tokens.
const prometheus::Histogram::BucketBoundaries first_token_bounds{
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5, 0.75, 1, 2, 5, 10};
const prometheus::Histogram::BucketBoundaries between_tokens_bounds{0.005, 0.01,  0.02, 0.03, 0.04,
                                                                    0.05,  0.075, 0.1,  0.25, 1};
const prometheus::Histogram::BucketBoundaries total_bounds{0.01, 0.05, 0.1, 0.25, 0.5, 1,
                                                           2,    5,    10,  30,   60,  300};

} // namespace

metrics::metrics()
    : first_token(&prometheus::BuildHistogram()
                       .Name("poplardrift_first_token_seconds")
                       .Help("From the request's arrival to the first event sent to the caller")
                       .Register(this->registry)),
      between_tokens(&prometheus::BuildHistogram()
                          .Name("poplardrift_between_tokens_seconds")
                          .Help("Between two events sent to the caller")
                          .Register(this->registry)),
      total(&prometheus::BuildHistogram()
                 .Name("poplardrift_request_seconds")
                 .Help("From the request's arrival to the end of its answer")
                 .Register(this->registry)),
      requests(&prometheus::BuildCounter()
                    .Name("poplardrift_requests_total")
                    .Help("Requests by route and outcome")
                    .Register(this->registry)),
      events(&prometheus::BuildCounter()
                  .Name("poplardrift_events_total")
                  .Help("Numbered events of the log by name")
                  .Register(this->registry)),
      in_flight(&prometheus::BuildGauge()
                     .Name("poplardrift_in_flight")
                     .Help("Requests of this host at upstreams")
                     .Register(this->registry)
                     .Add({})),
      queued(&prometheus::BuildGauge()
                  .Name("poplardrift_queued")
                  .Help("Requests of this host that wait for a slot")
                  .Register(this->registry)
                  .Add({})),
      control_bytes(
          &prometheus::BuildGauge()
               .Name("poplardrift_control_bytes")
               .Help("Control bytes caused by this host since its start, overhead counted, by kind")
               .Register(this->registry)),
      placements(&prometheus::BuildGauge()
                      .Name("poplardrift_placements")
                      .Help("Requests of this host by how they got their place")
                      .Register(this->registry)),
      configuration(&prometheus::BuildGauge()
                         .Name("poplardrift_configuration_offset")
                         .Help("Offset of the log up to which the configuration is in force")
                         .Register(this->registry)
                         .Add({}))
{
}

auto metrics::of_route(const std::string& route, const std::string& workspace)
    -> const route_metrics&
{
    const std::lock_guard lock(this->mutex);
    const auto [found, inserted] = this->by_route.try_emplace(route + "\n" + workspace);
    if (inserted)
    {
        const prometheus::Labels labels{{"route", route}, {"workspace", workspace}};
        found->second = {&this->first_token->Add(labels, first_token_bounds),
                         &this->between_tokens->Add(labels, between_tokens_bounds),
                         &this->total->Add(labels, total_bounds)};
    }
    return found->second;
}

auto metrics::count_request(const std::string& route, const std::string& outcome) -> void
{
    this->requests->Add({{"route", route}, {"outcome", outcome}}).Increment();
}

auto metrics::count_event(const std::string& name) -> void
{
    this->events->Add({{"event", name}}).Increment();
}

auto metrics::set_placements(const placement_counts& counts) -> void
{
    const auto set = [&](const char* kind, std::uint64_t value) {
        this->placements->Add({{"kind", kind}}).Set(static_cast<double>(value));
    };
    set("preferred", counts.preferred);
    set("preferred_waited", counts.preferred_waited);
    set("elsewhere", counts.elsewhere);
    set("forwarded", counts.forwarded);
    set("forwarded_elsewhere", counts.forwarded_elsewhere);
    set("denied", counts.denied);
    set("left_out", counts.left_out);
    set("unanswered", counts.unanswered);
}

auto metrics::set_control_bytes(const byte_budget& traffic) -> void
{
    for (std::size_t kind = 0; kind < control_traffic_kinds; ++kind)
    {
        const std::string name(poplardrift::to_text(static_cast<control_traffic>(kind)));
        this->control_bytes->Add({{"kind", name}})
            .Set(static_cast<double>(traffic.by_kind()[kind]));
    }
}

auto metrics::to_text() const -> std::string
{
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace poplardrift
