#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace poplardrift::tests
{

/// What each connection of a crowd does.
struct crowd_script
{
    std::string begin;          ///< sent first
    std::string unit;           ///< then sent over and over
    std::size_t unit_count = 0; ///< number of units
    bool reads = true;          ///< else it never reads an answer
    int reconnects = 0;         ///< times that it connects again after it was closed
    std::chrono::milliseconds byte_interval{0}; ///< if not zero, one byte is sent in each interval
};

/// Connections from several loopback addresses that follow one script and stay open. One thread.
class caller_crowd final
{
public:
    caller_crowd(boost::asio::ip::tcp::endpoint target, std::size_t connections,
                 crowd_script script);
    ~caller_crowd();
    caller_crowd(const caller_crowd&) = delete;
    auto operator=(const caller_crowd&) -> caller_crowd& = delete;

    /// Sends until all scripts have ended, or nothing has moved for `quiet`, or `limit` has passed.
    auto run(std::chrono::milliseconds quiet, std::chrono::milliseconds limit) -> void;

private:
    struct member
    {
        int socket = -1;
        std::size_t sent = 0;
        int reconnects_left = 0;
        std::chrono::steady_clock::time_point next_byte{};
    };

    auto connect(std::size_t number) -> void;
    auto close(member& one) -> void;
    [[nodiscard]] auto total_bytes() const -> std::size_t;
    /// Sends what the kernel takes, within a bound; true if bytes were sent.
    auto send_some(member& one) -> bool;
    /// Reads and drops; true if bytes or the end of the connection arrived.
    auto read_some(member& one) -> bool;

    boost::asio::ip::tcp::endpoint target;
    crowd_script script;
    std::string block; ///< a whole number of units
    std::vector<member> members;
};

} // namespace poplardrift::tests
