#include "traffic/rollout_controller.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace poplardrift::traffic
{

namespace
{

using namespace std::chrono_literals;
using rollout::rollout_phase;
using rollout::version_choice;
using routing::version_standing;

/// Reports of a roll-out that has ended go on for this long, for hosts that missed its end. Hosts
/// that start later read the store.
constexpr duration report_after_end = 60s;
/// Streams with fewer events say little about the gaps between them.
constexpr std::uint64_t min_events_for_gap = 8;

auto key_of(std::string_view route) -> rollout::route_key
{
    return rollout::route_key(hash_name_32(route));
}

auto quality_of(const finished_send& send) -> std::optional<rollout::response_quality>
{
    switch (send.result)
    {
    case send_result::succeeded:
    case send_result::rejected:
        return rollout::response_quality::good;
    case send_result::failed:
        return rollout::response_quality::failed;
    case send_result::broken:
        return rollout::response_quality::interrupted;
    case send_result::silent:
        // A cold upstream may miss the time-outs for responses.
        return send.was_warm ? std::optional(rollout::response_quality::interrupted) : std::nullopt;
    default:
        return std::nullopt;
    }
}

auto is_of_new_version(version_standing standing) -> bool
{
    return standing == version_standing::ordered || standing == version_standing::canary;
}

auto share_to_json(const rollout::response_share& share) -> nlohmann::json
{
    return {{"bad", share.bad}, {"all", share.all}};
}

auto verdict_to_json(const rollout::bad_verdict& verdict) -> nlohmann::json
{
    return {{"metric", rollout::to_text(verdict.metric)},
            {"route_hash", verdict.route ? nlohmann::json(verdict.route->value()) : "all"},
            {"new_version", share_to_json(verdict.new_version)},
            {"old_version", share_to_json(verdict.old_version)},
            {"log_evidence", verdict.log_evidence}};
}

auto counts_to_json(const rollout::response_counts& counts) -> nlohmann::json
{
    return {{"finished", counts.finished},
            {"failed", counts.failed},
            {"interrupted", counts.interrupted},
            {"timed", counts.timed},
            {"slow", counts.slow}};
}

} // namespace

auto rollout_controller::find(std::string_view service) -> service_state*
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? nullptr : &found->second;
}

auto rollout_controller::find(std::string_view service) const -> const service_state*
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? nullptr : &found->second;
}

auto rollout_controller::apply(const routing::fleet_view& view,
                               std::span<routing::live_upstream> upstreams, time_point now) -> void
{
    this->bounds = view.bounds.rollouts;
    this->hosts = view.hosts;
    if (!this->bounds || !view.configuration)
    {
        this->services.clear();
        this->mailbox.set_local({});
        return;
    }
    this->zones.clear();
    for (const auto& upstream : upstreams)
    {
        this->zones[upstream.key] = hash_name_32(upstream.known.entry.zone.value());
    }
    this->apply_orders(view, now);
    this->apply_registry(upstreams);
    this->set_standings(upstreams);
}

auto rollout_controller::apply_orders(const routing::fleet_view& view, time_point now) -> void
{
    for (auto& [service, state] : this->services)
    {
        const auto is_ordered = std::any_of(view.rollouts.begin(), view.rollouts.end(),
                                            [&, name = std::string_view(service)](const auto& order)
                                            { return order.service == name; });
        if (state.current && !is_ordered)
        {
            state.current->on_withdrawn(now);
        }
    }
    for (const auto& order : view.rollouts)
    {
        if (view.configuration->find_service(order.service))
        {
            this->apply_order(this->services[order.service], order, now);
        }
    }
}

auto rollout_controller::apply_order(service_state& state, const rollout::rollout_order& order,
                                     time_point now) -> void
{
    if (state.current)
    {
        auto& former = *state.current;
        former.set_bounds(*this->bounds);
        if (former.get_order().position == order.position)
        {
            return;
        }
        const auto is_repeated = former.get_order().to == order.to;
        if (is_repeated && is_final(former.get_phase()))
        {
            return;
        }
        former.on_withdrawn(now);
        this->settle(order.service, state, now);
    }
    this->log.write(event_code::rollout_ordered, {{"service", order.service},
                                                  {"to", order.to},
                                                  {"position", order.position.value()},
                                                  {"length_ms", to_milliseconds(order.length)},
                                                  {"age_known", order.is_fresh}});
    state.current.emplace(order, *this->bounds, now);
    state.versions.set_aside(order.to);
    state.logged_phase = rollout_phase::in_progress;
    state.settled_at = {};
    this->set_hosts(*state.current);
}

auto rollout_controller::apply_registry(std::span<const routing::live_upstream> upstreams) -> void
{
    std::map<std::string_view, std::vector<rollout::registered_version>> by_service;
    for (const auto& upstream : upstreams)
    {
        const auto& entry = upstream.known.entry;
        by_service[entry.service].push_back(
            {entry.version, entry.start_number, upstream.is_leaving()});
    }
    for (const auto& [service, registry] : by_service)
    {
        auto& state = this->services[std::string(service)];
        const auto is_open = state.current && state.current->get_phase() != rollout_phase::complete;
        state.versions.update(registry,
                              is_open ? std::string_view(state.current->get_order().to) : "");
    }
}

auto rollout_controller::set_standings(std::span<routing::live_upstream> upstreams) -> void
{
    this->standings_changed = false;
    struct new_upstreams
    {
        std::vector<rollout::canary_candidate> candidates;
        std::size_t old_count = 0;
    };
    std::map<std::string_view, new_upstreams> by_service;
    for (auto& upstream : upstreams)
    {
        const auto& entry = upstream.known.entry;
        const auto* const state = this->find(entry.service);
        upstream.standing = version_standing::known;
        if (state == nullptr || state->versions.empty())
        {
            continue;
        }
        auto& group = by_service[entry.service];
        if (state->versions.contains(entry.version))
        {
            group.old_count += upstream.is_leaving() ? 0 : 1;
            continue;
        }
        const auto is_ordered = state->current && !is_final(state->current->get_phase()) &&
                                state->current->get_order().to == entry.version;
        upstream.standing = is_ordered ? version_standing::ordered : version_standing::unordered;
        if (is_ordered && !upstream.is_leaving() && !upstream.zone_out)
        {
            group.candidates.push_back({upstream.key, entry.zone});
        }
    }
    std::vector<std::uint32_t> canaries;
    for (const auto& [service, group] : by_service)
    {
        auto* const state = this->find(service);
        if (state->current && !group.candidates.empty())
        {
            const auto chosen =
                rollout::choose_canaries(group.candidates, state->current->get_order().position,
                                         group.old_count, state->current->get_canary_share());
            state->canary_count = chosen.size();
            canaries.insert(canaries.end(), chosen.begin(), chosen.end());
        }
    }
    for (auto& upstream : upstreams)
    {
        if (upstream.standing == version_standing::ordered &&
            std::find(canaries.begin(), canaries.end(), upstream.key) != canaries.end())
        {
            upstream.standing = version_standing::canary;
        }
    }
}

auto rollout_controller::set_hosts(rollout::service_rollout& current) const -> void
{
    const auto& order = current.get_order();
    const auto seed = hash_bytes_64(order.service, order.position.value());
    const auto rank = routing::rendezvous_rank(this->hosts.own, this->hosts.others, seed);
    current.set_hosts({{this->hosts.count, rank, order.is_fresh}, this->mailbox.is_isolated()});
}

auto rollout_controller::on_request(std::string_view service, std::string_view route) -> void
{
    auto* const state = this->find(service);
    if (state != nullptr && state->current)
    {
        state->current->on_request(key_of(route));
    }
}

auto rollout_controller::choose(std::string_view service, std::string_view route,
                                bool is_repeat) const -> std::optional<routing::version_filter>
{
    const auto* const state = this->find(service);
    if (state == nullptr || !state->current)
    {
        return std::nullopt;
    }
    switch (state->current->choose(key_of(route), is_repeat))
    {
    case version_choice::canary:
        return routing::canary_versions;
    case version_choice::new_version:
        return routing::new_versions;
    case version_choice::old_version:
    case version_choice::only_new: // by then the new version is the known one
        return std::nullopt;
    }
    return std::nullopt;
}

auto rollout_controller::on_placed(std::string_view service, std::string_view route,
                                   version_standing standing) -> void
{
    if (!is_of_new_version(standing))
    {
        return;
    }
    auto* const state = this->find(service);
    if (state != nullptr && state->current)
    {
        state->current->on_sent_to_new(key_of(route));
        this->metrics.count_rollout_send(std::string(service));
    }
}

auto rollout_controller::classify_speed(service_state& state, const finished_send& send,
                                        bool is_new_version) -> std::optional<bool>
{
    if (!send.was_warm || !send.first_output)
    {
        return std::nullopt;
    }
    const auto zone = this->zones.find(send.upstream);
    const rollout::latency_class of{
        key_of(send.route.name), zone == this->zones.end() ? 0 : zone->second, send.prefill_tokens};
    const rollout::latency_class of_gaps{of.route, of.zone, 0};
    const auto has_gap = send.events >= min_events_for_gap;
    auto slow = state.first_output.is_slow(of, *send.first_output);
    if (has_gap && !slow.value_or(false))
    {
        const auto slow_gap = state.event_gaps.is_slow(of_gaps, send.longest_event_gap);
        slow = slow_gap.has_value() ? slow_gap : slow;
    }
    if (!is_new_version)
    {
        state.first_output.add(of, *send.first_output);
        if (has_gap)
        {
            state.event_gaps.add(of_gaps, send.longest_event_gap);
        }
    }
    return slow;
}

auto rollout_controller::on_send_finished(const finished_send& send) -> void
{
    auto* const state = this->find(send.service);
    const auto quality = quality_of(send);
    if (state == nullptr || !quality)
    {
        return;
    }
    const auto is_new_version =
        state->current && state->current->get_order().to == send.upstream_version;
    if (!is_new_version && !state->versions.contains(send.upstream_version))
    {
        return;
    }
    // Kept up to date without an order, so that there is something to compare with at its start.
    const auto slow = this->classify_speed(*state, send, is_new_version);
    if (!state->current || is_final(state->current->get_phase()))
    {
        return;
    }
    state->current->on_response(
        {key_of(send.route.name), is_new_version, send.upstream, *quality, slow}, send.ended_at);
    const auto is_bad = *quality != rollout::response_quality::good || slow.value_or(false);
    this->bad_responses += is_new_version && is_bad ? 1 : 0;
    if (is_final(state->current->get_phase()))
    {
        // The response has ended the roll-out. Placement follows the phase at once; the standings
        // of the upstreams are set by the next tick.
        const std::string service(send.service);
        this->settle(service, *state, send.ended_at);
        this->write_due_state(service, *state, send.ended_at);
        this->publish(send.ended_at);
    }
}

auto rollout_controller::take_messages(time_point now) -> void
{
    for (const auto& [from, report] : this->mailbox.take_received())
    {
        auto* const state = this->find(report.service);
        if (state != nullptr && state->current &&
            state->current->get_order().position == report.position)
        {
            state->current->on_report(from, report, now);
        }
    }
    for (const auto& recorded : this->mailbox.take_recorded())
    {
        auto* const state = this->find(recorded.service);
        if (state == nullptr || !state->current || state->current->get_order().to != recorded.to)
        {
            continue;
        }
        state->current->on_recorded(recorded.phase, now);
        this->log.write(event_code::rollout_recorded,
                        {{"service", recorded.service},
                         {"to", recorded.to},
                         {"state", rollout::to_text(recorded.phase)}});
    }
}

auto rollout_controller::log_phase(const std::string& service, const service_state& state) -> void
{
    const auto& current = *state.current;
    nlohmann::json detail = {{"service", service},
                             {"to", current.get_order().to},
                             {"phase", rollout::to_text(current.get_phase())},
                             {"cause", rollout::to_text(current.get_cause())},
                             {"own_requests", current.get_evidence().own.requests()},
                             {"own_sent_to_new", current.get_evidence().own.sent_to_new}};
    if (current.get_verdict())
    {
        detail["verdict"] = verdict_to_json(*current.get_verdict());
    }
    this->log.write(event_code::rollout_phase_changed, detail);
}

auto rollout_controller::settle(const std::string& service, service_state& state, time_point now)
    -> void
{
    auto& current = *state.current;
    if (current.get_phase() != state.logged_phase)
    {
        state.logged_phase = current.get_phase();
        ++this->phase_changes;
        this->standings_changed = true;
        this->log_phase(service, state);
        this->metrics.count_rollout_phase(service, std::string(to_text(current.get_phase())));
        if (current.get_phase() == rollout_phase::rolled_back)
        {
            state.versions.forbid(current.get_order().to);
        }
        if (current.get_phase() == rollout_phase::complete)
        {
            state.versions.replace_by(current.get_order().to);
        }
    }
    if (is_final(current.get_phase()) && current.is_recorded() && state.settled_at == time_point{})
    {
        state.settled_at = now;
        ++this->phase_changes; // the others need not write it
    }
}

auto rollout_controller::write_due_state(const std::string& service, service_state& state,
                                         time_point now) -> void
{
    auto& current = *state.current;
    if (const auto write = current.take_due_write(now))
    {
        this->mailbox.add_task({service, current.get_order().to, *write});
    }
}

auto rollout_controller::advance(const std::string& service, service_state& state, time_point now)
    -> void
{
    auto& current = *state.current;
    this->set_hosts(current);
    const auto share = current.get_canary_share();
    current.tick(now);
    this->standings_changed = this->standings_changed || share != current.get_canary_share();
    this->settle(service, state, now);
    this->write_due_state(service, state, now);
    if (current.take_due_read(now))
    {
        this->mailbox.add_task({service, current.get_order().to, std::nullopt});
    }
}

auto rollout_controller::publish(time_point now) -> void
{
    local_rollouts local;
    for (const auto& [service, state] : this->services)
    {
        const auto is_over =
            state.settled_at != time_point{} && now - state.settled_at > report_after_end;
        if (state.current && !is_over)
        {
            local.reports.push_back(state.current->report());
        }
    }
    local.phase_changes = this->phase_changes;
    local.bad_responses = this->bad_responses;
    this->mailbox.set_local(std::move(local));
}

auto rollout_controller::tick(std::span<routing::live_upstream> upstreams, time_point now) -> void
{
    if (this->services.empty())
    {
        return;
    }
    this->take_messages(now);
    for (auto& [service, state] : this->services)
    {
        if (state.current)
        {
            this->advance(service, state, now);
        }
    }
    if (this->standings_changed)
    {
        this->set_standings(upstreams);
    }
    this->publish(now);
}

auto rollout_controller::to_json(time_point now) const -> nlohmann::json
{
    auto page = nlohmann::json::array();
    for (const auto& [service, state] : this->services)
    {
        if (!state.current)
        {
            continue;
        }
        const auto& current = *state.current;
        const auto sums = current.get_evidence().sum();
        const auto total = sums.total();
        nlohmann::json item = {{"service", service},
                               {"to", current.get_order().to},
                               {"phase", rollout::to_text(current.get_phase())},
                               {"recorded", current.is_recorded()},
                               {"cause", rollout::to_text(current.get_cause())},
                               {"length_ms", to_milliseconds(current.get_order().length)},
                               {"canary_upstreams", state.canary_count},
                               {"requests", total.requests},
                               {"sent_to_new", sums.sent_to_new},
                               {"own_sent_to_new", current.get_evidence().own.sent_to_new},
                               {"new_version", counts_to_json(total.new_version)},
                               {"old_version", counts_to_json(total.old_version)}};
        if (const auto age = current.age(now))
        {
            item["age_ms"] = to_milliseconds(*age);
        }
        item["verdict"] = current.get_verdict() ? verdict_to_json(*current.get_verdict())
                                                : nlohmann::json("not bad");
        page.push_back(std::move(item));
    }
    return page;
}

} // namespace poplardrift::traffic
