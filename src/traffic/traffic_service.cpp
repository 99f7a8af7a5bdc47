#include "traffic/traffic_service.hpp"

#include "net/clock.hpp"
#include "traffic/operator_pages.hpp"

#include <algorithm>
#include <utility>

namespace poplardrift::traffic
{

namespace
{

using namespace std::chrono_literals;

/// Connections within the platform are established in a few ms; a longer attempt targets a host
/// that has lost power or is partitioned.
constexpr duration connect_timeout = 150ms;
/// Time without acknowledgment after which a connection to an upstream counts as broken.
constexpr duration upstream_ack_timeout = 2s;
constexpr duration tick_interval = 50ms; ///< maximum age of the loads in the mailbox
/// Time for which new connections are accepted after a graceful stop begins: the load balancer
/// needs two failed probes, a second apart, to redirect callers.
constexpr duration accept_period_after_leave = 2500ms;
/// Time reserved for an orderly exit of the process.
constexpr duration exit_margin = 200ms;
/// Fraction of an engine's cache assumed to hold prompt prefixes; running requests use the rest.
constexpr double usable_cache_fraction = 0.6;
/// Ejections for faults other than being unreachable are limited to the number of upstreams of the
/// service divided by this, but at least one.
constexpr int ejection_divisor = 3;

/// Connections to the ports for status and metrics together. Probers and collectors are few.
constexpr std::size_t max_status_connections = 64;

constexpr const char* json_type = "application/json";

/// Identifies one start of an upstream: a restarted one gets a new state.
auto state_key(const routing::upstream_entry& entry) -> std::string
{
    return entry.name.value() + "|" + std::to_string(entry.start_number) + "|" +
           entry.address.address().to_string() + ":" + std::to_string(entry.address.port());
}

} // namespace

traffic_service::traffic_service(traffic_settings settings, const wire_adapter& adapter,
                                 decision_log& log, load_mailbox& mailbox)
    : settings(std::move(settings)), adapter(adapter), log(log), mailbox(mailbox),
      memory(this->settings.max_held_bytes), descriptors(this->settings.max_sessions),
      status_sessions(max_status_connections),
      rollouts(this->log, this->metrics, mailbox.get_rollouts()),
      limits(log, [this](const char* limit) { this->metrics.count_limit(limit); }), ticker(this->io)
{
    this->add_send_listener(this->rollouts);
    this->add_send_listener(this->overload);
    this->add_send_listener(this->speeds);
}

auto traffic_service::open() -> bool
{
    this->caller_listener =
        std::make_shared<http::listener>(this->io, [this](boost::asio::ip::tcp::socket socket)
                                         { this->accept_caller(std::move(socket)); });
    const auto open_status = [this](const boost::asio::ip::tcp::endpoint& address)
    {
        this->status_listeners.push_back(
            std::make_shared<http::listener>(this->io, [this](boost::asio::ip::tcp::socket socket)
                                             { this->accept_status(std::move(socket)); }));
        return this->status_listeners.back()->open(address);
    };
    const auto metrics_open = !this->settings.metrics || open_status(*this->settings.metrics);
    return this->caller_listener->open(this->settings.callers) &&
           open_status(this->settings.status) && metrics_open;
}

auto traffic_service::run() -> void
{
    this->tick();
    this->io.run();
}

auto traffic_service::set_view(std::shared_ptr<const routing::fleet_view> next) -> void
{
    boost::asio::post(this->io, [this, next = std::move(next)] { this->apply_view(next); });
}

auto traffic_service::apply_view(std::shared_ptr<const routing::fleet_view> next) -> void
{
    const auto was_ready = this->is_ready();
    if (next->configuration != this->view->configuration)
    {
        this->configuration_applied_at = boot_clock_now();
    }
    this->view = std::move(next);
    for (auto& [service, budget] : this->retry_budgets)
    {
        budget.set_window(this->view->bounds.retry_window, boot_clock_now());
    }
    this->prompts_in_quarantine.set_settling_time(evidence_settling_time(this->view->hosts.count));
    absl::flat_hash_map<std::string, std::shared_ptr<routing::upstream_state>> kept;
    std::vector<routing::live_upstream> rebuilt;
    if (this->view->configuration)
    {
        for (const auto& known : this->view->upstreams)
        {
            const auto service = this->view->configuration->find_service(known.entry.service);
            if (service)
            {
                rebuilt.push_back(this->make_upstream(known, *service));
            }
        }
    }
    for (const auto& upstream : rebuilt)
    {
        kept[state_key(upstream.known.entry)] = upstream.state;
    }
    for (const auto& [key, state] : this->states)
    {
        if (!kept.contains(key))
        {
            this->pool.close_all(state->id);
        }
    }
    this->states = std::move(kept);
    this->upstreams = std::move(rebuilt);
    this->rollouts.apply(*this->view, this->upstreams, boot_clock_now());
    this->positions.clear();
    for (std::size_t position = 0; position < this->upstreams.size(); ++position)
    {
        this->positions[this->upstreams[position].key] = position;
    }
    this->remote_loads_version = 0; // the next tick applies the remote loads to the new states
    if (!was_ready && this->is_ready())
    {
        this->log.write(event_code::daemon_ready,
                        {{"version", this->view->configuration->version.value()},
                         {"upstreams", this->upstreams.size()}});
    }
}

auto traffic_service::make_upstream(const routing::known_upstream& known, std::size_t service)
    -> routing::live_upstream
{
    const auto& entry = known.entry;
    const auto key = state_key(entry);
    routing::live_upstream upstream;
    upstream.known = known;
    upstream.service = service;
    upstream.key = routing::upstream_key_of(entry.name);
    upstream.zone_out = this->view->zones_out.contains(entry.zone);
    const auto found = this->states.find(key);
    if (found != this->states.end())
    {
        upstream.state = found->second;
        upstream.state->speed.set_registered_slots(entry.slots);
        return upstream;
    }
    const auto& engine = this->view->configuration->services[service].engine;
    const auto memory = engine ? static_cast<double>(engine->cache_tokens) : 0.0;
    upstream.state = std::make_shared<routing::upstream_state>(
        static_cast<std::uint64_t>(memory * usable_cache_fraction));
    upstream.state->speed.set_registered_slots(entry.slots);
    upstream.state->instance = static_cast<std::uint32_t>(
        hash_pair_64(hash_bytes_64(entry.name.value()), entry.start_number));
    if (const auto* const former = this->find_upstream(upstream.key))
    {
        // The new process may already have received some of the last second's requests.
        upstream.state->cold_sends = former->state->cold_sends;
        upstream.state->notices.take_recent_pause(former->state->notices, boot_clock_now());
    }
    return upstream;
}

auto traffic_service::get_caller_limits() const -> routing::caller_limits
{
    return this->view->configuration ? this->view->configuration->limits : routing::caller_limits{};
}

auto traffic_service::get_reader_limits() const -> http::reader_limits
{
    const auto limits = this->get_caller_limits();
    return {limits.head_bytes, limits.body_bytes};
}

auto traffic_service::workspace_name_of(const http::request_head& head) const -> std::string_view
{
    const auto& configuration = this->view->configuration;
    const auto* const workspace =
        configuration ? configuration->find_workspace(this->adapter.decode_workspace_key(head))
                      : nullptr;
    return workspace != nullptr ? std::string_view(workspace->name) : "";
}

auto traffic_service::is_ready() const -> bool
{
    return !this->leaving && this->view->configuration && this->view->upstreams_known;
}

auto traffic_service::connect(const boost::asio::ip::tcp::endpoint& address) -> connection_ptr
{
    while (!this->descriptors.has_room(descriptor_use::upstream) && this->pool.close_oldest())
    {
    }
    auto connection = std::make_shared<http::upstream_connection>(
        this->io, address, http::connection_settings{connect_timeout, upstream_ack_timeout});
    connection->keep(this->descriptors.take(descriptor_use::upstream));
    return connection;
}

auto traffic_service::retry_budget_of(const std::string& service) -> routing::host_retry_budget&
{
    const auto found = this->retry_budgets.find(service);
    if (found != this->retry_budgets.end())
    {
        return found->second;
    }
    return this->retry_budgets
        .try_emplace(service, routing::host_retry_budget(this->view->bounds.retry_window))
        .first->second;
}

auto traffic_service::may_retry(const std::string& service) -> bool
{
    return this->retry_budget_of(service).has_room(boot_clock_now(), this->view->bounds,
                                                   this->view->hosts.count);
}

auto traffic_service::consume_retry(const std::string& service) -> bool
{
    const auto allowed = this->retry_budget_of(service).try_consume(
        boot_clock_now(), this->view->bounds, this->view->hosts.count);
    if (!allowed)
    {
        this->metrics.count_denied_retry(service);
    }
    return allowed;
}

auto traffic_service::failure_share_of(const std::string& service) const -> double
{
    double sum = 0.0;
    int count = 0;
    for (const auto& upstream : this->upstreams)
    {
        if (upstream.known.entry.service == service)
        {
            sum += upstream.state->health.failure_share();
            ++count;
        }
    }
    return count == 0 ? 0.0 : sum / count;
}

auto traffic_service::may_eject(const std::string& service) const -> bool
{
    const auto now = boot_clock_now();
    int ejected = 0;
    int count = 0;
    for (const auto& upstream : this->upstreams)
    {
        if (upstream.known.entry.service == service && !upstream.is_leaving())
        {
            ejected += upstream.state->health.is_ejected(now) ? 1 : 0;
            ++count;
        }
    }
    return ejected < std::max(1, count / ejection_divisor);
}

auto traffic_service::cold_start_of(const std::string& service) const -> duration
{
    const auto position =
        this->view->configuration ? this->view->configuration->find_service(service) : std::nullopt;
    return position ? this->view->configuration->services[*position].cold_start : duration(0s);
}

auto traffic_service::suspect_restart(routing::upstream_state& state, const std::string& service)
    -> void
{
    state.suspect_restart(boot_clock_now(), this->cold_start_of(service));
    state.suspected_locally = true;
}

auto traffic_service::record_zone_unreachable(const routing::upstream_state& state) -> void
{
    const auto found =
        std::find_if(this->upstreams.begin(), this->upstreams.end(),
                     [&](const auto& upstream) { return upstream.state.get() == &state; });
    if (found == this->upstreams.end() || !found->zone_silent)
    {
        return;
    }
    for (auto& upstream : this->upstreams)
    {
        if (upstream.known.entry.zone == found->known.entry.zone)
        {
            upstream.zone_unreachable = true;
        }
    }
}

auto traffic_service::on_upstream_fault(routing::upstream_state& state,
                                        const routing::upstream_name& name,
                                        const std::string& service, routing::upstream_fault fault)
    -> void
{
    const auto now = boot_clock_now();
    const auto was_ejected = state.health.is_ejected(now);
    state.health.on_fault(fault, now, this->failure_share_of(service), this->may_eject(service));
    if (fault == routing::upstream_fault::unreachable || fault == routing::upstream_fault::broken)
    {
        this->suspect_restart(state, service);
    }
    if (fault == routing::upstream_fault::unreachable)
    {
        this->record_zone_unreachable(state);
    }
    if (!was_ejected && state.health.is_ejected(now))
    {
        this->metrics.count_ejection(service);
        this->log.write(event_code::upstream_ejected,
                        {{"upstream", name.value()},
                         {"service", service},
                         {"fault", static_cast<int>(fault)},
                         {"failure_share", state.health.failure_share()},
                         {"in_flight", state.in_flight}});
    }
}

auto traffic_service::on_prefill_complete(const routing::upstream_name& name,
                                          const routing::prompt_metadata& prompt) -> void
{
    if (prompt.parts.size() < 2)
    {
        return;
    }
    // The last part is specific to the request, so its cache entry is of no use to others.
    const auto& shared = prompt.parts[prompt.parts.size() - 2];
    this->mailbox.add_local_prefix(
        {routing::upstream_key_of(name), shared.chain_hash, shared.tokens});
}

auto traffic_service::on_send_finished(const finished_send& send) -> void
{
    for (auto* const listener : this->send_listeners)
    {
        listener->on_send_finished(send);
    }
}

auto traffic_service::count_send(const std::string& service, bool is_repeat) -> void
{
    this->metrics.count_send(service, is_repeat);
}

auto traffic_service::count_interruption(const std::string& service, bool had_output) -> void
{
    this->metrics.count_interruption(service, had_output);
}

auto traffic_service::count_outcome(const std::string& route, const std::string& outcome,
                                    duration first_output) -> void
{
    this->metrics.count_outcome(route, outcome, first_output);
}

auto traffic_service::on_session_ended(const std::shared_ptr<caller_session>& session) -> void
{
    this->sessions.erase(session);
    if (this->leaving)
    {
        this->stop_when_idle();
    }
}

auto traffic_service::handle_status_request(const http::request_head& head) const -> status_response
{
    if (head.method == "GET" && this->adapter.is_readiness_path(head.target))
    {
        return this->is_ready() ? status_response{200, "ready\n"}
                                : status_response{503, "not ready\n"};
    }
    if (head.method == "GET" && head.target == "/metrics")
    {
        return {200, this->metrics.to_text()};
    }
    if (head.method == "GET" && head.target == status_page)
    {
        return {200, render_status(*this), json_type};
    }
    if (head.method == "GET" && head.target.rfind(explain_page, 0) == 0)
    {
        return {200, explain_request(*this, head), json_type};
    }
    return {404, "no such page\n"};
}

auto traffic_service::accept_status(boost::asio::ip::tcp::socket socket) -> void
{
    const auto closed = this->status_sessions.accept(
        std::move(socket),
        [this](const http::request_head& head) -> status_response
        {
            // A page that cannot be rendered must not end the process, which serves callers.
            try
            {
                return this->handle_status_request(head);
            }
            catch (const std::exception& error)
            {
                this->log.write(event_code::page_failed,
                                {{"target", head.target}, {"reason", error.what()}});
                return {500, "the page could not be rendered\n"};
            }
        },
        boot_clock_now());
    if (closed)
    {
        this->limits.report("status_connections", *closed, 0, boot_clock_now());
    }
}

auto traffic_service::tick() -> void
{
    this->sync_mailbox();
    this->pool.close_expired(boot_clock_now());
    this->status_sessions.close_inactive(boot_clock_now());
    this->metrics.set_held_bytes(this->memory.get_taken());
    this->metrics.set_sessions(this->sessions.size());
    this->ticker.expires_after(tick_interval);
    this->ticker.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                this->tick();
            }
        });
}

auto traffic_service::sync_mailbox() -> void
{
    const auto now = boot_clock_now();
    std::vector<upstream_load> loads;
    for (const auto& upstream : this->upstreams)
    {
        const auto& state = *upstream.state;
        const auto ejected = state.health.is_ejected(now) && state.health.is_ejected_locally();
        const auto may_have_restarted = state.is_restart_suspected(now) && state.suspected_locally;
        if (state.in_flight > 0 || ejected || may_have_restarted)
        {
            loads.push_back({upstream.key, static_cast<std::uint32_t>(state.in_flight), ejected,
                             may_have_restarted});
        }
    }
    this->mailbox.set_local_loads(std::move(loads));
    this->apply_remote_prefixes();
    this->apply_silent_zones();
    this->apply_remote_loads();
    this->sync_evidence(now);
    this->rollouts.tick(this->upstreams, now);
    this->overload.tick(now);
}

auto traffic_service::find_upstream(routing::upstream_key key) -> routing::live_upstream*
{
    const auto found = this->positions.find(key);
    return found == this->positions.end() ? nullptr : &this->upstreams[found->second];
}

auto traffic_service::apply_remote_prefixes() -> void
{
    for (const auto& prefix : this->mailbox.take_remote_prefixes())
    {
        if (auto* const upstream = this->find_upstream(prefix.upstream))
        {
            upstream->state->cache.on_prefilled_elsewhere({prefix.chain_hash, prefix.tokens});
        }
    }
}

auto traffic_service::apply_silent_zones() -> void
{
    const auto silent_zones = this->mailbox.get_silent_zones();
    for (auto& upstream : this->upstreams)
    {
        upstream.zone_silent = silent_zones.contains(upstream.known.entry.zone);
        upstream.zone_unreachable = upstream.zone_unreachable && upstream.zone_silent;
    }
}

auto traffic_service::apply_remote_loads() -> void
{
    if (!this->mailbox.get_remote_loads(this->remote_loads_version, this->remote_loads))
    {
        return;
    }
    const auto now = boot_clock_now();
    for (const auto& upstream : this->upstreams)
    {
        upstream.state->in_flight_elsewhere = 0;
        upstream.state->loads_received_at = now;
    }
    for (const auto& load : this->remote_loads)
    {
        auto* const upstream = this->find_upstream(load.upstream);
        if (upstream == nullptr)
        {
            continue;
        }
        upstream->state->in_flight_elsewhere = static_cast<int>(load.in_flight);
        if (load.may_have_restarted && !upstream->state->is_restart_suspected(now))
        {
            upstream->state->suspect_restart(now,
                                             this->cold_start_of(upstream->known.entry.service));
            upstream->state->suspected_locally = false;
        }
        if (load.ejected && this->may_eject(upstream->known.entry.service))
        {
            upstream->state->health.on_ejected_elsewhere(now);
        }
    }
}

auto traffic_service::leave(duration within) -> void
{
    boost::asio::post(this->io, [this, within] { this->begin_leaving(within); });
}

auto traffic_service::run_after(duration delay, std::function<void()> action) -> void
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->io, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code&)
                      { action(); });
}

auto traffic_service::begin_leaving(duration within) -> void
{
    if (std::exchange(this->leaving, true))
    {
        return;
    }
    this->log.write(event_code::daemon_leaving, {{"sessions", this->sessions.size()}});
    const auto time_limit = std::max<duration>(within - exit_margin, 0s);
    this->run_after(std::min(accept_period_after_leave, time_limit / 2),
                    [this] { this->stop_accepting(); });
    this->run_after(time_limit, [this] { this->io.stop(); });
}

auto traffic_service::stop_accepting() -> void
{
    this->accepting = false;
    this->caller_listener->close();
    const auto open_sessions = this->sessions; // closing erases sessions from the set
    for (const auto& session : open_sessions)
    {
        session->close_when_idle();
    }
    this->stop_when_idle();
}

auto traffic_service::stop_when_idle() -> void
{
    if (this->accepting || !this->sessions.empty())
    {
        return;
    }
    // Leaves time to write the last responses to their sockets.
    this->run_after(exit_margin, [this] { this->io.stop(); });
}

} // namespace poplardrift::traffic
