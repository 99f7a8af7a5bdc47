// The stand-ins' own promises, on which the tests over sockets rely.

#include "scripted_peers.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift::tests;

TEST_CASE("a free address is given to nobody else, and a listener can open there")
{
    // Guards against fixtures that cannot open because both of their ports are one, or because
    // another socket has got one of them in between.
    const auto address = free_address();
    CHECK(free_address() != address);
    CHECK_FALSE(connect_to(address).is_connected());
    boost::asio::io_context io;
    const boost::asio::ip::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    int taken = 0;
    // Three times as many as there are ports to choose from.
    for (int number = 0; number < 100'000; ++number)
    {
        boost::asio::ip::tcp::acceptor other(io, any);
        taken += other.local_endpoint() == address ? 1 : 0;
    }
    CHECK(taken == 0);
    boost::asio::ip::tcp::acceptor listener(io, address);
    CHECK(connect_to(address).is_connected());
}
