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

/// Known hosts by id, with their addresses.
struct host_directory
{
    std::map<host_id, member> hosts;
};

/// Runs `control_core` on a thread of its own: passes events to it and executes its actions. Other
/// threads read the configuration log, the host list and the reports of the engines.
class control_service final
{
public:
    control_service(const daemon_settings& settings, incarnation_id incarnation,
                    admission_service& admissions, event_log& log, metrics& process_metrics);
    ~control_service();

    /// Opens the listener for other hosts and starts all threads. Returns the reason on failure.
    [[nodiscard]] auto start() -> std::optional<std::string>;
    auto stop() -> void;

    /// Queues an event for the next step of the control thread. Thread-safe; does not wait
    /// for the thread or wake it.
    auto post(control_event event) -> void;
    /// Makes the control thread process queued events immediately. Thread-safe.
    auto wake() -> void;
    /// Runs a function on the control thread and blocks until its result is available. Must not be
    /// called from the control thread.
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
    /// Last known loads of the other hosts.
    [[nodiscard]] auto loads() -> std::shared_ptr<const std::vector<known_load>>;
    /// Reason why this host must not accept requests; empty when it is ready.
    [[nodiscard]] auto not_ready_reason() -> std::string;
    /// Sets the function called on the control thread after each change of the host directory. Must
    /// be called before `start`.
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
    std::unique_ptr<control_core> core; ///< used by the control thread only, after start
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
    std::map<upstream_id, std::unique_ptr<httplib::Client>>
        report_clients; ///< idle keep-alive connections, one per engine
};

} // namespace poplardrift
