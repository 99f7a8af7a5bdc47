#include "daemon/control_service.hpp"

#include "net/clock.hpp"
#include "poplardrift/gossip/codec.hpp"

namespace poplardrift
{

namespace
{

constexpr const char* configuration_stream = "config";
/// Longest pause between two ticks of the control state.
constexpr duration tick_interval = std::chrono::milliseconds(25);
/// The same while a message is held back by the shortest pause between messages.
constexpr duration urgent_interval = std::chrono::milliseconds(2);
/// A process that has just started reads the host list that often, for that long.
constexpr duration early_host_list_interval = std::chrono::seconds(1);
constexpr duration early_time = std::chrono::seconds(10);
constexpr std::size_t exceptions_a_tick = 256;
constexpr std::size_t most_helpers = 64;
/// Bytes of one report of an engine over a kept connection, with all overhead.
constexpr std::size_t report_bytes = 570;
constexpr std::size_t host_list_overhead = 700;
constexpr duration retry_pause = std::chrono::milliseconds(250);
constexpr std::int64_t report_timeout_ms = 500;

auto parse_report(const std::string& body) -> std::optional<upstream_report>
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        return std::nullopt;
    }
    try
    {
        upstream_report report;
        report.incarnation = document.at("incarnation").get<std::uint32_t>();
        report.in_flight = document.at("in_flight").get<std::uint32_t>();
        report.waiting = document.value("waiting", 0U);
        report.served = document.at("served").get<std::uint64_t>();
        report.cold = document.value("cold", false);
        report.leaving = document.value("leaving", false);
        report.model = document.value("model", "");
        return report;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace

control_service::control_service(const daemon_settings& settings, incarnation_id incarnation,
                                 admission_service& traffic, event_log& log, metrics& figures)
    : settings(settings), traffic(traffic), log(log), figures(figures),
      transport(
          settings.host, settings.hosts,
          [this](std::string_view bytes)
          {
              auto message = decode_message(bytes, this->settings.host_secret);
              if (!message)
              {
                  this->log.write(event_code::peer_message_rejected, message.failure_reason());
                  return;
              }
              this->post(peer_message_received{std::move(*message)});
              this->wake();
          },
          [this](const std::string& host, bool stands) {
              this->post(connection_changed{make_host_id(host), stands});
          }),
      helpers(most_helpers), core(std::make_unique<control_core>(settings.control, settings.host,
                                                                 incarnation, monotonic_now())),
      hosts(std::make_shared<host_directory>()),
      fleet_loads(std::make_shared<std::vector<known_load>>())
{
    this->core->add_seeds(settings.seeds);
}

control_service::~control_service()
{
    this->stop();
}

auto control_service::start() -> std::optional<std::string>
{
    if (auto fault = this->transport.start())
    {
        return fault;
    }
    this->thread = std::thread([this] { this->run(); });
    this->reader = std::thread([this] { this->read_configuration_loop(); });
    this->timers.subscribe(this->settings.host_list_interval, [this] { this->poll_hosts(); });
    this->timers.subscribe(early_host_list_interval,
                           [this, begin = monotonic_now()]
                           {
                               if (monotonic_now() - begin < early_time)
                               {
                                   this->poll_hosts();
                               }
                           });
    this->helpers.enqueue([this] { this->poll_hosts(); });
    return std::nullopt;
}

auto control_service::stop() -> void
{
    if (this->stopping.exchange(true))
    {
        return;
    }
    this->timers.stop();
    this->wake();
    if (this->thread.joinable())
    {
        this->reader.join();
        this->thread.join();
    }
    this->helpers.shutdown();
    this->transport.stop();
}

auto control_service::post(control_event what) -> void
{
    const std::lock_guard lock(this->mutex);
    this->events.push_back(std::move(what));
}

auto control_service::wake() -> void
{
    {
        const std::lock_guard lock(this->mutex);
        this->woken = true;
    }
    this->changed.notify_one();
}

auto control_service::run_on_control(std::function<void(const control_core&)> task) -> void
{
    {
        const std::lock_guard lock(this->mutex);
        this->tasks.push_back(std::move(task));
        this->woken = true;
    }
    this->changed.notify_one();
}

auto control_service::run() -> void
{
    while (!this->stopping)
    {
        {
            std::unique_lock lock(this->mutex);
            const auto pause = this->core->has_urgent() ? urgent_interval : tick_interval;
            this->changed.wait_for(lock, pause, [&] { return this->woken; });
            this->woken = false;
        }
        this->step();
    }
}

auto control_service::step() -> void
{
    std::deque<control_event> due;
    std::deque<std::function<void(const control_core&)>> questions;
    {
        const std::lock_guard lock(this->mutex);
        due.swap(this->events);
        questions.swap(this->tasks);
    }
    for (const auto& what : due)
    {
        handle_event(*this->core, what, monotonic_now());
    }
    host_usage usage;
    {
        auto access = this->traffic.access();
        access->on_tick(monotonic_now());
        usage = collect_usage(*access, exceptions_a_tick, monotonic_now());
        this->figures.set_in_flight(access->in_flight());
        this->figures.set_queued(access->queued());
        this->figures.set_placements(access->counts());
    }
    this->core->on_tick(usage, monotonic_now());
    const auto actions = this->core->take_actions();
    {
        auto access = this->traffic.access();
        for (const auto& action : actions)
        {
            apply_to_admission(action, *access, monotonic_now());
        }
    }
    for (const auto& action : actions)
    {
        this->carry_out(action);
    }
    this->applied = this->core->config().applied().value();
    this->figures.set_configuration_offset(static_cast<double>(this->applied.load()));
    this->figures.set_control_bytes(this->core->traffic());
    this->publish_directory();
    for (const auto& question : questions)
    {
        question(*this->core);
    }
}

auto control_service::carry_out(const control_action& action) -> void
{
    if (const auto* message = std::get_if<send_message>(&action))
    {
        if (const auto* to = this->core->members().find(message->to))
        {
            this->transport.send(to->where, message->bytes);
        }
    }
    else if (const auto* dial = std::get_if<reconnect_peer>(&action))
    {
        if (const auto* to = this->core->members().find(dial->to))
        {
            this->transport.reconnect(to->where);
        }
    }
    else if (const auto* snapshot = std::get_if<append_snapshot>(&action))
    {
        this->helpers.enqueue([this, document = snapshot->snapshot]
                              { this->append_snapshot_now(document); });
    }
    else if (const auto* poll = std::get_if<poll_report>(&action))
    {
        this->helpers.enqueue([this, engine = poll->engine] { this->read_report(engine); });
    }
    else if (const auto* read = std::get_if<read_log_now>(&action))
    {
        this->helpers.enqueue([this, from = read->from] { this->read_records_now(from); });
    }
    else if (const auto* item = std::get_if<emit_event>(&action))
    {
        this->log.write(item->what);
        this->figures.count_event(std::string(describe(item->what.code).name));
    }
}

auto control_service::append_snapshot_now(const nlohmann::json& snapshot) -> void
{
    // A snapshot whose answer is lost may stand twice, which is harmless.
    log_client client(this->settings.platform);
    (void)client.append(configuration_stream, {snapshot});
    this->post(control_bytes_spent{control_traffic::log, client.take_bytes()});
}

auto control_service::publish_directory() -> void
{
    const auto reason = this->core->not_ready_reason();
    const auto revision = this->core->members().revision();
    std::shared_ptr<const host_directory> fresh;
    auto fresh_loads = std::make_shared<std::vector<known_load>>(this->core->known_loads());
    {
        const std::lock_guard lock(this->directory_mutex);
        this->fleet_loads = std::move(fresh_loads);
        if (reason != this->readiness || this->directory_revision == 0)
        {
            this->log.write(
                reason.empty() ? event_code::daemon_ready : event_code::daemon_not_ready, reason);
            this->readiness = reason;
        }
        if (revision == this->directory_revision)
        {
            return;
        }
        this->directory_revision = revision;
        fresh = std::make_shared<host_directory>(host_directory{this->core->members().members()});
        this->hosts = fresh;
    }
    if (this->directory_listener)
    {
        this->directory_listener(*fresh);
    }
}

auto control_service::directory() -> std::shared_ptr<const host_directory>
{
    const std::lock_guard lock(this->directory_mutex);
    return this->hosts;
}

auto control_service::loads() -> std::shared_ptr<const std::vector<known_load>>
{
    const std::lock_guard lock(this->directory_mutex);
    return this->fleet_loads;
}

auto control_service::not_ready_reason() -> std::string
{
    const std::lock_guard lock(this->directory_mutex);
    return this->directory_revision == 0 ? "starting" : this->readiness;
}

auto control_service::read_configuration_loop() -> void
{
    log_client client(this->settings.platform);
    log_offset next{1};
    while (!this->stopping)
    {
        const auto page =
            client.read(configuration_stream, next, this->settings.configuration_wait);
        this->post(control_bytes_spent{control_traffic::log, client.take_bytes()});
        if (!page)
        {
            this->post(log_read_failed{});
            this->wake();
            std::this_thread::sleep_for(retry_pause);
            // A peer may have brought the configuration further in the meantime.
            next = std::max(next, log_offset{this->applied.load() + 1});
            continue;
        }
        next = page->records.empty() ? std::max(next, page->first)
                                     : log_offset{page->records.back().offset.value() + 1};
        this->post(log_records_read{page->records});
        this->wake();
    }
}

auto control_service::poll_hosts() -> void
{
    const auto hosts_read = read_host_list(this->settings.platform, this->settings.host.name);
    if (!hosts_read)
    {
        this->post(control_bytes_spent{control_traffic::host_list, host_list_overhead});
        return;
    }
    host_list_read item;
    for (const auto& [where, leaving] : *hosts_read)
    {
        item.live.push_back(where);
        if (leaving)
        {
            item.leaving.push_back(where.name);
        }
    }
    this->post(control_bytes_spent{control_traffic::host_list,
                                   host_list_overhead + item.live.size() * 110});
    this->post(std::move(item));
    this->wake();
}

auto control_service::read_records_now(log_offset from) -> void
{
    log_client client(this->settings.platform);
    const auto page = client.read(configuration_stream, from, duration{});
    this->post(control_bytes_spent{control_traffic::log, client.take_bytes()});
    if (page && !page->records.empty())
    {
        this->post(log_records_read{page->records});
        this->wake();
    }
}

auto control_service::read_report(const owned_engine& engine) -> void
{
    std::unique_ptr<httplib::Client> client;
    {
        const std::lock_guard lock(this->report_mutex);
        client = std::move(this->report_clients[engine.id]);
    }
    if (!client)
    {
        client = std::make_unique<httplib::Client>(engine.address, engine.port);
        client->set_keep_alive(true);
        client->set_connection_timeout(std::chrono::milliseconds(report_timeout_ms));
        client->set_read_timeout(std::chrono::milliseconds(report_timeout_ms));
        client->set_interface(this->settings.host.address);
    }
    const auto answer = client->Get("/report");
    this->post(control_bytes_spent{control_traffic::reports, report_bytes});
    const auto report = answer && answer->status == 200 ? parse_report(answer->body) : std::nullopt;
    if (!report)
    {
        return;
    }
    {
        const std::lock_guard lock(this->report_mutex);
        this->report_clients[engine.id] = std::move(client);
    }
    this->post(upstream_reported{engine.id, *report});
    this->wake();
}

} // namespace poplardrift
