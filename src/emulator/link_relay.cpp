#include "emulator/link_relay.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace poplardrift::emulator
{

namespace
{

constexpr int poll_interval_ms = 100;

auto address_of(const std::string& ip, std::uint16_t port) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

auto set_no_delay(int descriptor) -> void
{
    const int yes = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

} // namespace

link_relay::link_relay(world& around, fleet_host from, fleet_host to)
    : around(around), from(std::move(from)), to(std::move(to))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // It listens at the address of the host that it leads to, as the host list gives only a port.
    auto local = address_of(this->to.address, 0);
    socklen_t size = sizeof(local);
    const auto bound =
        ::bind(this->listener, reinterpret_cast<sockaddr*>(&local), size) == 0 &&
        ::listen(this->listener, 16) == 0 &&
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&local), &size) == 0;
    this->bound_port = bound ? ntohs(local.sin_port) : 0;
    this->acceptor = std::thread([this] { this->accept_loop(); });
}

link_relay::~link_relay()
{
    this->stopping = true;
    this->acceptor.join();
    ::close(this->listener);
}

auto link_relay::accept_loop() -> void
{
    while (!this->stopping)
    {
        pollfd waiting{this->listener, POLLIN, 0};
        if (::poll(&waiting, 1, poll_interval_ms) <= 0)
        {
            continue;
        }
        const auto source = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        const auto target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto remote = address_of(this->to.address, this->to.peer_port);
        if (source < 0 ||
            ::connect(target, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) != 0)
        {
            ::close(source);
            ::close(target);
            continue;
        }
        set_no_delay(source);
        set_no_delay(target);
        const auto own_epoch = this->epoch.load();
        std::thread(
            [this, source, target, own_epoch]
            {
                std::thread back([this, source, target, own_epoch]
                                 { this->forward(target, source, own_epoch); });
                this->forward(source, target, own_epoch);
                back.join();
                ::close(source);
                ::close(target);
            })
            .detach();
    }
}

auto link_relay::forward(int source, int target, int own_epoch) -> void
{
    std::array<char, 65536> buffer{};
    while (!this->stopping)
    {
        const auto silent =
            own_epoch != this->epoch.load() || this->around.are_cut(this->from.zone, this->to.zone);
        if (silent)
        {
            sleep_ms(20);
            // A dialler that gave up ends the connection.
            char peeked = 0;
            if (::recv(source, &peeked, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
            {
                break;
            }
            continue;
        }
        pollfd waiting{source, POLLIN, 0};
        if (::poll(&waiting, 1, poll_interval_ms) == 0)
        {
            continue;
        }
        const auto count = ::recv(source, buffer.data(), buffer.size(), 0);
        if (count <= 0)
        {
            break;
        }
        sleep_ms(this->around.latency_ms());
        this->forwarded += count;
        if (::send(target, buffer.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) != count)
        {
            break;
        }
    }
    ::shutdown(target, SHUT_RDWR);
    ::shutdown(source, SHUT_RDWR);
}

} // namespace poplardrift::emulator
