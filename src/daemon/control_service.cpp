#include "daemon/control_service.hpp"

#include "net/clock.hpp"
#include "net/response_check.hpp"
#include "poplardrift/gossip/codec.hpp"

namespace poplardrift
{

namespace
{

constexpr const char* configuration_stream = "config";
/// Longest time between two ticks of the control state.
constexpr duration tick_interval = std::chrono::milliseconds(25);
/// Longest time between two ticks while an urgent message waits for the minimum interval between
/// messages.
constexpr duration urgent_interval = std::chrono::milliseconds(2);
/// A new process polls the host list at this shorter interval during the startup period.
constexpr duration startup_host_list_interval = std::chrono::seconds(1);
constexpr duration startup_period = std::chrono::seconds(10);
constexpr std::size_t max_exceptions_per_tick = 256;
constexpr std::size_t max_blocking_threads = 64;
/// Estimated bytes to read one engine report over a keep-alive connection, including all overhead.
constexpr std::size_t report_exchange_bytes = 570;
/// Estimated bytes of one read of the host list, without its entries.
constexpr std::size_t host_list_overhead_bytes = 700;
constexpr duration log_retry_delay = std::chrono::milliseconds(250);
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
                                 admission_service& admissions, event_log& log,
                                 metrics& process_metrics)
    : settings(settings), admissions(admissions), log(log), process_metrics(process_metrics),
      transport(
          settings.host, settings.peer_tls,
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
          [this](const std::string& host, bool connected) {
              this->post(connection_changed{make_host_id(host), connected});
          }),
      blocking_tasks(max_blocking_threads),
      core(std::make_unique<control_core>(settings.control, settings.host, incarnation,
                                          monotonic_now())),
      hosts(std::make_shared<host_directory>()),
      host_loads(std::make_shared<std::vector<known_load>>())
{
    this->core->add_seeds(settings.seeds);
}

control_service::~control_service()
{
    this->stop();
}

auto control_service::start() -> std::optional<std::string>
{
    if (auto error = this->transport.start())
    {
        return error;
    }
    this->thread = std::thread([this] { this->run(); });
    this->configuration_reader = std::thread([this] { this->read_configuration_loop(); });
    this->timers.subscribe(this->settings.host_list_interval, [this] { this->poll_hosts(); });
    this->timers.subscribe(startup_host_list_interval,
                           [this, begin = monotonic_now()]
                           {
                               if (monotonic_now() - begin < startup_period)
                               {
                                   this->poll_hosts();
                               }
                           });
    this->blocking_tasks.enqueue([this] { this->poll_hosts(); });
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
        this->configuration_reader.join();
        this->thread.join();
    }
    this->blocking_tasks.shutdown();
    this->transport.stop();
}

auto control_service::post(control_event event) -> void
{
    const std::lock_guard lock(this->mutex);
    this->events.push_back(std::move(event));
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
    std::deque<control_event> pending_events;
    std::deque<std::function<void(const control_core&)>> pending_tasks;
    {
        const std::lock_guard lock(this->mutex);
        pending_events.swap(this->events);
        pending_tasks.swap(this->tasks);
    }
    for (const auto& event : pending_events)
    {
        handle_event(*this->core, event, monotonic_now());
    }
    host_usage usage;
    {
        auto access = this->admissions.access();
        access->on_tick(monotonic_now());
        usage = collect_usage(*access, max_exceptions_per_tick, monotonic_now());
        this->process_metrics.set_in_flight(access->in_flight());
        this->process_metrics.set_queued(access->queued());
        this->process_metrics.set_placements(access->counts());
    }
    this->core->on_tick(usage, monotonic_now());
    const auto actions = this->core->take_actions();
    {
        auto access = this->admissions.access();
        for (const auto& action : actions)
        {
            apply_to_admission(action, *access, monotonic_now());
        }
    }
    for (const auto& action : actions)
    {
        this->execute_action(action);
    }
    this->applied_offset = this->core->config().applied().value();
    this->process_metrics.set_configuration_offset(
        static_cast<double>(this->applied_offset.load()));
    this->process_metrics.set_control_bytes(this->core->traffic());
    this->publish_directory();
    for (const auto& task : pending_tasks)
    {
        task(*this->core);
    }
}

auto control_service::execute_action(const control_action& action) -> void
{
    if (const auto* message = std::get_if<send_message>(&action))
    {
        if (const auto* to = this->core->members().find(message->to))
        {
            this->transport.send(to->where, message->bytes);
        }
    }
    else if (const auto* reconnect = std::get_if<reconnect_peer>(&action))
    {
        if (const auto* to = this->core->members().find(reconnect->to))
        {
            this->transport.reconnect(to->where);
        }
    }
    else if (const auto* snapshot = std::get_if<append_snapshot>(&action))
    {
        this->blocking_tasks.enqueue([this, document = snapshot->snapshot]
                                     { this->append_snapshot_to_log(document); });
    }
    else if (const auto* poll = std::get_if<poll_report>(&action))
    {
        this->blocking_tasks.enqueue([this, engine = poll->engine] { this->read_report(engine); });
    }
    else if (const auto* read = std::get_if<read_log_now>(&action))
    {
        this->blocking_tasks.enqueue([this, from = read->from] { this->read_log_records(from); });
    }
    else if (const auto* item = std::get_if<emit_event>(&action))
    {
        this->log.write(item->event_data);
        this->process_metrics.count_event(std::string(describe(item->event_data.code).name));
    }
}

auto control_service::append_snapshot_to_log(const nlohmann::json& snapshot) -> void
{
    // If the response is lost, a snapshot may be appended twice. Merging one twice has no effect.
    log_client client(this->settings.platform);
    (void)client.append(configuration_stream, {snapshot});
    this->post(control_bytes_spent{control_traffic::log, client.take_bytes()});
}

auto control_service::publish_directory() -> void
{
    const auto reason = this->core->not_ready_reason();
    const auto revision = this->core->members().revision();
    std::shared_ptr<const host_directory> new_directory;
    auto new_loads = std::make_shared<std::vector<known_load>>(this->core->known_loads());
    {
        const std::lock_guard lock(this->directory_mutex);
        this->host_loads = std::move(new_loads);
        if (reason != this->last_not_ready_reason || this->directory_revision == 0)
        {
            this->log.write(
                reason.empty() ? event_code::daemon_ready : event_code::daemon_not_ready, reason);
            this->last_not_ready_reason = reason;
        }
        if (revision == this->directory_revision)
        {
            return;
        }
        this->directory_revision = revision;
        new_directory =
            std::make_shared<host_directory>(host_directory{this->core->members().members()});
        this->hosts = new_directory;
    }
    if (this->directory_listener)
    {
        this->directory_listener(*new_directory);
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
    return this->host_loads;
}

auto control_service::not_ready_reason() -> std::string
{
    const std::lock_guard lock(this->directory_mutex);
    return this->directory_revision == 0 ? "starting" : this->last_not_ready_reason;
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
            std::this_thread::sleep_for(log_retry_delay);
            // A peer's snapshot may have advanced the configuration in the meantime.
            next = std::max(next, log_offset{this->applied_offset.load() + 1});
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
    const auto host_list = read_host_list(this->settings.platform, this->settings.host.name);
    if (!host_list)
    {
        this->post(control_bytes_spent{control_traffic::host_list, host_list_overhead_bytes});
        return;
    }
    host_list_read item;
    for (const auto& [where, leaving] : *host_list)
    {
        item.live.push_back(where);
        if (leaving)
        {
            item.leaving.push_back(where.name);
        }
    }
    this->post(control_bytes_spent{control_traffic::host_list,
                                   host_list_overhead_bytes + item.live.size() * 110});
    this->post(std::move(item));
    this->wake();
}

auto control_service::read_log_records(log_offset from) -> void
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
    this->post(control_bytes_spent{control_traffic::reports, report_exchange_bytes});
    const auto report = has_valid_response(answer) && answer->status == 200
                            ? parse_report(answer->body)
                            : std::nullopt;
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
