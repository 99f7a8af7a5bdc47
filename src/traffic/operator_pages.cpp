#include "traffic/operator_pages.hpp"

#include "net/clock.hpp"
#include "poplardrift/base/json_text.hpp"
#include "traffic/placement_request.hpp"
#include "traffic/traffic_service.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace poplardrift::traffic
{

namespace
{

using nlohmann::json;

auto milliseconds_since(time_point moment, time_point now) -> double
{
    return to_milliseconds(now - moment);
}

auto upstream_to_json(const routing::live_upstream& upstream, time_point now) -> json
{
    const auto& entry = upstream.known.entry;
    const auto& state = *upstream.state;
    json page = {{"name", entry.name.value()},
                 {"service", entry.service},
                 {"zone", entry.zone.value()},
                 {"address",
                  entry.address.address().to_string() + ":" + std::to_string(entry.address.port())},
                 {"leaving", upstream.is_leaving()},
                 {"paused", state.notices.is_paused(now)},
                 {"zone_out", upstream.zone_out},
                 {"zone_silent", upstream.zone_silent},
                 {"in_flight", state.in_flight},
                 {"in_flight_elsewhere", state.in_flight_elsewhere},
                 {"failure_share", state.health.failure_share()},
                 {"ejected", state.health.is_ejected(now)},
                 {"cold", now < upstream.known.cold_until || state.is_restart_suspected(now)},
                 {"misaddressed", state.misaddressed},
                 {"unread_tokens", state.pending_prefill_tokens}};
    if (state.last_byte_received_at != time_point{})
    {
        page["heard_ms_ago"] = milliseconds_since(state.last_byte_received_at, now);
    }
    return page;
}

/// What is known of an upstream's speed. `usual` is what is known of its service.
auto speed_to_json(const routing::upstream_speed& speed, const routing::service_speed& usual,
                   time_point now) -> json
{
    const auto learnt_to_json = [now](const routing::learnt_time& learnt,
                                      double expected_ms) -> json
    {
        return {{"ms", expected_ms},
                {"deviation_ms", std::sqrt(learnt.get_variance())},
                {"samples", learnt.weight(now)}};
    };
    json page = {{"slowness", speed.slowness(now)},
                 {"slots", speed.slots()},
                 {"token", learnt_to_json(speed.get_learnt_token_ms(), speed.token_ms(usual, now))},
                 {"response",
                  learnt_to_json(speed.get_learnt_response_ms(), speed.response_ms(usual, now))}};
    if (const auto& report = speed.get_report())
    {
        page["report"] = {{"running", report->running},
                          {"waiting", report->waiting},
                          {"slots", report->slots},
                          {"ms_ago", milliseconds_since(speed.get_reported_at(), now)}};
        if (report->work_time_percent)
        {
            page["report"]["work_time_percent"] = *report->work_time_percent;
        }
    }
    return page;
}

auto candidate_to_json(const routing::candidate_evaluation& account,
                       const std::vector<routing::live_upstream>& upstreams) -> json
{
    json page = {{"upstream", upstreams[account.position].known.entry.name.value()},
                 {"verdict", routing::to_text(account.excluded_by)}};
    if (const auto& choice = account.choice)
    {
        page["cost_ms"] = choice->cost_ms;
        page["in_flight"] = choice->in_flight;
        page["cached_tokens"] = choice->cached_tokens;
        page["first_choice"] = choice->is_first_choice;
        if (choice->fetch_from)
        {
            page["fetch_from"] = upstreams[*choice->fetch_from].known.entry.name.value();
        }
    }
    return page;
}

} // namespace

auto render_status(const traffic_service& service) -> std::string
{
    const auto now = boot_clock_now();
    const auto& view = service.get_view();
    json page = {{"ready", service.is_ready()},
                 {"leaving", service.is_leaving()},
                 {"zone", service.get_zone().value()},
                 {"hosts", view.hosts.count},
                 {"upstreams_known", view.upstreams_known},
                 {"zones_out", json::array()},
                 {"upstreams", json::array()}};
    if (view.configuration)
    {
        page["configuration"] = {
            {"version", view.configuration->version.value()},
            {"in_force_ms", milliseconds_since(service.get_configuration_applied_at(), now)},
            {"routes", view.configuration->routes.size()},
            {"services", view.configuration->services.size()},
            {"workspaces", view.configuration->workspaces.size()}};
    }
    for (const auto& zone : view.zones_out)
    {
        page["zones_out"].push_back(zone.value());
    }
    page["quarantined_parts"] = json::array();
    for (const auto& evidence : service.get_quarantine().quarantined_parts())
    {
        page["quarantined_parts"].push_back(
            {{"part", to_text(evidence.part)},
             {"level", evidence.level},
             {"until_ms", milliseconds_since(now, evidence.quarantined_until)},
             {"marks", evidence.open_marks().size()}});
    }
    page["rollouts"] = service.get_rollouts().to_json(now);
    for (const auto& upstream : service.get_upstreams())
    {
        page["upstreams"].push_back(upstream_to_json(upstream, now));
    }
    return to_json_text(page) + "\n";
}

auto explain_request(const traffic_service& service, const http::request_head& head) -> std::string
{
    const auto& configuration = service.get_view().configuration;
    if (!configuration)
    {
        return to_json_text({{"outcome", "no configuration yet"}}) + "\n";
    }
    const auto target = std::string_view(head.target).substr(explain_page.size());
    const auto* const route = configuration->find_route(host_name_of(head), path_of(target));
    if (route == nullptr)
    {
        return to_json_text({{"outcome", "no route"}}) + "\n";
    }
    const auto metadata = service.get_adapter().decode_request(head);
    const auto service_index = choose_service(*route, metadata.id);
    const auto query =
        make_placement_query(service, service_index, metadata.prompt, metadata.id, {});
    auto accounts = routing::explain_placement(service.get_upstreams(), query);
    std::stable_sort(accounts.begin(), accounts.end(),
                     [](const auto& left, const auto& right)
                     {
                         const auto rank = [](const auto& account) {
                             return std::pair(!account.choice,
                                              account.choice ? account.choice->cost_ms : 0.0);
                         };
                         return rank(left) < rank(right);
                     });
    json page = {{"outcome", accounts.empty() || !accounts.front().choice ? "refused" : "placed"},
                 {"route", route->name},
                 {"service", query.rules->name},
                 {"version", configuration->version.value()},
                 {"is_prompt", query.prompt != nullptr},
                 {"speeds_learnt", query.speed != nullptr},
                 {"candidates", json::array()}};
    for (const auto& account : accounts)
    {
        page["candidates"].push_back(candidate_to_json(account, service.get_upstreams()));
        if (query.speed != nullptr)
        {
            const auto& state = *service.get_upstreams()[account.position].state;
            page["candidates"].back()["speed"] =
                speed_to_json(state.speed, *query.speed, query.now);
        }
    }
    return to_json_text(page) + "\n";
}

} // namespace poplardrift::traffic
