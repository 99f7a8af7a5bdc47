#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace poplardrift::http
{

/// Accepts connections on one address and passes them to a handler. Not thread-safe.
class listener final : public std::enable_shared_from_this<listener>
{
public:
    using accept_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    listener(boost::asio::io_context& io, accept_handler handler);

    /// Starts listening. Returns false when the address cannot be bound or listened on.
    [[nodiscard]] auto open(const boost::asio::ip::tcp::endpoint& address) -> bool;
    auto close() -> void;

private:
    auto accept_next() -> void;

    boost::asio::io_context& io;
    boost::asio::ip::tcp::acceptor acceptor;
    accept_handler handler;
};

} // namespace poplardrift::http
