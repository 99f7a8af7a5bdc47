#include "net/http_listener.hpp"

#include "net/growing_task_queue.hpp"

#include <sys/socket.h>

namespace poplardrift
{

namespace
{

/// Keep-alive limit of one connection; high enough to be effectively unlimited.
constexpr std::size_t max_requests_per_connection = 1'000'000'000;

} // namespace

http_listener::http_listener(http_listener_settings settings) : settings(std::move(settings))
{
    if (this->settings.certificate.empty())
    {
        this->http = std::make_unique<httplib::Server>();
    }
    else
    {
        this->http = std::make_unique<httplib::SSLServer>(this->settings.certificate.c_str(),
                                                          this->settings.key.c_str());
    }
    const auto max_connections = this->settings.max_connections;
    this->http->new_task_queue = [max_connections]
    { return new growing_task_queue(max_connections); };
    this->http->set_tcp_nodelay(true);
    this->http->set_keep_alive_max_count(max_requests_per_connection);
    this->http->set_keep_alive_timeout(this->settings.idle_seconds);
    this->http->set_read_timeout(this->settings.read_seconds);
    this->http->set_write_timeout(this->settings.write_seconds);
    this->http->set_payload_max_length(this->settings.max_request_body_bytes);
    this->http->set_socket_options(
        [this](socket_t descriptor)
        {
            const int yes = 1;
            ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
            this->socket = descriptor;
        });
}

http_listener::~http_listener()
{
    this->stop();
}

auto http_listener::start() -> bool
{
    // The server is invalid when its certificate or key cannot be loaded.
    if (!this->http->is_valid() ||
        !this->http->bind_to_port(this->settings.address, this->settings.port))
    {
        return false;
    }
    // The library listens with a backlog of 5, which drops SYNs during a burst of connections.
    ::listen(this->socket, this->settings.backlog);
    this->acceptor = std::thread([this] { this->http->listen_after_bind(); });
    return true;
}

auto http_listener::stop() -> void
{
    if (!this->acceptor.joinable())
    {
        return;
    }
    while (!this->http->is_running())
    {
        std::this_thread::yield();
    }
    this->http->stop();
    this->acceptor.join();
}

} // namespace poplardrift
