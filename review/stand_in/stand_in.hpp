#pragma once

// Stand-ins for the platform's store, runners and clients, and a way to start router processes.
// They follow the users' pages. Standard library and POSIX sockets only.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace review
{

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Seconds since the start of the script.
[[nodiscard]] auto now_s() -> double;
[[nodiscard]] auto unix_ms() -> std::int64_t;
auto sleep_until_s(double moment) -> void;

/// Writes record.txt: one line for each thing that was sent, answered or run.
class recorder final
{
public:
    explicit recorder(const std::string& path);
    ~recorder();
    recorder(const recorder&) = delete;
    auto operator=(const recorder&) -> recorder& = delete;
    auto line(const std::string& text) -> void;

private:
    std::mutex mutex;
    std::FILE* file;
};

/// A request or a response as read from a socket. Names of fields are in lower case.
struct message
{
    std::string start_line;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] auto field(const std::string& name) const -> std::string;
    [[nodiscard]] auto method() const -> std::string;
    [[nodiscard]] auto target() const -> std::string;
};

/// A connected socket. Blocking, with time limits.
class connection final
{
public:
    explicit connection(int socket) : socket(socket) {}
    ~connection();
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;

    [[nodiscard]] auto send(std::string_view bytes) -> bool;
    /// Reads one request; empty at the end of the connection.
    [[nodiscard]] auto read_request() -> std::optional<message>;
    /// Reads a head up to the empty line; empty at the end of the connection or of the time.
    [[nodiscard]] auto read_head(steady::time_point limit) -> std::optional<message>;
    /// Appends what arrives; false at the end of the connection or of the time.
    [[nodiscard]] auto read_more(steady::time_point limit) -> bool;
    /// True if the peer has closed or reset the connection.
    [[nodiscard]] auto is_closed_by_peer() const -> bool;
    /// Wakes a thread that reads or writes; the next write of the peer is reset.
    auto abort() -> void;

    std::string buffer; ///< received and not yet used
    bool ended = false; ///< the peer has closed
    bool was_reset = false;

private:
    int socket;
};

struct address
{
    std::string ip;
    int port = 0;
    [[nodiscard]] auto text() const -> std::string;
};

[[nodiscard]] auto connect_to(const address& to, milliseconds limit) -> std::unique_ptr<connection>;

/// Accepts connections, each with a thread of its own.
class server final
{
public:
    /// Handles one request; false closes the connection.
    using handler = std::function<bool(connection&, const message&)>;

    /// Port 0: any free one.
    server(const std::string& ip, int port, handler handle);
    ~server();
    server(const server&) = delete;
    auto operator=(const server&) -> server& = delete;

    [[nodiscard]] auto get_address() const -> const address& { return this->own; }
    /// Closes the listener and resets all connections, as at the end of a process.
    auto stop() -> void;

private:
    auto accept_all() -> void;

    handler handle;
    address own;
    int listener = -1;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::set<std::shared_ptr<connection>> open;
    std::atomic<int> running = 0;
    std::thread acceptor;
};

/// The platform's metadata store: a log with keyed topics.
class store final
{
public:
    explicit store(const std::string& ip);

    [[nodiscard]] auto get_address() const -> const address&
    {
        return this->listener->get_address();
    }
    auto put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value) -> void;
    [[nodiscard]] auto newest(const std::string& topic, const std::string& key)
        -> std::optional<std::string>;

private:
    struct record
    {
        std::string content;
    };
    struct entry
    {
        std::string value;
        std::uint64_t offset = 0;
    };
    struct topic
    {
        std::vector<record> records;
        std::map<std::string, entry> newest;
    };

    auto serve(connection& peer, const message& request) -> bool;
    auto append(const message& request) -> std::string;
    auto read(const message& request) -> std::string;
    auto list(const message& request) -> std::string;
    auto add(topic& target, const std::string& name, const std::string& content) -> void;

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, topic> topics;
    std::unique_ptr<server> listener;
};

/// One router process, started with the command of the deploy file.
class router final
{
public:
    /// `ip` is a loopback address of its own.
    router(std::string folder, std::string name, std::string ip, std::string zone);
    ~router();
    router(const router&) = delete;
    auto operator=(const router&) -> router& = delete;

    /// Ports are the same on all hosts. `seeds` are addresses of hosts.
    struct ports
    {
        int callers = 0;
        int ready = 0;
        int control = 0;
        int range = 0;
    };
    /// Of the settings: what the platform lets the process have.
    int memory_mb = 780;
    int descriptors = 12'300;
    /// Resident memory in MB; 0 if the process has ended.
    [[nodiscard]] auto used_mb() const -> int;
    auto write_settings(const ports& on, const address& store_address,
                        const std::vector<std::string>& seeds) -> void;
    auto start() -> void;
    auto send_signal(int signal) const -> void;
    auto kill() -> void;
    /// True if the process has ended although nothing asked for it.
    [[nodiscard]] auto has_ended() -> bool;
    /// Status of the readiness page; 0 without an answer within a second.
    [[nodiscard]] auto readiness() const -> int;

    [[nodiscard]] auto get_callers() const -> address { return {this->ip, this->on.callers}; }
    [[nodiscard]] auto get_name() const -> const std::string& { return this->name; }

private:
    std::string folder;
    std::string name;
    std::string ip;
    std::string zone;
    ports on;
    pid_t process = -1;
};

/// Ports that are free on all addresses of the block at this moment.
[[nodiscard]] auto find_ports(const std::vector<std::string>& ips) -> router::ports;
/// A block 127.x.y of loopback addresses that this process uses alone, as far as it can tell.
[[nodiscard]] auto find_block() -> std::string;

/// What a client got.
struct answer
{
    int status = 0;        ///< 0: none
    bool complete = false; ///< the whole answer in the protocol's framing
    bool refused = false;  ///< no connection
    std::string body;
    message head;
    double sent_s = 0.0;
    double ended_s = 0.0;
};

/// Sends one request on a new connection and reads the answer until `limit` has passed.
[[nodiscard]] auto call(const address& to, const std::string& request, milliseconds limit)
    -> answer;

/// A runner: registers itself in the store every 1.2 s, checks for whom a request is, and hands
/// sound requests to a handler.
class runner final
{
public:
    /// Runs one request; false closes the connection.
    using handler = std::function<bool(runner&, connection&, const message&)>;

    runner(store& registry, std::string ip, std::string service, std::string zone, handler run);
    ~runner();
    runner(const runner&) = delete;
    auto operator=(const runner&) -> runner& = delete;

    /// The process ends: its connections are reset, and nothing is written any more. After `down`
    /// it starts again under a new id and address. May be called by a handler.
    auto crash(milliseconds down) -> void;
    [[nodiscard]] auto get_id() -> std::string;
    [[nodiscard]] auto is_up() const -> bool { return this->up; }
    auto stop() -> void;

private:
    auto work() -> void;
    auto open() -> void;
    auto write_entry() -> void;
    auto serve(connection& peer, const message& request) -> bool;

    store& registry;
    std::string ip;
    std::string service;
    std::string zone;
    handler run;
    std::mutex mutex;
    std::condition_variable wake;
    std::string id;
    std::int64_t born = 0;
    int sequence = 0;
    std::unique_ptr<server> listener;
    std::atomic<bool> up = false;
    bool ending = false;
    std::optional<milliseconds> crash_for;
    std::vector<std::pair<std::string, steady::time_point>> silent; ///< ids that still have entries
    std::thread thread;
};

/// The configuration of a small deployment: services llm and app; routes /resumable/, /once/ (both
/// streams of llm), /read/ (idempotent) and /write/ (non_idempotent) of app. No tenants.
[[nodiscard]] auto configuration_text(int version) -> std::string;
/// A request as a client sends it. `prompt` is empty for requests without one.
[[nodiscard]] auto request_text(const std::string& method, const std::string& path,
                                const std::string& id, int deadline_ms, const std::string& prompt)
    -> std::string;
/// The first fields of a runner's answer.
[[nodiscard]] auto answer_fields(const message& request) -> std::string;

/// "id: N\ndata: ...\n\n"
[[nodiscard]] auto event_text(int number) -> std::string;
[[nodiscard]] auto chunk(std::string_view bytes) -> std::string;
[[nodiscard]] auto make_response(const std::string& status, const std::string& fields,
                                 const std::string& body) -> std::string;
/// Bits to tell a run by: a hexadecimal number without a repeat in this process.
[[nodiscard]] auto fresh_id() -> std::string;
[[nodiscard]] auto has_trouble() -> bool;

} // namespace review
