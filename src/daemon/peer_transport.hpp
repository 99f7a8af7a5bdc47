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

/// Sends and receives messages between hosts over nng. Each host has one pull socket for incoming
/// messages and a push socket for each host that it sends to.
class peer_transport final
{
public:
    using receiver = std::function<void(std::string_view bytes)>;

    /// Called with the host's name when the outgoing connection to it is established or ends.
    using connection_listener = std::function<void(const std::string& host, bool connected)>;

    /// Both functions are called on threads of the transport or of nng.
    peer_transport(const host_address& self, const tls_settings& tls, receiver receive,
                   connection_listener listener);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    auto operator=(const peer_transport&) -> peer_transport& = delete;

    /// Starts listening. Returns the reason on failure.
    [[nodiscard]] auto start() -> std::optional<std::string>;
    /// Queues a message for a host, dialing it if needed. Drops the message when the send buffer is
    /// full. Never blocks.
    auto send(const host_address& to, const std::string& bytes) -> void;
    /// Closes the connection to a host; the next message opens a new one.
    auto reconnect(const host_address& to) -> void;
    auto stop() -> void;

private:
    /// Argument of nng's pipe callback: identifies the host of a connection.
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
        pipe_contexts; ///< by host name; never removed, as nng may call back late
    nng_socket incoming{};
    bool listening = false;
    std::thread thread;
    std::mutex mutex;
    std::map<std::string, outgoing_connection> connections; ///< by host name
};

} // namespace poplardrift
