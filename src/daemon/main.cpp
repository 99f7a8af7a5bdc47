#include "daemon/admin_api.hpp"
#include "daemon/http_front.hpp"
#include "daemon/order_service.hpp"
#include "net/clock.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace
{

using namespace poplardrift;

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_listen = 3;

/// Owns the components of one host's process, in order of construction.
class host_process final
{
public:
    explicit host_process(const daemon_settings& settings)
        : settings(settings),
          incarnation(incarnation_id{static_cast<std::uint64_t>(wall_clock_ms())}),
          log(settings.host.name, settings.log_level),
          admission(settings.admission, [this] { this->control.wake(); }),
          control(settings, this->incarnation, this->admission, this->log, this->process_metrics),
          transactions(
              settings, this->incarnation, this->log, this->process_metrics,
              [this](std::size_t bytes) {
                  this->control.post(control_bytes_spent{control_traffic::transactions, bytes});
              }),
          orders(settings, this->incarnation, this->control, this->log),
          context(this->settings, this->admission, this->control, this->transactions, this->log,
                  this->process_metrics),
          front(this->context, settings.host.name + "-" +
                                   std::to_string(this->incarnation.value() % 1'000'000'000)),
          admin(this->context)
    {
        this->control.set_directory_listener([this](const host_directory& hosts)
                                             { this->transactions.on_hosts(hosts); });
    }

    /// Starts all components. Returns an error that names the address that cannot be bound; empty
    /// on success.
    [[nodiscard]] auto start() -> std::optional<std::string>
    {
        if (auto error = this->control.start())
        {
            return error;
        }
        this->transactions.start();
        this->orders.start();
        if (!this->front.start())
        {
            return this->settings.host.address + ":" +
                   std::to_string(this->settings.host.http_port) + ": cannot listen";
        }
        if (!this->admin.start())
        {
            return this->settings.admin_address + ":" + std::to_string(this->settings.admin_port) +
                   ": cannot listen";
        }
        this->log.write(event_code::daemon_started,
                        "incarnation " + std::to_string(this->incarnation.value()));
        return std::nullopt;
    }

    /// Planned stop: reports not ready, still accepts connections for `leave_notice`, then closes
    /// the listener and finishes open requests and pending transaction writes.
    auto stop() -> void
    {
        this->context.stopping = true;
        this->control.post(stop_requested{});
        this->control.wake();
        this->log.write(event_code::daemon_leaving,
                        std::to_string(this->context.active_requests.load()) +
                            " requests are active");
        std::this_thread::sleep_for(this->settings.leave_notice);
        this->front.stop();
        while (!this->transactions.is_flushed())
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        this->log.write(event_code::daemon_stopped,
                        std::to_string(this->context.active_requests.load()) +
                            " requests were cut off");
        this->admin.stop();
        this->orders.stop();
        this->transactions.stop();
        this->control.stop();
    }

private:
    daemon_settings settings;
    incarnation_id incarnation;
    event_log log;
    metrics process_metrics;
    admission_service admission;
    control_service control;
    transaction_service transactions;
    order_service orders;
    traffic_context context;
    http_front front;
    admin_api admin;
};

auto wait_for_stop_signal() -> void
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int received = 0;
    sigwait(&signals, &received);
}

auto block_signals() -> void
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    CLI::App app("poplardriftd: one host of the router fleet");
    std::string path;
    bool check_only = false;
    app.add_option("--settings", path, "JSON file with the host's settings")->required();
    app.add_flag("--check", check_only, "check the settings and exit");
    app.set_version_flag("--version", POPLARDRIFT_VERSION);
    app.footer(
        "Exit codes: 0 stopped after a planned stop, 2 bad settings, 3 an address is taken.");
    CLI11_PARSE(app, argc, argv);
    const auto settings = read_daemon_settings(path);
    if (!settings)
    {
        std::cerr << settings.failure_reason() << "\n";
        return exit_bad_settings;
    }
    if (check_only)
    {
        return 0;
    }
    block_signals();
    host_process process(*settings);
    if (const auto error = process.start())
    {
        std::cerr << *error << "\n";
        std::_Exit(exit_cannot_listen);
    }
    wait_for_stop_signal();
    process.stop();
    return 0;
}
