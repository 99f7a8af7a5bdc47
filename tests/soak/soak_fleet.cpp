#include "soak_fleet.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>

namespace poplardrift::soak
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto advertisement_interval = 1000ms;
constexpr auto probe_timeout = 3000ms;
constexpr auto probe_interval = 100ms;
constexpr int caller_port = 8080;
constexpr int readiness_port = 8081;
constexpr std::string_view service_name = "s";
const std::string operator_topic = "keyed.op";
const std::string upstream_topic = "keyed.servers";

auto key_of(std::uint64_t version) -> std::string
{
    return "key-" + std::to_string(version);
}

auto route_of(request_kind kind) -> json
{
    const auto* const route_kind = is_stream(kind)                        ? "streaming"
                                   : kind == request_kind::non_idempotent ? "non_idempotent"
                                                                          : "idempotent";
    return {{"name", path_segment(kind)},
            {"hostname", soak_fleet::host_name},
            {"path_prefix", "/" + path_segment(kind) + "/"},
            {"route_kind", route_kind},
            {"resumable", kind == request_kind::resumable_stream},
            {"timeout_ms", soak_fleet::route_timeout.count()},
            {"slo_ms", 150},
            {"itl_target_ms", 300},
            {"max_attempts", soak_fleet::max_attempts},
            {"service", service_name}};
}

} // namespace

soak_fleet::soak_fleet(const fleet_settings& settings)
    : addresses(settings.first_network), work_guard(this->io.get_executor())
{
    std::filesystem::create_directories(settings.folder);
    for (std::size_t number = 0; number < settings.upstreams; ++number)
    {
        this->states.push_back(std::make_unique<upstream_state>());
        this->upstreams.push_back(std::make_unique<soak_upstream>(
            this->io, this->tracker, number, settings.seed * 1000 + number,
            upstream_events{[this](const std::string& id, std::size_t upstream)
                            { this->on_run(id, upstream); },
                            [this](const std::string& id, std::size_t upstream)
                            { this->on_fatal_request(id, upstream); },
                            [this](std::size_t upstream)
                            { return this->states[upstream]->leaving_start.load(); },
                            [this] { return this->get_fatal_part(); }},
            this->notices));
    }
    const boost::asio::ip::tcp::endpoint store_address(boost::asio::ip::address_v4::loopback(),
                                                       this->store.port());
    for (std::size_t number = 0; number < settings.hosts; ++number)
    {
        this->store_links.push_back(std::make_unique<loopback_proxy>(this->io, store_address));
        this->hosts.push_back(std::make_unique<router_host>(
            settings.program, settings.folder, "h" + std::to_string(number),
            boost::asio::ip::tcp::endpoint(
                boost::asio::ip::make_address_v4(this->addresses.address(number)), caller_port)));
        this->hosts.back()->write_settings(this->settings_text(number));
    }
    this->proxy_thread = std::thread([this] { this->io.run(); });
    this->rotate_key();
    this->advertiser = std::thread([this] { this->run_advertiser(); });
    for (const auto& host : this->hosts)
    {
        if (!host->start())
        {
            this->tracker.add_finding("cannot start " + host->get_name());
        }
    }
}

soak_fleet::~soak_fleet()
{
    this->stopping = true;
    this->hosts.clear();
    this->advertiser.join();
    this->io.stop();
    this->proxy_thread.join();
}

auto soak_fleet::settings_text(std::size_t host) const -> std::string
{
    const auto address = this->addresses.address(host);
    const auto store = this->store_links[host]->address();
    return "node_name=h" + std::to_string(host) + "\nip=" + address +
           "\nzone=" + (host % 2 == 0 ? "z-a" : "z-b") + "\nlisten.frontend=" + address + ":" +
           std::to_string(caller_port) + "\nlisten.ready=" + address + ":" +
           std::to_string(readiness_port) +
           "\nport_range=7340,7355\nseeds=" + this->addresses.address(0) +
           ":7340\nplatform.address=" + store.address().to_string() + ":" +
           std::to_string(store.port()) +
           "\nbounds.retry_ratio=0.3\nbounds.retry_slack=20\nbounds.drain_ms=" +
           std::to_string(drain_limit.count()) +
           "\nbounds.grace_s=" + std::to_string(stop_limit / 1s) +
           "\nlimits.memory_mb=256\nlimits.max_fds=4096\n";
}

auto soak_fleet::configuration_text(std::uint64_t version) -> std::string
{
    json routes = json::array();
    for (std::size_t kind = 0; kind < request_kind_count; ++kind)
    {
        routes.push_back(route_of(static_cast<request_kind>(kind)));
    }
    json keys = {permanent_key, key_of(version)};
    if (version > 1)
    {
        keys.push_back(key_of(version - 1));
    }
    return json{{"version", version},
                {"routes", routes},
                {"services", {{{"name", service_name}}}},
                {"tenants", {{{"name", "w"}, {"api_keys", keys}}}}}
        .dump();
}

auto soak_fleet::rotate_key() -> void
{
    const auto next = this->version + 1;
    this->store.put(operator_topic, "config", configuration_text(next));
    this->version_published_at = clock::now();
    this->version = next;
}

auto soak_fleet::newest_applied_key() const -> std::string
{
    const auto newest = this->version.load();
    const auto is_applied = clock::now() - this->version_published_at.load() > configuration_limit;
    return key_of(is_applied || newest == 1 ? newest : newest - 1);
}

auto soak_fleet::revoked_key() const -> std::optional<std::string>
{
    const auto newest = this->version.load();
    const auto is_applied = clock::now() - this->version_published_at.load() > configuration_limit;
    return newest > 2 && is_applied ? std::optional(key_of(newest - 2)) : std::nullopt;
}

auto soak_fleet::advertise(std::size_t number) -> void
{
    const auto& upstream = *this->upstreams[number];
    const auto& state = *this->states[number];
    const auto address = upstream.address();
    const json entry = {
        {"service", service_name},
        {"address", address.address().to_string() + ":" + std::to_string(address.port())},
        {"zone", upstream.get_zone()},
        {"version", "v1"},
        {"slots", 64},
        {"state", state.draining ? "draining" : "ready"},
        {"cold_left_ms", 0},
        {"sequence", ++this->sequence},
        {"born", state.incarnation.load()}};
    this->store.put(upstream_topic, upstream.name(), entry.dump());
}

auto soak_fleet::run_advertiser() -> void
{
    while (!this->stopping)
    {
        for (std::size_t number = 0; number < this->upstreams.size(); ++number)
        {
            this->advertise(number);
        }
        std::this_thread::sleep_for(advertisement_interval);
    }
}

auto soak_fleet::set_draining(std::size_t number, bool is_draining) -> void
{
    auto& state = *this->states[number];
    if (!is_draining)
    {
        ++state.incarnation; // returns as a new process under the same name
        this->notices.on_upstream_started(number, state.incarnation);
    }
    state.leaving_start = is_draining ? state.incarnation.load() : 0;
    state.drain_started_at = clock::time_point::max();
    state.draining = is_draining;
    this->advertise(number);
    state.drain_started_at = clock::now();
}

auto soak_fleet::set_zone_evacuated(const std::string& zone, bool is_evacuated) -> void
{
    const std::lock_guard lock(this->zone_mutex);
    if (!is_evacuated)
    {
        this->evacuated_zones.erase(zone);
    }
    this->put_evacuation(zone, is_evacuated);
    if (is_evacuated)
    {
        this->evacuated_zones[zone] = clock::now();
    }
}

auto soak_fleet::put_evacuation(const std::string& zone, bool is_evacuated) -> void
{
    this->store.put(operator_topic, "evacuate/" + zone,
                    is_evacuated ? std::optional<std::string>("{}") : std::nullopt);
}

auto soak_fleet::write_again() -> void
{
    this->store.put(operator_topic, "config", configuration_text(this->version));
    {
        const std::lock_guard lock(this->zone_mutex);
        for (const auto* const zone : {"z-a", "z-b"})
        {
            this->put_evacuation(zone, this->evacuated_zones.contains(zone));
        }
    }
    for (std::size_t number = 0; number < this->upstreams.size(); ++number)
    {
        this->advertise(number);
    }
}

auto soak_fleet::change_store_faults(int change) -> void
{
    this->store_faults += change;
    this->store_disturbed_at = clock::now();
}

auto soak_fleet::change_link_faults(int change) -> void
{
    this->link_faults += change;
    this->links_disturbed_at = clock::now();
}

auto soak_fleet::was_store_undisturbed_since(clock::time_point moment) const -> bool
{
    return this->store_faults == 0 && this->store_disturbed_at.load() < moment;
}

auto soak_fleet::were_links_undisturbed_since(clock::time_point moment) const -> bool
{
    return this->link_faults == 0 && this->links_disturbed_at.load() < moment;
}

auto soak_fleet::was_in_sync_since(std::size_t host, clock::time_point moment) const -> bool
{
    const auto since = moment - resync_time;
    return this->was_store_undisturbed_since(since) &&
           this->hosts[host]->was_undisturbed_since(since);
}

auto soak_fleet::set_fatal_part(bool is_fatal) -> void
{
    const std::lock_guard lock(this->fatal_mutex);
    this->has_fatal_part = is_fatal;
    this->fatal_parts += is_fatal ? 1 : 0;
    this->crashes = 0;
    this->late_fatal_requests = 0;
}

auto soak_fleet::get_fatal_part() const -> std::string
{
    const std::lock_guard lock(this->fatal_mutex);
    return this->has_fatal_part ? "fa7a" + std::to_string(this->fatal_parts) + ":60" : "";
}

auto soak_fleet::restart_upstream(std::size_t number) -> void
{
    // Interrupts all requests there, as a disturbance of the links would.
    this->change_link_faults(1);
    this->upstreams[number]->get_link().reset_all();
    auto& state = *this->states[number];
    ++state.incarnation;
    this->notices.on_upstream_started(number, state.incarnation);
    state.leaving_start = state.draining ? state.incarnation.load() : 0;
    this->advertise(number);
    this->change_link_faults(-1);
}

auto soak_fleet::on_fatal_request(const std::string& id, std::size_t number) -> void
{
    const auto record = this->tracker.find(id);
    this->tracker.count("fatal");
    {
        const std::lock_guard lock(this->fatal_mutex);
        const auto now = clock::now();
        if (++this->crashes <= crashes_before_limit)
        {
            this->last_free_crash_at = now;
        }
        const auto in_touch_since = now - contact_time;
        const auto is_late =
            this->crashes > crashes_before_limit && in_touch_since > this->last_free_crash_at &&
            this->was_store_undisturbed_since(in_touch_since) && this->link_faults == 0 &&
            this->hosts[record.host]->was_undisturbed_since(in_touch_since);
        if (is_late && ++this->late_fatal_requests > max_late_fatal_requests)
        {
            this->tracker.add_finding(id +
                                      " with a part that crashes upstreams reached one, sent by " +
                                      this->hosts[record.host]->get_name());
        }
    }
    this->restart_upstream(number);
}

auto soak_fleet::on_run(const std::string& id, std::size_t number) -> void
{
    const auto record = this->tracker.on_run(id);
    this->notices.on_request(number, id, record,
                             [&](clock::time_point moment)
                             {
                                 return this->were_links_undisturbed_since(moment) &&
                                        this->hosts[record.host]->was_undisturbed_since(moment);
                             });
    if (!this->were_links_undisturbed_since(record.sent_at - resync_time))
    {
        return;
    }
    const auto& state = *this->states[number];
    const auto drain_started_at = state.drain_started_at.load();
    if (state.draining && record.sent_at > drain_started_at + drain_limit &&
        this->was_in_sync_since(record.host, drain_started_at))
    {
        this->tracker.add_finding(id + " was sent to the draining upstream " +
                                  this->upstreams[number]->name());
    }
    const std::lock_guard lock(this->zone_mutex);
    const auto evacuated_zone = this->evacuated_zones.find(this->upstreams[number]->get_zone());
    if (evacuated_zone != this->evacuated_zones.end() &&
        record.sent_at > evacuated_zone->second + evacuation_limit &&
        this->was_in_sync_since(record.host, evacuated_zone->second))
    {
        this->tracker.add_finding(id + " was sent to zone " + evacuated_zone->first +
                                  " after its evacuation");
    }
}

auto soak_fleet::is_serving(std::size_t host) -> bool
{
    auto connection = tests::connect_to(this->hosts[host]->get_caller_address());
    const auto id = this->tracker.add_request(request_kind::idempotent, host);
    connection.send("GET /safe/" + id + " HTTP/1.1\r\nHost: " + std::string(host_name) +
                    "\r\nPoplardrift-Attempt-Id: " + id + "\r\nX-Api-Key: " +
                    std::string(permanent_key) + "\r\nConnection: close\r\n\r\n");
    return connection.read_response(probe_timeout).status == 200;
}

auto soak_fleet::wait_until_serving(std::chrono::milliseconds limit) -> bool
{
    const auto end = clock::now() + limit;
    for (std::size_t host = 0; host < this->hosts.size(); ++host)
    {
        while (!this->is_serving(host))
        {
            if (clock::now() > end)
            {
                return false;
            }
            std::this_thread::sleep_for(probe_interval);
        }
    }
    return true;
}

} // namespace poplardrift::soak
