#include "http/listener.hpp"

#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace poplardrift::http
{

namespace
{

using boost::system::error_code;

/// Length of the accept queue. When it is full, callers wait seconds for a retransmission.
constexpr int backlog = 4096;
/// Delay after a failed accept, such as when file descriptors are exhausted.
constexpr auto accept_retry_delay = std::chrono::milliseconds(20);

} // namespace

listener::listener(boost::asio::io_context& io, accept_handler handler)
    : io(io), acceptor(io), handler(std::move(handler))
{
}

auto listener::open(const boost::asio::ip::tcp::endpoint& address) -> bool
{
    error_code error;
    this->acceptor.open(address.protocol(), error);
    if (!error)
    {
        this->acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
        this->acceptor.bind(address, error);
    }
    if (!error)
    {
        this->acceptor.listen(backlog, error);
    }
    if (error)
    {
        return false;
    }
    this->accept_next();
    return true;
}

auto listener::close() -> void
{
    if (!this->acceptor.is_open())
    {
        return;
    }
    // Closing would reset the connections in the accept queue, whose requests may already be on
    // their way.
    error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error)
    {
        boost::asio::ip::tcp::socket socket(this->io);
        this->acceptor.accept(socket, error);
        if (!error)
        {
            this->handler(std::move(socket));
        }
    }
    error_code ignored;
    this->acceptor.close(ignored);
}

auto listener::accept_next() -> void
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](const error_code& error,
                                          boost::asio::ip::tcp::socket socket)
        {
            if (!error)
            {
                self->handler(std::move(socket));
            }
            if (!self->acceptor.is_open())
            {
                return;
            }
            if (!error)
            {
                self->accept_next();
                return;
            }
            auto timer = std::make_shared<boost::asio::steady_timer>(self->io, accept_retry_delay);
            timer->async_wait([self, timer](const error_code&) { self->accept_next(); });
        });
}

} // namespace poplardrift::http
