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

/// The parts of one host's process, in the order in which they are made.
class host_process final
{
public:
    explicit host_process(const daemon_settings& settings)
        : settings(settings),
          incarnation(incarnation_id{static_cast<std::uint64_t>(wall_clock_ms())}),
          log(settings.host.name, settings.log_level),
          slots(settings.admission, [this] { this->control.wake(); }),
          control(settings, this->incarnation, this->slots, this->log, this->figures),
          transactions(
              settings, this->incarnation, this->log, this->figures,
              [this](std::size_t bytes) {
                  this->control.post(control_bytes_spent{control_traffic::transactions, bytes});
              }),
          orders(settings, this->incarnation, this->control, this->log),
          context(this->settings, this->slots, this->control, this->transactions, this->log,
                  this->figures),
          front(this->context, settings.host.name + "-" +
                                   std::to_string(this->incarnation.value() % 1'000'000'000)),
          admin(this->context)
    {
        this->control.set_directory_listener([this](const host_directory& hosts)
                                             { this->transactions.on_hosts(hosts); });
    }

    /// Starts everything; the reason tells what cannot be bound.
    [[nodiscard]] auto start() -> std::optional<std::string>
    {
        if (auto fault = this->control.start())
        {
            return fault;
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

    /// A planned stop: not ready first, then no new connections, then every request to its end.
    auto stop() -> void
    {
        this->context.leaving = true;
        this->control.post(stop_requested{});
        this->control.wake();
        this->log.write(event_code::daemon_leaving,
                        std::to_string(this->context.active.load()) + " requests are active");
        std::this_thread::sleep_for(this->settings.leave_notice);
        this->front.stop();
        while (!this->transactions.is_flushed())
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        this->log.write(event_code::daemon_stopped,
                        std::to_string(this->context.active.load()) + " requests were cut off");
        this->admin.stop();
        this->orders.stop();
        this->transactions.stop();
        this->control.stop();
    }

private:
    daemon_settings settings;
    incarnation_id incarnation;
    event_log log;
    metrics figures;
    admission_service slots;
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
        std::cerr << settings.last_reason() << "\n";
        return exit_bad_settings;
    }
    if (check_only)
    {
        return 0;
    }
    block_signals();
    host_process process(*settings);
    if (const auto fault = process.start())
    {
        std::cerr << *fault << "\n";
        std::_Exit(exit_cannot_listen);
    }
    wait_for_stop_signal();
    process.stop();
    return 0;
}
