#pragma once

#include "daemon/admission_service.hpp"
#include "daemon/peer_transport.hpp"
#include "daemon/settings.hpp"
#include "net/growing_task_queue.hpp"
#include "net/timer_service.hpp"
#include "observability/logging.hpp"
#include "observability/metrics.hpp"
#include "poplardrift/core/control_event.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

namespace poplardrift
{

/// Other hosts as the traffic side needs them: where each is reached.
struct host_directory
{
    std::map<host_id, member> hosts;
};

/// The control thread: owns the control state, feeds it events, carries out its actions, and runs
/// the readers of the log, the host list and the engines' reports.
class control_service final
{
public:
    control_service(const daemon_settings& settings, incarnation_id incarnation,
                    admission_service& admissions, event_log& log, metrics& process_metrics);
    ~control_service();

    /// Listens for other hosts and starts all threads. The reason tells why it cannot.
    [[nodiscard]] auto start() -> std::optional<std::string>;
    auto stop() -> void;

    /// Hands an event to the control thread. Any thread; does not wait.
    auto post(control_event event) -> void;
    /// Makes the control thread look at once. Any thread.
    auto wake() -> void;
    /// Runs a function on the control thread and waits for its result. Any other thread.
    template <class Function>
    [[nodiscard]] auto inspect(Function function)
        -> decltype(function(std::declval<const control_core&>()))
    {
        using result_type = decltype(function(std::declval<const control_core&>()));
        std::packaged_task<result_type(const control_core&)> task(std::move(function));
        auto result = task.get_future();
        this->run_on_control([&task](const control_core& core) { task(core); });
        return result.get();
    }
    [[nodiscard]] auto directory() -> std::shared_ptr<const host_directory>;
    /// Loads of other hosts as last known.
    [[nodiscard]] auto loads() -> std::shared_ptr<const std::vector<known_load>>;
    /// Why this host should take no requests; empty when it should.
    [[nodiscard]] auto not_ready_reason() -> std::string;
    /// Told on the control thread after a change of hosts.
    auto set_directory_listener(std::function<void(const host_directory&)> listener) -> void
    {
        this->directory_listener = std::move(listener);
    }

private:
    auto run_on_control(std::function<void(const control_core&)> task) -> void;
    auto run() -> void;
    auto step() -> void;
    auto execute_action(const control_action& action) -> void;
    auto publish_directory() -> void;
    auto read_configuration_loop() -> void;
    auto poll_hosts() -> void;
    auto read_report(const owned_engine& engine) -> void;
    auto read_log_records(log_offset from) -> void;
    auto append_snapshot_to_log(const nlohmann::json& snapshot) -> void;

    daemon_settings settings;
    admission_service& admissions;
    event_log& log;
    metrics& process_metrics;
    peer_transport transport;
    timer_service timers;
    growing_task_queue blocking_tasks;
    std::unique_ptr<control_core> core; ///< only the control thread touches it once started
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<control_event> events;
    std::deque<std::function<void(const control_core&)>> tasks;
    bool woken = false;
    std::atomic<bool> stopping{false};
    std::thread thread;
    std::thread configuration_reader;
    std::mutex directory_mutex;
    std::shared_ptr<const host_directory> hosts;
    std::shared_ptr<const std::vector<known_load>> host_loads;
    std::string last_not_ready_reason;
    std::uint64_t directory_revision = 0;
    std::function<void(const host_directory&)> directory_listener;
    std::atomic<std::uint64_t> applied_offset{0};
    std::mutex report_mutex;
    std::map<upstream_id, std::unique_ptr<httplib::Client>> report_clients; ///< idle connections
};

} // namespace poplardrift
