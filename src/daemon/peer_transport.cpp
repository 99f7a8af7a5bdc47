#include "daemon/peer_transport.hpp"

#include "poplardrift/base/assert.hpp"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <nng/supplemental/tls/tls.h>

namespace poplardrift
{

namespace
{

/// Messages that a connection buffers while it is not established. Few, because old messages are
/// superseded by newer ones.
constexpr int send_buffer_messages = 2;
constexpr int receive_buffer_messages = 256;
constexpr nng_duration min_reconnect_ms = 50;
constexpr nng_duration max_reconnect_ms = 1000;
constexpr std::size_t max_message_bytes = 64u << 20;

} // namespace

peer_transport::peer_transport(const host_address& self, const tls_settings& tls, receiver receive,
                               connection_listener listener)
    : self(self), tls(tls), receive(std::move(receive)), listener(std::move(listener))
{
}

peer_transport::~peer_transport()
{
    this->stop();
}

auto peer_transport::peer_url(const host_address& where) const -> std::string
{
    const auto* scheme = this->tls.is_enabled() ? "tls+tcp://" : "tcp://";
    return scheme + where.address + ":" + std::to_string(where.peer_port);
}

auto peer_transport::make_tls(bool server) const -> nng_tls_config*
{
    nng_tls_config* config = nullptr;
    const auto made =
        nng_tls_config_alloc(&config, server ? NNG_TLS_MODE_SERVER : NNG_TLS_MODE_CLIENT);
    POPLARDRIFT_ASSERT(made == 0);
    // Mutual TLS: both sides present a certificate signed by the same authority.
    nng_tls_config_auth_mode(config, NNG_TLS_AUTH_MODE_REQUIRED);
    nng_tls_config_ca_file(config, this->tls.authority.c_str());
    nng_tls_config_cert_key_file(config, this->tls.certificate.c_str(), nullptr);
    return config;
}

auto peer_transport::start() -> std::optional<std::string>
{
    auto result = nng_pull0_open(&this->incoming);
    if (result == 0)
    {
        nng_socket_set_int(this->incoming, NNG_OPT_RECVBUF, receive_buffer_messages);
        nng_socket_set_size(this->incoming, NNG_OPT_RECVMAXSZ, max_message_bytes);
        nng_listener listener{};
        const auto url = this->peer_url(this->self);
        result = nng_listener_create(&listener, this->incoming, url.c_str());
        if (result == 0 && this->tls.is_enabled())
        {
            auto* config = this->make_tls(true);
            nng_listener_set_ptr(listener, NNG_OPT_TLS_CONFIG, config);
            nng_tls_config_free(config);
        }
        result = result == 0 ? nng_listener_start(listener, 0) : result;
    }
    if (result != 0)
    {
        return this->peer_url(this->self) + ": " + nng_strerror(result);
    }
    this->listening = true;
    this->thread = std::thread([this] { this->receive_loop(); });
    return std::nullopt;
}

auto peer_transport::receive_loop() -> void
{
    while (true)
    {
        void* data = nullptr;
        std::size_t size = 0;
        const auto result = nng_recv(this->incoming, &data, &size, NNG_FLAG_ALLOC);
        if (result == NNG_ECLOSED)
        {
            return;
        }
        if (result != 0)
        {
            continue;
        }
        this->receive({static_cast<const char*>(data), size});
        nng_free(data, size);
    }
}

auto peer_transport::on_pipe(nng_pipe pipe, nng_pipe_ev event, void* context) -> void
{
    (void)pipe;
    const auto& item = *static_cast<pipe_context*>(context);
    item.transport->listener(item.host, event == NNG_PIPE_EV_ADD_POST);
}

auto peer_transport::dial(const std::string& host, const std::string& url) -> outgoing_connection
{
    outgoing_connection item;
    item.url = url;
    const auto opened = nng_push0_open(&item.socket);
    POPLARDRIFT_ASSERT(opened == 0);
    auto& context = this->pipe_contexts[host];
    if (!context)
    {
        context = std::make_unique<pipe_context>(pipe_context{this, host});
    }
    nng_pipe_notify(item.socket, NNG_PIPE_EV_ADD_POST, &peer_transport::on_pipe, context.get());
    nng_pipe_notify(item.socket, NNG_PIPE_EV_REM_POST, &peer_transport::on_pipe, context.get());
    nng_socket_set_int(item.socket, NNG_OPT_SENDBUF, send_buffer_messages);
    nng_socket_set_ms(item.socket, NNG_OPT_RECONNMINT, min_reconnect_ms);
    nng_socket_set_ms(item.socket, NNG_OPT_RECONNMAXT, max_reconnect_ms);
    nng_dialer dialer{};
    if (nng_dialer_create(&dialer, item.socket, url.c_str()) != 0)
    {
        return item;
    }
    nng_dialer_set_bool(dialer, NNG_OPT_TCP_NODELAY, true);
    if (this->tls.is_enabled())
    {
        auto* config = this->make_tls(false);
        nng_dialer_set_ptr(dialer, NNG_OPT_TLS_CONFIG, config);
        nng_tls_config_free(config);
    }
    nng_dialer_start(dialer, NNG_FLAG_NONBLOCK);
    return item;
}

auto peer_transport::send(const host_address& to, const std::string& bytes) -> void
{
    const auto url = this->peer_url(to);
    const std::lock_guard lock(this->mutex);
    auto found = this->connections.find(to.name);
    // A host that was replaced may have a different address.
    if (found != this->connections.end() && found->second.url != url)
    {
        nng_close(found->second.socket);
        this->connections.erase(found);
        found = this->connections.end();
    }
    if (found == this->connections.end())
    {
        found = this->connections.emplace(to.name, this->dial(to.name, url)).first;
    }
    auto copy = bytes;
    nng_send(found->second.socket, copy.data(), copy.size(), NNG_FLAG_NONBLOCK);
}

auto peer_transport::reconnect(const host_address& to) -> void
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->connections.find(to.name);
    if (found != this->connections.end())
    {
        nng_close(found->second.socket);
        this->connections.erase(found);
    }
}

auto peer_transport::stop() -> void
{
    {
        const std::lock_guard lock(this->mutex);
        for (auto& [name, item] : this->connections)
        {
            nng_close(item.socket);
        }
        this->connections.clear();
    }
    if (this->listening)
    {
        this->listening = false;
        nng_close(this->incoming);
        this->thread.join();
    }
}

} // namespace poplardrift
