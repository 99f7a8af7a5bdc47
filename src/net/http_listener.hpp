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
    std::string address; ///< IP address to bind
    std::uint16_t port = 0;
    std::size_t max_connections = 8192; ///< connections above this are refused
    int backlog = 4096;                 ///< length of the kernel's queue of pending connections
    int idle_seconds = 75;              ///< keep-alive timeout of an idle connection
    int read_seconds = 30;              ///< timeout for receiving a request
    int write_seconds = 30;             ///< timeout of a blocked write, which closes the connection
    std::size_t max_request_body_bytes = 1 << 20;
    std::string certificate = {}; ///< PEM file; empty: no TLS
    std::string key = {};         ///< PEM file of the certificate's key
};

/// An HTTP or HTTPS server with its accept thread. Register handlers on `server` before `start`.
class http_listener final
{
public:
    explicit http_listener(http_listener_settings settings);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    auto operator=(const http_listener&) -> http_listener& = delete;

    [[nodiscard]] auto server() -> httplib::Server& { return *this->http; }
    /// Binds the address and starts accepting connections. Returns false when the address cannot be
    /// bound or the certificate cannot be loaded.
    [[nodiscard]] auto start() -> bool;
    /// Stops accepting connections and waits until all connections have ended.
    auto stop() -> void;

private:
    http_listener_settings settings;
    std::unique_ptr<httplib::Server> http;
    std::thread acceptor;
    int socket = -1;
};

} // namespace poplardrift
