#pragma once

#include "platform_store.hpp"

#include <sys/types.h>

#include <fstream>

namespace review
{

/// Writes what was sent, answered and run to record.txt, with the time since the start.
class record_file final
{
public:
    explicit record_file(const std::string& path) : file(path), started(clock::now()) {}

    auto write(const std::string& line) -> void;
    [[nodiscard]] auto seconds() const -> double;

private:
    std::mutex mutex;
    std::ofstream file;
    clock::time_point started;
};

/// Addresses in the loopback range that this process uses alone.
[[nodiscard]] auto own_address(int number) -> std::string;

struct router_settings
{
    std::string name;
    std::string address;
    std::string zone;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t first_port = 0; ///< of the range between hosts
    std::string seeds;
    std::string store;
    std::string bounds; ///< lines of the settings file; see small_bounds
    int memory_mb = 520;
    int descriptors = 8200;
    std::string region = "sul-br";
    std::string contracts =
        "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform";
};

/// Bounds of the small deployments, as `fleetbench wire` prints them.
extern const char* const small_bounds;
/// The same of the deployments of `demands/`.
extern const char* const grown_bounds;

/// A process of the router, started as the deploy file says: the program of its `run`, in the root
/// of the repository, with the settings file in POPLARDRIFT_BOOT.
class router_process final
{
public:
    router_process(router_settings settings, const std::string& folder);
    ~router_process();
    router_process(const router_process&) = delete;
    auto operator=(const router_process&) -> router_process& = delete;

    auto start() -> void;
    auto send_signal(int signal) const -> void;
    /// Kills the process and waits for its end.
    auto kill() -> void;
    /// True if the process has ended within `limit`.
    [[nodiscard]] auto wait_for_end(milliseconds limit) -> bool;
    [[nodiscard]] auto is_ready() const -> bool;
    [[nodiscard]] auto wait_until_ready(milliseconds limit) const -> bool;
    [[nodiscard]] auto get_settings() const -> const router_settings& { return this->settings; }

private:
    auto forget() -> void;

    router_settings settings;
    std::string settings_path;
    std::string log_path;
    std::string pid_path; ///< exists while the process runs, for run.sh
    pid_t process = -1;
};

/// One request as a runner received it and began to run it, or turned it away.
struct run_entry
{
    double at = 0.0; ///< seconds since the start of the record
    std::string id;
    std::string path;
    std::string runner;
    int status = 0;
};

/// A runner of a plain service. By default it answers each request with 200 and a short body.
class plain_runner final
{
public:
    /// Returns the response to a request, or nothing for the usual one.
    using behaviour = std::function<std::optional<std::string>(const message&)>;
    /// Writes the response to a request itself; false if it leaves the request to `behaviour`.
    using writer = std::function<bool(const message&, connection&)>;

    plain_runner(record_file& record, std::string id, std::string service, const std::string& zone,
                 int address);

    auto set_behaviour(behaviour next) -> void;
    auto set_writer(writer next) -> void;
    /// Entry of the runner in the registry.
    [[nodiscard]] auto entry(std::uint64_t sequence) const -> std::string;
    [[nodiscard]] auto get_id() const -> const std::string& { return this->id; }
    [[nodiscard]] auto runs() const -> std::vector<run_entry>;
    /// Field lines of an answer to this request.
    [[nodiscard]] static auto seal_fields(const message& request) -> std::string;

private:
    auto serve(connection& link) -> void;

    record_file& record;
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    std::int64_t born;
    mutable std::mutex mutex;
    behaviour behave;
    writer write_response;
    std::vector<run_entry> entries;
    server listener;
};

/// Writes the entries of the runners to the store every heartbeat, unless held.
class heartbeats final
{
public:
    heartbeats(platform_store& store, std::vector<plain_runner*> runners);
    ~heartbeats();

    /// While a runner is held, it writes nothing; released, it writes at once.
    auto hold(const plain_runner& runner, bool is_held) -> void;
    /// Writes all entries now, as runners do when the store has come back without them.
    auto write_all() -> void;

private:
    auto write(const plain_runner& runner) -> void;

    platform_store& store;
    std::vector<plain_runner*> runners;
    std::mutex mutex;
    std::map<std::string, bool> held;
    std::uint64_t sequence = 0;
    std::atomic<bool> stopping{false};
    std::thread writer;
};

/// A request of a client, with an attempt id of its own.
[[nodiscard]] auto client_request(const std::string& method, const std::string& path,
                                  const std::string& id, const std::string& key, int deadline_ms)
    -> std::string;
[[nodiscard]] auto new_attempt_id() -> std::string;

/// False if the variable TROUBLE is 0: the case then runs without its disruption.
[[nodiscard]] auto has_trouble() -> bool;

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int not_run = 2;

} // namespace review
