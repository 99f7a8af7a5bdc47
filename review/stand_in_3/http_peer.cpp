#include "http_peer.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace review
{

namespace
{

auto to_lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

auto word_of(const std::string& line, std::size_t index) -> std::string
{
    std::size_t begin = 0;
    for (; index > 0 && begin != std::string::npos; --index)
    {
        begin = line.find(' ', begin);
        begin = begin == std::string::npos ? begin : begin + 1;
    }
    return begin == std::string::npos ? "" : line.substr(begin, line.find(' ', begin) - begin);
}

auto to_address(const std::string& address, std::uint16_t port) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

auto bind_to(const std::string& address, std::uint16_t port) -> int
{
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto target = to_address(address, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

auto port_of(int descriptor) -> std::uint16_t
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

} // namespace

auto message::field(const std::string& name) const -> std::string
{
    const auto found = this->fields.find(to_lower(name));
    return found == this->fields.end() ? "" : found->second;
}

auto message::method() const -> std::string
{
    return word_of(this->first_line, 0);
}

auto message::target() const -> std::string
{
    return word_of(this->first_line, 1);
}

auto message::status() const -> int
{
    return std::atoi(word_of(this->first_line, 1).c_str());
}

auto message::parameter(const std::string& name) const -> std::optional<std::string>
{
    const auto all = this->target();
    auto begin = all.find('?');
    while (begin != std::string::npos)
    {
        const auto next = all.find('&', begin + 1);
        const auto pair = all.substr(begin + 1, next - begin - 1);
        if (pair.rfind(name + "=", 0) == 0)
        {
            return pair.substr(name.size() + 1);
        }
        begin = next;
    }
    return std::nullopt;
}

auto connection::fill(milliseconds limit) -> bool
{
    pollfd waiting{this->descriptor, POLLIN, 0};
    if (this->descriptor < 0 || ::poll(&waiting, 1, static_cast<int>(limit.count())) <= 0)
    {
        return false;
    }
    std::string bytes(this->read_size, '\0');
    const auto count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    this->buffer.append(bytes, 0, static_cast<std::size_t>(count));
    if (this->read_pause.count() > 0)
    {
        std::this_thread::sleep_for(this->read_pause);
    }
    return true;
}

auto connection::read_line(milliseconds limit, std::string& line) -> bool
{
    auto end = this->buffer.find("\r\n");
    while (end == std::string::npos)
    {
        if (!this->fill(limit))
        {
            return false;
        }
        end = this->buffer.find("\r\n");
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
}

auto connection::read(milliseconds limit, bool is_response) -> std::optional<message>
{
    message result;
    if (!this->read_line(limit, result.first_line))
    {
        return std::nullopt;
    }
    std::string line;
    while (true)
    {
        if (!this->read_line(limit, line))
        {
            return std::nullopt;
        }
        if (line.empty())
        {
            break;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        result.fields[to_lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
    }
    const auto take = [&](std::size_t count)
    {
        while (this->buffer.size() < count)
        {
            if (!this->fill(limit))
            {
                result.body.append(this->buffer);
                this->buffer.clear();
                return false;
            }
        }
        result.body.append(this->buffer, 0, count);
        this->buffer.erase(0, count);
        return true;
    };
    if (result.field("transfer-encoding") == "chunked")
    {
        while (this->read_line(limit, line))
        {
            const auto size = std::strtoul(line.c_str(), nullptr, 16);
            if ((size > 0 && !take(size)) || !this->read_line(limit, line))
            {
                return result;
            }
            if (size == 0)
            {
                result.is_complete = true;
                return result;
            }
        }
        return result;
    }
    if (result.fields.contains("content-length") || !is_response)
    {
        result.is_complete =
            take(std::strtoul(result.field("content-length").c_str(), nullptr, 10));
        return result;
    }
    while (this->fill(limit))
    {
    }
    result.body = std::exchange(this->buffer, {});
    result.is_complete = true;
    return result;
}

auto connection::write(const std::string& bytes) -> bool
{
    std::size_t written = 0;
    while (written < bytes.size())
    {
        const auto count =
            ::send(this->descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

auto connection::close() -> void
{
    if (this->descriptor >= 0)
    {
        ::close(this->descriptor);
        this->descriptor = -1;
    }
}

auto connection::read_slowly(std::size_t bytes, milliseconds pause) -> void
{
    this->read_size = bytes;
    this->read_pause = pause;
}

auto connect_to(const std::string& address, std::uint16_t port, link_options options)
    -> std::unique_ptr<connection>
{
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.segment_bytes > 0)
    {
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &options.segment_bytes, sizeof(int));
    }
    if (options.receive_bytes > 0)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &options.receive_bytes, sizeof(int));
    }
    const auto target = to_address(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<connection>(descriptor);
}

auto ask(const std::string& address, std::uint16_t port, const std::string& request,
         milliseconds limit) -> std::optional<message>
{
    const auto link = connect_to(address, port);
    if (!link || !link->write(request))
    {
        return std::nullopt;
    }
    return link->read(limit, true);
}

server::server(const std::string& address, handler serve_connection)
    : descriptor(bind_to(address, 0)), serve(std::move(serve_connection))
{
    if (this->descriptor < 0 || ::listen(this->descriptor, 512) != 0)
    {
        throw std::runtime_error("cannot listen at " + address);
    }
    this->bound_port = port_of(this->descriptor);
    this->acceptor = std::thread(
        [this]
        {
            while (!this->stopping)
            {
                pollfd waiting{this->descriptor, POLLIN, 0};
                if (::poll(&waiting, 1, 50) <= 0)
                {
                    continue;
                }
                const auto accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                {
                    continue;
                }
                const int on = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                // The threads end with the process.
                std::thread(
                    [serve = this->serve, accepted]
                    {
                        connection link(accepted);
                        serve(link);
                    })
                    .detach();
            }
        });
}

server::~server()
{
    this->stopping = true;
    this->acceptor.join();
    ::close(this->descriptor);
}

auto free_ports(const std::vector<std::string>& addresses, int count) -> std::uint16_t
{
    for (int attempt = 0; attempt < 200; ++attempt)
    {
        const auto probe = bind_to(addresses.front(), 0);
        const auto first = port_of(probe);
        ::close(probe);
        auto all_free = first < 65'000;
        for (const auto& address : addresses)
        {
            for (int offset = 0; all_free && offset < count; ++offset)
            {
                const auto bound = bind_to(address, static_cast<std::uint16_t>(first + offset));
                all_free = bound >= 0;
                ::close(bound);
            }
        }
        if (all_free)
        {
            return first;
        }
    }
    throw std::runtime_error("no free ports");
}

auto response(int status, const std::string& fields, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
