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

constexpr std::chrono::milliseconds look_interval{5}; ///< of a held connection

auto reset(tcp::socket& socket) -> void
{
    error_code ignored; // it may be closed already
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct loopback_proxy::link
{
    tcp::socket caller;
    tcp::socket target;
};

loopback_proxy::loopback_proxy(asio::io_context& io, tcp::endpoint target)
    : io(io), target(std::move(target)),
      acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    asio::co_spawn(io, this->accept_all(), asio::detached);
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
                   for (const auto& open : this->links)
                   {
                       reset(open->caller);
                       reset(open->target);
                   }
               });
}

auto loopback_proxy::accept_all() -> asio::awaitable<void>
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
        auto open = std::make_shared<link>(link{std::move(socket), tcp::socket(this->io)});
        this->links.insert(open);
        asio::co_spawn(this->io, this->serve(std::move(open)), asio::detached);
    }
}

auto loopback_proxy::serve(std::shared_ptr<link> open) -> asio::awaitable<void>
{
    co_await this->pass(direction::to_target);
    error_code error;
    co_await open->target.async_connect(this->target,
                                        asio::redirect_error(asio::use_awaitable, error));
    if (error)
    {
        reset(open->caller);
        this->links.erase(open);
        co_return;
    }
    asio::co_spawn(this->io, this->pump(open, direction::to_caller), asio::detached);
    co_await this->pump(open, direction::to_target);
    this->links.erase(open);
}

auto loopback_proxy::pump(std::shared_ptr<link> open, direction way) -> asio::awaitable<void>
{
    auto& from = way == direction::to_target ? open->caller : open->target;
    auto& to = way == direction::to_target ? open->target : open->caller;
    std::array<char, 16'384> bytes{};
    error_code error;
    while (!error)
    {
        const auto count = co_await from.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        co_await this->pass(way);
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
        error_code ignored; // the other side may have gone as well
        to.shutdown(tcp::socket::shutdown_send, ignored);
        co_return;
    }
    reset(from);
    reset(to);
}

auto loopback_proxy::pass(direction way) -> asio::awaitable<void>
{
    const auto pause = this->delay.load();
    if (pause.count() > 0)
    {
        co_await this->wait(pause);
    }
    const auto& holds = way == direction::to_target ? this->holds_to_target : this->holds_to_caller;
    while (holds)
    {
        co_await this->wait(look_interval);
    }
}

auto loopback_proxy::wait(std::chrono::milliseconds length) -> asio::awaitable<void>
{
    asio::steady_timer timer(this->io, length);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace poplardrift::soak
