#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Head and body of an HTTP/1.1 message. Names of fields are in lower case.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;
    bool is_complete = false;

    [[nodiscard]] auto field(const std::string& name) const -> std::string;
    /// Of a request.
    [[nodiscard]] auto method() const -> std::string;
    [[nodiscard]] auto target() const -> std::string;
    /// Of a response; 0 if there is none.
    [[nodiscard]] auto status() const -> int;
    /// Value of a parameter in the query of a request.
    [[nodiscard]] auto parameter(const std::string& name) const -> std::optional<std::string>;
};

/// A blocking TCP connection. One thread.
class connection final
{
public:
    explicit connection(int descriptor) : descriptor(descriptor) {}
    ~connection() { this->close(); }
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;

    /// Reads one message with a length, in chunks, or without a body; empty if the connection ended
    /// before the end of the head or nothing arrived for `limit`. A response without either framing
    /// ends with the connection.
    [[nodiscard]] auto read(milliseconds limit, bool is_response) -> std::optional<message>;
    auto write(const std::string& bytes) -> bool;
    auto close() -> void;
    [[nodiscard]] auto is_open() const -> bool { return this->descriptor >= 0; }
    /// Time to wait after each read of up to `bytes`; makes a slow reader.
    auto read_slowly(std::size_t bytes, milliseconds pause) -> void;

private:
    [[nodiscard]] auto fill(milliseconds limit) -> bool;
    [[nodiscard]] auto read_line(milliseconds limit, std::string& line) -> bool;

    int descriptor;
    std::string buffer;
    std::size_t read_size = 65'536;
    milliseconds read_pause{0};
};

/// Options of a client's connection, as its link has them.
struct link_options
{
    int segment_bytes = 0; ///< largest TCP segment that it accepts; 0: the system's
    int receive_bytes = 0; ///< receive buffer; 0: the system's
};

[[nodiscard]] auto connect_to(const std::string& address, std::uint16_t port,
                              link_options options = {}) -> std::unique_ptr<connection>;

/// Sends one request on a connection of its own and reads the response.
[[nodiscard]] auto ask(const std::string& address, std::uint16_t port, const std::string& request,
                       milliseconds limit) -> std::optional<message>;

/// Accepts connections at a free port and runs the handler for each on a thread of its own.
class server final
{
public:
    using handler = std::function<void(connection&)>;

    server(const std::string& address, handler serve);
    ~server();
    server(const server&) = delete;
    auto operator=(const server&) -> server& = delete;

    [[nodiscard]] auto port() const -> std::uint16_t { return this->bound_port; }

private:
    int descriptor = -1;
    std::uint16_t bound_port = 0;
    handler serve;
    std::atomic<bool> stopping{false};
    std::thread acceptor;
};

/// Finds `count` consecutive ports that are free at all of these addresses.
[[nodiscard]] auto free_ports(const std::vector<std::string>& addresses, int count)
    -> std::uint16_t;

[[nodiscard]] auto response(int status, const std::string& fields, const std::string& body)
    -> std::string;

} // namespace review
