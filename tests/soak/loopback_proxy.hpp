#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <set>

namespace poplardrift::soak
{

/// Disturbance of a proxy's connections. Held bytes are forwarded when the fault ends, like
/// retransmitted packets.
struct link_fault
{
    std::chrono::milliseconds delay{};
    bool holds_to_target = false;
    bool holds_to_caller = false;
    bool refuses = false; ///< new connections are reset
};

/// A TCP proxy on loopback with fault injection. Faults may be set from any thread; the connections
/// are used only on the thread of the io_context.
class loopback_proxy final
{
public:
    loopback_proxy(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint target);
    loopback_proxy(const loopback_proxy&) = delete;
    auto operator=(const loopback_proxy&) -> loopback_proxy& = delete;

    [[nodiscard]] auto address() const -> boost::asio::ip::tcp::endpoint;
    auto set_fault(const link_fault& fault) -> void;
    /// Resets all open connections (TCP RST). Any thread.
    auto reset_all() -> void;

private:
    struct proxied_connection;
    enum class direction
    {
        to_target,
        to_caller,
    };

    auto accept_connections() -> boost::asio::awaitable<void>;
    auto serve(std::shared_ptr<proxied_connection> connection) -> boost::asio::awaitable<void>;
    auto relay(std::shared_ptr<proxied_connection> connection, direction toward)
        -> boost::asio::awaitable<void>;
    /// Waits for the delay, then for as long as data in this direction is held.
    auto apply_fault(direction toward) -> boost::asio::awaitable<void>;
    auto sleep_for(std::chrono::milliseconds length) -> boost::asio::awaitable<void>;

    boost::asio::io_context& io;
    boost::asio::ip::tcp::endpoint target;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<proxied_connection>> connections;
    std::atomic<std::chrono::milliseconds> delay{};
    std::atomic<bool> holds_to_target{false};
    std::atomic<bool> holds_to_caller{false};
    std::atomic<bool> refuses{false};
};

} // namespace poplardrift::soak
