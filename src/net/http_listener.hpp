#pragma once

#include <httplib.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace poplardrift
{

/// Settings of one HTTP listener.
struct http_listener_settings
{
    std::string address; ///< IP number to bind
    std::uint16_t port = 0;
    std::size_t max_connections = 8192; ///< past this, connections are refused
    int backlog = 4096;                 ///< pending connections of the kernel
    int idle_seconds = 75;              ///< a kept-alive connection is closed after that
    int read_seconds = 30;              ///< a request must arrive within that
    int write_seconds = 30;             ///< a client that takes nothing for that long is dropped
    std::size_t max_request_body_bytes = 1 << 20;
    std::string certificate = {}; ///< PEM file; empty: no TLS
    std::string key = {};         ///< PEM file of the certificate's key
};

/// An HTTP server with its accepting thread. Handlers are set on `server` before `start`.
class http_listener final
{
public:
    explicit http_listener(http_listener_settings settings);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    auto operator=(const http_listener&) -> http_listener& = delete;

    [[nodiscard]] auto server() -> httplib::Server& { return *this->http; }
    /// Binds and begins to accept. False when the address cannot be bound.
    [[nodiscard]] auto start() -> bool;
    /// Accepts nothing more and waits until all connections have ended.
    auto stop() -> void;

private:
    http_listener_settings settings;
    std::unique_ptr<httplib::Server> http;
    std::thread acceptor;
    int socket = -1;
};

} // namespace poplardrift
