#pragma once

#include "request_tracker.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <sys/types.h>

#include <mutex>
#include <string>

namespace poplardrift::soak
{

/// A router process, controlled by signals to its process identifier. Thread-safe.
class router_host final
{
public:
    router_host(std::string program, std::string folder, std::string name,
                boost::asio::ip::tcp::endpoint caller_address);
    /// Kills the process if it is still running.
    ~router_host();
    router_host(const router_host&) = delete;
    auto operator=(const router_host&) -> router_host& = delete;

    auto write_settings(const std::string& text) const -> void;
    [[nodiscard]] auto start() -> bool;
    auto kill() -> void;
    /// Requests a graceful stop (SIGTERM): the process finishes the requests in flight.
    auto begin_stop() -> void;
    /// Waits for the process to exit; false if it is still running after `limit`.
    [[nodiscard]] auto wait_for_exit(std::chrono::milliseconds limit) -> bool;
    auto reload() -> void;
    auto pause() -> void;
    auto resume() -> void;

    [[nodiscard]] auto get_caller_address() const -> const boost::asio::ip::tcp::endpoint&
    {
        return this->caller_address;
    }
    [[nodiscard]] auto get_name() const -> const std::string& { return this->name; }
    /// True if the process is running and since `moment` has not been started, killed, paused,
    /// resumed or asked to stop. Reloads are allowed.
    [[nodiscard]] auto was_undisturbed_since(clock::time_point moment) const -> bool;
    /// True if the process is running, stopping or stopped as planned, and a planned stop is the
    /// only disturbance since `moment`.
    [[nodiscard]] auto had_only_planned_stops_since(clock::time_point moment) const -> bool;
    /// True if the last planned stop was requested after `moment`.
    [[nodiscard]] auto was_stop_requested_after(clock::time_point moment) const -> bool;
    /// True if any process of this host exited without a stop request, or with an error after
    /// one.
    [[nodiscard]] auto has_failed() -> bool;

private:
    enum class phase
    {
        down,
        running,
        stopping, ///< or exited after a planned stop
        paused,
    };

    auto send_signal(int signal) -> void;
    /// Reaps the process if it has exited; true if no process is left.
    auto reap() -> bool;

    std::string program;
    std::string folder;
    std::string name;
    boost::asio::ip::tcp::endpoint caller_address;
    mutable std::mutex mutex;
    pid_t process = -1;
    phase current_phase = phase::down;
    bool failed = false;
    clock::time_point disturbed_at{};      ///< last start, kill, failure, pause or resume
    clock::time_point stop_requested_at{}; ///< last planned stop
};

} // namespace poplardrift::soak
