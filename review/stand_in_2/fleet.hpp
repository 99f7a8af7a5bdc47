#pragma once

// A small deployment on loopback: the platform's store, one router process, and runners.

#include "sockets.hpp"

#include <sys/types.h>

#include <condition_variable>
#include <map>
#include <memory>

namespace review
{

/// The platform's store, as far as the router uses it: keyed topics with one partition.
class store final
{
public:
    store();
    ~store();
    store(const store&) = delete;
    auto operator=(const store&) -> store& = delete;

    /// Without a value the key is dropped.
    auto put(const std::string& topic, const std::string& key, const std::string& value) -> void;
    [[nodiscard]] auto port() const -> std::uint16_t { return this->server->port(); }

private:
    struct entry
    {
        std::string key;
        std::string value;
    };

    auto serve(connection& peer) -> void;
    auto append(const std::string& topic, std::string_view records) -> std::string;
    auto read(const std::string& topic, std::uint64_t from, milliseconds wait) -> std::string;
    auto list_newest(const std::string& topic) -> std::string;

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<entry>> topics;
    bool stopping = false;
    std::unique_ptr<listener> server;
};

struct route
{
    std::string name;
    std::string kind; ///< idempotent, non_idempotent or streaming
    std::string service;
    int timeout_ms = 800;
    int objective_ms = 150;
    int max_attempts = 1;
    bool resumable = false;
    bool sticky = false;
};

/// A runner as it stands in the registry.
struct runner_entry
{
    std::string id;
    std::string service;
    std::uint16_t port = 0;
    int slots = 6;
};

struct fleet_options
{
    std::vector<std::string> services; ///< plain ones
    std::vector<route> routes;
    int memory_mb = 260;
    int hosts = 1;        ///< router processes, each at a loopback address of its own
    bool demands = false; ///< bounds of amva-poplar-grown in place of passeio-vivo
};

/// Routers as the platform starts them, with its store. Ends the processes when it is destroyed.
class fleet final
{
public:
    fleet(const fleet_options& options, record& log);
    ~fleet();
    fleet(const fleet&) = delete;
    auto operator=(const fleet&) -> fleet& = delete;

    /// Writes the runner's entry, and again with each heartbeat.
    auto add(const runner_entry& runner) -> void;
    /// The runner sends no more heartbeats. Its entry goes after three of their intervals.
    auto remove(const std::string& id) -> void;
    /// Waits until all routers say that they are ready and know the runners.
    auto wait_ready() -> bool;
    /// Connects as a caller does; nullopt if the router does not accept.
    [[nodiscard]] auto connect_caller(int host = 0, socket_options options = {})
        -> std::optional<connection>;
    auto signal(int number, int host = 0) -> void;
    /// Starts the router of a host again after it has ended.
    auto start(int host) -> void;
    /// True while the process runs.
    [[nodiscard]] auto is_running(int host = 0) -> bool;
    /// The most resident memory of the process so far, in bytes; 0 if it does not run.
    [[nodiscard]] auto peak_memory(int host = 0) -> std::size_t;

    static constexpr const char* address = "127.0.0.1"; ///< of the first host and all stand-ins
    static constexpr const char* host_name = "ficu95.example";
    static constexpr const char* api_key = "n2ctnfzs989anu6wsjnb";

private:
    auto publish(const runner_entry& runner) -> void;
    auto beat() -> void;
    auto is_ready(int host) -> bool;

    record& log;
    store platform;
    std::uint16_t first_port; ///< of the listening addresses, the same on all hosts
    std::string folder;
    std::vector<pid_t> processes;
    std::mutex mutex;
    std::vector<runner_entry> runners;
    /// Entries of runners that have ended, and when they go.
    std::vector<std::pair<std::string, std::chrono::steady_clock::time_point>> expiring;
    std::uint64_t sequence = 0;
    std::atomic<bool> stopping = false;
    std::thread heartbeat;
};

/// The head of a request on a route, up to and including the blank line.
[[nodiscard]] auto request_head(const std::string& method, const route& on, const std::string& id,
                                int deadline_ms, std::optional<std::size_t> body_bytes,
                                const std::string& more = "") -> std::string;

/// The beginning of a successful answer's head: status line, id and seal.
[[nodiscard]] auto success_head(const message& request) -> std::string;

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// False if the environment says TROUBLE=0.
[[nodiscard]] auto has_trouble() -> bool;

/// Runs a case with the path of its record and ends the process with the case's exit code.
[[noreturn]] auto run_case(const char* record_path, int (*run)(record&)) -> void;

} // namespace review
