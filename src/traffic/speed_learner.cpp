#include "traffic/speed_learner.hpp"

namespace poplardrift::traffic
{

namespace
{

/// Stands for services of which nothing has been learnt yet.
const routing::service_speed unknown_speed;

} // namespace

auto speed_learner::on_response_head(routing::upstream_state& state, const std::string& service,
                                     const response_metadata& response, time_point now) -> void
{
    if (response.has_malformed_load)
    {
        this->metrics.count_load_report(service, false);
    }
    // Anyone may answer at the address of another upstream.
    if (!response.load || response.misaddressed)
    {
        return;
    }
    this->metrics.count_load_report(service, true);
    state.speed.on_load_report(*response.load, now);
    if (response.load->work_time_percent)
    {
        this->services[service].reports_slowness = true;
    }
}

auto speed_learner::on_send_finished(const finished_send& send) -> void
{
    // Failures say nothing of speed, and a cold upstream is slow for another reason. A send without
    // an estimate was placed while speeds weren't used, or fetched its prompt.
    if (send.result != send_result::succeeded || !send.was_warm || !send.first_output ||
        send.estimate.expected_ms <= 0.0)
    {
        return;
    }
    const std::string name(send.service);
    auto& service = this->services[name];
    const auto is_prompt = send.prefill_tokens > 0;
    const auto is_stream = send.route.kind == routing::route_kind::streaming;
    constexpr double ms_per_second = 1e3;
    this->metrics.observe_estimate(name, to_seconds(*send.first_output) * ms_per_second /
                                             send.estimate.expected_ms);
    if (is_prompt && is_stream)
    {
        send.state.speed.on_prompt_read(send.prefill_tokens, send.in_flight, send.estimate,
                                        *send.first_output, service, send.ended_at);
    }
    else if (!is_prompt && !is_stream)
    {
        send.state.speed.on_response(send.estimate, *send.first_output, service, send.ended_at);
    }
}

auto speed_learner::find(const std::string& service, bool is_enabled_for_all) const
    -> const routing::service_speed*
{
    const auto found = this->services.find(service);
    if (found != this->services.end())
    {
        const auto used = is_enabled_for_all || found->second.reports_slowness;
        return used ? &found->second : nullptr;
    }
    return is_enabled_for_all ? &unknown_speed : nullptr;
}

} // namespace poplardrift::traffic
