#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace poplardrift::tests
{

/// Limits that the platform states in the settings file of a router process.
struct process_limits
{
    std::size_t memory_mb = 48;
    std::size_t descriptors = 700;
};

/// Peak use of resources by a process.
struct resource_peak
{
    std::size_t resident_bytes = 0;
    std::size_t descriptors = 0;
};

/// A router process on loopback addresses of its own. Its open descriptors are counted every few
/// milliseconds from its start on.
class router_process final
{
public:
    router_process(std::uint16_t store_port, process_limits limits);
    /// Kills the process if it is still running.
    ~router_process();
    router_process(const router_process&) = delete;
    auto operator=(const router_process&) -> router_process& = delete;

    [[nodiscard]] auto is_running() -> bool;
    /// Resident memory at its highest, as counted by the kernel, and descriptors.
    [[nodiscard]] auto peak() const -> resource_peak;

    const process_limits limits;
    boost::asio::ip::tcp::endpoint callers;
    boost::asio::ip::tcp::endpoint status;
    boost::asio::ip::tcp::endpoint metrics;
    boost::asio::ip::tcp::endpoint peers;

private:
    auto sample() -> void;

    std::string folder;
    pid_t process = -1;
    std::atomic<std::size_t> most_descriptors{0};
    std::atomic<bool> stopping{false};
    std::thread sampler;
};

} // namespace poplardrift::tests
