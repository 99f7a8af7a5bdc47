#pragma once

#include "daemon/settings.hpp"

#include <nng/nng.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

struct nng_tls_config;

namespace poplardrift
{

/// Carries messages between hosts over nng: each host pulls at one address and pushes to every
/// other host over a connection of its own.
class peer_transport final
{
public:
    using receiver = std::function<void(std::string_view bytes)>;

    /// Told by host name when the connection to it stands or has ended.
    using connection_listener = std::function<void(const std::string& host, bool connected)>;

    /// Both functions are called on the transport's own threads.
    peer_transport(const host_address& self, const tls_settings& tls, receiver receive,
                   connection_listener listener);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    auto operator=(const peer_transport&) -> peer_transport& = delete;

    /// Listens. The reason tells why it cannot.
    [[nodiscard]] auto start() -> std::optional<std::string>;
    /// Hands a message to the connection; drops it when the connection takes none. Never blocks.
    auto send(const host_address& to, const std::string& bytes) -> void;
    /// Closes the connection to a host, so that the next message dials anew.
    auto reconnect(const host_address& to) -> void;
    auto stop() -> void;

private:
    /// What the library's callback needs to tell whose connection changed.
    struct pipe_context
    {
        peer_transport* transport = nullptr;
        std::string host;
    };

    struct outgoing_connection
    {
        nng_socket socket{};
        std::string url;
    };

    static auto on_pipe(nng_pipe pipe, nng_pipe_ev event, void* context) -> void;

    [[nodiscard]] auto peer_url(const host_address& where) const -> std::string;
    [[nodiscard]] auto dial(const std::string& host, const std::string& url) -> outgoing_connection;
    [[nodiscard]] auto make_tls(bool server) const -> ::nng_tls_config*;
    auto receive_loop() -> void;

    host_address self;
    tls_settings tls;
    receiver receive;
    connection_listener listener;
    std::map<std::string, std::unique_ptr<pipe_context>>
        pipe_contexts; ///< kept as long as the library may call
    nng_socket incoming{};
    bool listening = false;
    std::thread thread;
    std::mutex mutex;
    std::map<std::string, outgoing_connection> connections; ///< by host name
};

} // namespace poplardrift
