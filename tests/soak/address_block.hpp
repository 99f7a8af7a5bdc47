#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace poplardrift::soak
{

/// A block of loopback addresses, 127.NETWORK.0.0/24, that no other soak on this machine uses while
/// this object lives: a port of the block is bound as the claim.
class address_block final
{
public:
    /// Claims the first free block from `first_network` on. Throws std::runtime_error if all are
    /// taken.
    explicit address_block(int first_network);

    [[nodiscard]] auto network() const -> int { return this->claimed; }
    [[nodiscard]] auto address(std::size_t number) const -> std::string;

private:
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor claim;
    int claimed = 0;
};

} // namespace poplardrift::soak
