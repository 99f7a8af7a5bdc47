#include "loopback_proxy.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace poplardrift::soak
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds poll_interval{5}; ///< while data is held

auto reset(tcp::socket& socket) -> void
{
    error_code ignored; // the socket may be closed already
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct loopback_proxy::proxied_connection
{
    tcp::socket caller;
    tcp::socket target;
};

loopback_proxy::loopback_proxy(asio::io_context& io, tcp::endpoint target)
    : io(io), target(std::move(target)),
      acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    asio::co_spawn(io, this->accept_connections(), asio::detached);
}

auto loopback_proxy::address() const -> tcp::endpoint
{
    return this->acceptor.local_endpoint();
}

auto loopback_proxy::set_fault(const link_fault& fault) -> void
{
    this->delay = fault.delay;
    this->holds_to_target = fault.holds_to_target;
    this->holds_to_caller = fault.holds_to_caller;
    this->refuses = fault.refuses;
}

auto loopback_proxy::reset_all() -> void
{
    asio::post(this->io,
               [this]
               {
                   for (const auto& connection : this->connections)
                   {
                       reset(connection->caller);
                       reset(connection->target);
                   }
               });
}

auto loopback_proxy::accept_connections() -> asio::awaitable<void>
{
    while (true)
    {
        error_code error;
        auto socket =
            co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            co_return;
        }
        if (this->refuses)
        {
            reset(socket);
            continue;
        }
        auto connection = std::make_shared<proxied_connection>(
            proxied_connection{std::move(socket), tcp::socket(this->io)});
        this->connections.insert(connection);
        asio::co_spawn(this->io, this->serve(std::move(connection)), asio::detached);
    }
}

auto loopback_proxy::serve(std::shared_ptr<proxied_connection> connection) -> asio::awaitable<void>
{
    co_await this->apply_fault(direction::to_target);
    error_code error;
    co_await connection->target.async_connect(this->target,
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
    {
        reset(connection->caller);
        this->connections.erase(connection);
        co_return;
    }
    asio::co_spawn(this->io, this->relay(connection, direction::to_caller), asio::detached);
    co_await this->relay(connection, direction::to_target);
    this->connections.erase(connection);
}

auto loopback_proxy::relay(std::shared_ptr<proxied_connection> connection, direction toward)
    -> asio::awaitable<void>
{
    auto& from = toward == direction::to_target ? connection->caller : connection->target;
    auto& to = toward == direction::to_target ? connection->target : connection->caller;
    std::array<char, 16'384> bytes{};
    error_code error;
    while (!error)
    {
        const auto count = co_await from.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        co_await this->apply_fault(toward);
        if (count > 0)
        {
            error_code write_error;
            co_await asio::async_write(to, asio::buffer(bytes.data(), count),
                                       asio::redirect_error(asio::use_awaitable, write_error));
            error = error ? error : write_error;
        }
    }
    if (error == asio::error::eof)
    {
        error_code ignored; // the other side may have closed as well
        to.shutdown(tcp::socket::shutdown_send, ignored);
        co_return;
    }
    reset(from);
    reset(to);
}

auto loopback_proxy::apply_fault(direction toward) -> asio::awaitable<void>
{
    const auto pause = this->delay.load();
    if (pause.count() > 0)
    {
        co_await this->sleep_for(pause);
    }
    const auto& holds =
        toward == direction::to_target ? this->holds_to_target : this->holds_to_caller;
    while (holds)
    {
        co_await this->sleep_for(poll_interval);
    }
}

auto loopback_proxy::sleep_for(std::chrono::milliseconds length) -> asio::awaitable<void>
{
    asio::steady_timer timer(this->io, length);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace poplardrift::soak
