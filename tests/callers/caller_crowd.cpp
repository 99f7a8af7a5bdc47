#include "caller_crowd.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <thread>

namespace poplardrift::tests
{

namespace
{

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

constexpr std::size_t block_bytes = 65'536;
constexpr std::size_t source_count = 8;
constexpr auto pause_when_idle = 2ms;

auto to_native(std::uint32_t address, std::uint16_t port) -> sockaddr_in
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(port);
    native.sin_addr.s_addr = htonl(address);
    return native;
}

} // namespace

caller_crowd::caller_crowd(boost::asio::ip::tcp::endpoint target, std::size_t connections,
                           crowd_script script)
    : target(std::move(target)), script(std::move(script)), members(connections)
{
    while (!this->script.unit.empty() && this->block.size() < block_bytes)
    {
        this->block += this->script.unit;
    }
    for (std::size_t number = 0; number < connections; ++number)
    {
        this->members[number].reconnects_left = this->script.reconnects;
        this->connect(number);
    }
}

caller_crowd::~caller_crowd()
{
    for (auto& one : this->members)
    {
        this->close(one);
    }
}

auto caller_crowd::connect(std::size_t number) -> void
{
    auto& one = this->members[number];
    one.sent = 0;
    one.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    constexpr std::uint32_t first_source = 0x7FC80001U; // 127.200.0.1
    const auto source = to_native(first_source + number % source_count, 0);
    const auto to = to_native(this->target.address().to_v4().to_uint(), this->target.port());
    static_cast<void>(
        ::bind(one.socket, reinterpret_cast<const sockaddr*>(&source), sizeof source));
    static_cast<void>(::connect(one.socket, reinterpret_cast<const sockaddr*>(&to), sizeof to));
}

auto caller_crowd::close(member& one) -> void
{
    if (one.socket >= 0)
    {
        ::close(one.socket);
        one.socket = -1;
    }
}

auto caller_crowd::total_bytes() const -> std::size_t
{
    return this->script.begin.size() + this->script.unit.size() * this->script.unit_count;
}

auto caller_crowd::send_some(member& one) -> bool
{
    const auto total = this->total_bytes();
    if (one.sent >= total)
    {
        return false;
    }
    const auto& begin = this->script.begin;
    const char* from = nullptr;
    std::size_t count = 0;
    if (one.sent < begin.size())
    {
        from = begin.data() + one.sent;
        count = begin.size() - one.sent;
    }
    else
    {
        const auto offset = (one.sent - begin.size()) % this->block.size();
        from = this->block.data() + offset;
        count = std::min(this->block.size() - offset, total - one.sent);
    }
    if (this->script.byte_interval > 0ms)
    {
        if (clock::now() < one.next_byte)
        {
            return false;
        }
        one.next_byte = clock::now() + this->script.byte_interval;
        count = 1;
    }
    const auto sent = ::send(one.socket, from, count, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0)
    {
        one.sent += static_cast<std::size_t>(sent);
    }
    return sent > 0;
}

auto caller_crowd::read_some(member& one) -> bool
{
    static std::array<char, block_bytes> dropped;
    const auto flags = MSG_DONTWAIT | (this->script.reads ? 0 : MSG_PEEK);
    const auto count = ::recv(one.socket, dropped.data(), dropped.size(), flags);
    if (count == 0 || (count < 0 && (errno == ECONNRESET || errno == ECONNREFUSED)))
    {
        this->close(one);
        if (one.reconnects_left > 0)
        {
            --one.reconnects_left;
            this->connect(static_cast<std::size_t>(&one - this->members.data()));
        }
        return true;
    }
    return count > 0 && this->script.reads;
}

auto caller_crowd::run(std::chrono::milliseconds quiet, std::chrono::milliseconds limit) -> void
{
    const auto end = clock::now() + limit;
    auto moved_at = clock::now();
    while (clock::now() < end && clock::now() - moved_at < quiet)
    {
        auto moved = false;
        for (auto& one : this->members)
        {
            if (one.socket >= 0)
            {
                moved = this->send_some(one) || moved;
                moved = this->read_some(one) || moved;
            }
        }
        if (moved)
        {
            moved_at = clock::now();
        }
        else
        {
            std::this_thread::sleep_for(pause_when_idle);
        }
    }
}

} // namespace poplardrift::tests
