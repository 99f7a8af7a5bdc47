#pragma once

// Blocking sockets on loopback, HTTP/1.1 messages on them, and the record of a case.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using std::chrono::milliseconds;

/// Writes the lines of record.txt, each with the time since the start. Thread-safe.
class record final
{
public:
    explicit record(const std::string& path);
    auto write(const std::string& line) -> void;

private:
    std::mutex mutex;
    std::ofstream file;
    std::chrono::steady_clock::time_point began;
};

/// A connected socket with a read buffer. One thread may read while another one writes.
class connection final
{
public:
    explicit connection(int descriptor) : descriptor(descriptor) {}
    ~connection();
    connection(connection&& other) noexcept;
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;
    auto operator=(connection&& other) noexcept -> connection&;

    /// False when the peer has closed or reset the connection.
    auto send(std::string_view bytes) -> bool;
    /// Reads until `text` is in the buffer and returns all up to its end; nullopt at the end of the
    /// connection or after `limit`.
    auto read_until(std::string_view text, milliseconds limit) -> std::optional<std::string>;
    /// Reads exactly `count` bytes; nullopt as above.
    auto read_exactly(std::size_t count, milliseconds limit) -> std::optional<std::string>;
    /// Reads once, at most `count` bytes. Empty at the end of the connection or after `limit`.
    auto read_some(std::size_t count, milliseconds limit) -> std::string;
    /// Waits until the peer has closed or reset the connection; false after `limit`. Drops input.
    auto wait_closed(milliseconds limit) -> bool;
    /// True if the last read ended with a reset and not with the peer's orderly close.
    [[nodiscard]] auto was_reset() const -> bool { return this->reset_seen; }
    /// True if the last read ended because the connection had ended.
    [[nodiscard]] auto has_ended() const -> bool { return this->ended; }
    /// Sends what is queued and then the end of the connection.
    auto close() -> void;
    /// Closes with a reset.
    auto reset() -> void;

private:
    auto fill(milliseconds limit) -> bool;

    int descriptor;
    std::string buffer;
    bool reset_seen = false;
    bool ended = false;
};

/// What a socket offers to its peer, as on a link with small packets and small windows.
struct socket_options
{
    int receive_buffer = 0; ///< bytes; 0: the system's default
    int segment = 0;        ///< largest segment in bytes; 0: the system's default
};

/// Connects to a loopback address; nullopt if that fails.
[[nodiscard]] auto connect_to(const std::string& address, std::uint16_t port,
                              socket_options options = {}) -> std::optional<connection>;

struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// The value of a field; empty if there is none.
    [[nodiscard]] auto field(std::string_view name) const -> std::string;
    /// The words of the first line, counted from 0.
    [[nodiscard]] auto word(std::size_t position) const -> std::string;
};

/// Reads a head. The body stays unread.
[[nodiscard]] auto read_head(connection& peer, milliseconds limit) -> std::optional<message>;
/// Reads a request with the body that its Content-Length announces.
[[nodiscard]] auto read_request(connection& peer, milliseconds limit) -> std::optional<message>;

/// How an answer ended.
enum class answer_end : std::uint8_t
{
    complete, ///< as its length or its last chunk says
    cut,      ///< the connection ended before
    none,     ///< the connection ended without any answer
    late,     ///< not complete within the time
};

struct answer
{
    message head;
    std::string body;
    answer_end end = answer_end::none;

    [[nodiscard]] auto status() const -> int;
};

[[nodiscard]] auto to_text(answer_end end) -> std::string;

/// Reads an answer with a length or in chunks. `pace` is called after each read of body bytes.
[[nodiscard]] auto read_answer(connection& peer, milliseconds limit,
                               const std::function<void(std::size_t)>& pace = nullptr) -> answer;

/// One chunk of a chunked body.
[[nodiscard]] auto chunk(std::string_view bytes) -> std::string;

/// Accepts connections and serves each in a thread of its own.
class listener final
{
public:
    using handler = std::function<void(connection&)>;

    listener(const std::string& address, handler serve, socket_options options = {});
    ~listener();
    listener(const listener&) = delete;
    auto operator=(const listener&) -> listener& = delete;

    [[nodiscard]] auto port() const -> std::uint16_t { return this->bound_port; }

private:
    auto run() -> void;

    int descriptor;
    std::uint16_t bound_port = 0;
    handler serve;
    std::atomic<bool> stopping = false;
    std::thread acceptor;
};

/// The first of `count` consecutive ports that are free for TCP and UDP at the loopback addresses
/// from 127.0.0.1 on.
[[nodiscard]] auto find_free_ports(int addresses, int count) -> std::uint16_t;

} // namespace review
