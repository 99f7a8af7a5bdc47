#pragma once

#include "request_tracker.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <sys/types.h>

#include <mutex>
#include <string>

namespace poplardrift::soak
{

/// One process of the router. Signals go to it alone, by its process identifier.
class router_host final
{
public:
    router_host(std::string program, std::string folder, std::string name,
                boost::asio::ip::tcp::endpoint caller_address);
    /// Kills the process if it still runs.
    ~router_host();
    router_host(const router_host&) = delete;
    auto operator=(const router_host&) -> router_host& = delete;

    auto write_settings(const std::string& text) const -> void;
    [[nodiscard]] auto start() -> bool;
    auto kill() -> void;
    /// Asks it to stop; it goes on with what it has.
    auto begin_stop() -> void;
    /// Waits for its end; false when it still runs after `limit`.
    [[nodiscard]] auto wait_for_exit(std::chrono::milliseconds limit) -> bool;
    auto reload() -> void;
    auto pause() -> void;
    auto resume() -> void;

    [[nodiscard]] auto get_caller_address() const -> const boost::asio::ip::tcp::endpoint&
    {
        return this->caller_address;
    }
    [[nodiscard]] auto get_name() const -> const std::string& { return this->name; }
    /// True when the process runs and no signal but a reload has touched it since `moment`.
    [[nodiscard]] auto was_undisturbed_since(clock::time_point moment) const -> bool;
    /// True when since `moment` nothing but a planned stop has touched it.
    [[nodiscard]] auto had_only_planned_stops_since(clock::time_point moment) const -> bool;
    /// True when the last planned stop came after `moment`.
    [[nodiscard]] auto was_stop_requested_after(clock::time_point moment) const -> bool;
    /// True when one of its processes has ended without being asked to, or has not ended in order
    /// after it was.
    [[nodiscard]] auto has_failed() -> bool;

private:
    enum class phase
    {
        down,
        running,
        stopping, ///< or ended as it was asked to
        paused,
    };

    auto send_signal(int signal) -> void;
    /// Collects the process if it has ended; true when there is none any more.
    auto reap() -> bool;

    std::string program;
    std::string folder;
    std::string name;
    boost::asio::ip::tcp::endpoint caller_address;
    mutable std::mutex mutex;
    pid_t process = -1;
    phase current_phase = phase::down;
    bool failed = false;
    clock::time_point disturbed_at{};      ///< last start, kill, pause or its end
    clock::time_point stop_requested_at{}; ///< last planned stop
};

} // namespace poplardrift::soak
