#include "sockets.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>

namespace review
{

namespace
{

auto to_address(const std::string& address, std::uint16_t port) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

auto apply(int descriptor, socket_options options) -> void
{
    if (options.receive_buffer > 0)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof(int));
    }
    if (options.segment > 0)
    {
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof(int));
    }
}

auto remaining(std::chrono::steady_clock::time_point until) -> milliseconds
{
    const auto left = std::chrono::ceil<milliseconds>(until - std::chrono::steady_clock::now());
    return std::max(left, milliseconds(0));
}

auto bind_socket(int type, const std::string& address, std::uint16_t port) -> int
{
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const auto target = to_address(address, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

record::record(const std::string& path) : file(path), began(std::chrono::steady_clock::now())
{
}

auto record::write(const std::string& line) -> void
{
    const auto since =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - this->began);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", static_cast<double>(since.count()) / 1000.0);
    const std::lock_guard lock(this->mutex);
    this->file << time.data() << line << '\n' << std::flush;
}

connection::~connection()
{
    this->close();
}

connection::connection(connection&& other) noexcept
    : descriptor(std::exchange(other.descriptor, -1)), buffer(std::move(other.buffer)),
      reset_seen(other.reset_seen), ended(other.ended)
{
}

auto connection::operator=(connection&& other) noexcept -> connection&
{
    if (this != &other)
    {
        this->close();
        this->descriptor = std::exchange(other.descriptor, -1);
        this->buffer = std::move(other.buffer);
        this->reset_seen = other.reset_seen;
        this->ended = other.ended;
    }
    return *this;
}

auto connection::send(std::string_view bytes) -> bool
{
    while (!bytes.empty())
    {
        const auto count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

auto connection::fill(milliseconds limit) -> bool
{
    pollfd wanted{this->descriptor, POLLIN, 0};
    if (this->descriptor < 0 || ::poll(&wanted, 1, static_cast<int>(limit.count())) <= 0)
    {
        return false;
    }
    std::array<char, 65'536> bytes{};
    const auto count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0)
    {
        this->ended = true;
        this->reset_seen = count < 0;
        return false;
    }
    this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

auto connection::read_until(std::string_view text, milliseconds limit) -> std::optional<std::string>
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (true)
    {
        const auto found = this->buffer.find(text);
        if (found != std::string::npos)
        {
            auto result = this->buffer.substr(0, found + text.size());
            this->buffer.erase(0, result.size());
            return result;
        }
        if (!this->fill(remaining(until)))
        {
            return std::nullopt;
        }
    }
}

auto connection::read_exactly(std::size_t count, milliseconds limit) -> std::optional<std::string>
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (this->buffer.size() < count)
    {
        if (!this->fill(remaining(until)))
        {
            return std::nullopt;
        }
    }
    auto result = this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return result;
}

auto connection::read_some(std::size_t count, milliseconds limit) -> std::string
{
    if (this->buffer.empty() && !this->fill(limit))
    {
        return {};
    }
    auto result = this->buffer.substr(0, count);
    this->buffer.erase(0, result.size());
    return result;
}

auto connection::wait_closed(milliseconds limit) -> bool
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!this->ended && remaining(until).count() > 0)
    {
        this->buffer.clear();
        static_cast<void>(this->fill(remaining(until)));
    }
    return this->ended;
}

auto connection::close() -> void
{
    if (this->descriptor >= 0)
    {
        ::close(std::exchange(this->descriptor, -1));
    }
}

auto connection::reset() -> void
{
    const linger at_once{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    this->close();
}

auto connect_to(const std::string& address, std::uint16_t port, socket_options options)
    -> std::optional<connection>
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    apply(descriptor, options);
    const auto target = to_address(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0)
    {
        ::close(descriptor);
        return std::nullopt;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection(descriptor);
}

auto message::field(std::string_view name) const -> std::string
{
    for (const auto& [known, value] : this->fields)
    {
        if (known.size() == name.size() &&
            ::strncasecmp(known.data(), name.data(), name.size()) == 0)
        {
            return value;
        }
    }
    return {};
}

auto message::word(std::size_t position) const -> std::string
{
    std::size_t begin = 0;
    for (; position > 0 && begin != std::string::npos; --position)
    {
        begin = this->first_line.find(' ', begin);
        begin = begin == std::string::npos ? begin : begin + 1;
    }
    return begin == std::string::npos
               ? std::string()
               : this->first_line.substr(begin, this->first_line.find(' ', begin) - begin);
}

auto read_head(connection& peer, milliseconds limit) -> std::optional<message>
{
    const auto text = peer.read_until("\r\n\r\n", limit);
    if (!text)
    {
        return std::nullopt;
    }
    message result;
    auto begin = text->find("\r\n");
    result.first_line = text->substr(0, begin);
    for (begin += 2; begin + 2 < text->size();)
    {
        const auto end = text->find("\r\n", begin);
        const auto line = text->substr(begin, end - begin);
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        result.fields.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
        begin = end + 2;
    }
    return result;
}

auto read_request(connection& peer, milliseconds limit) -> std::optional<message>
{
    auto request = read_head(peer, limit);
    const auto length = request ? request->field("Content-Length") : std::string();
    if (!length.empty())
    {
        auto body = peer.read_exactly(std::stoul(length), limit);
        if (!body)
        {
            return std::nullopt;
        }
        request->body = std::move(*body);
    }
    return request;
}

auto answer::status() const -> int
{
    const auto code = this->head.word(1);
    return code.empty() ? 0 : std::atoi(code.c_str());
}

auto to_text(answer_end end) -> std::string
{
    switch (end)
    {
    case answer_end::complete:
        return "complete";
    case answer_end::cut:
        return "cut";
    case answer_end::none:
        return "no answer";
    case answer_end::late:
        return "late";
    }
    return {};
}

auto read_answer(connection& peer, milliseconds limit, const std::function<void(std::size_t)>& pace)
    -> answer
{
    const auto until = std::chrono::steady_clock::now() + limit;
    const auto after_end = [&](answer_end kind)
    { return peer.has_ended() ? kind : answer_end::late; };
    answer result;
    const auto head = read_head(peer, limit);
    if (!head)
    {
        result.end = after_end(answer_end::none);
        return result;
    }
    result.head = *head;
    const auto take = [&](std::size_t count) -> bool
    {
        while (count > 0)
        {
            const auto some = peer.read_some(count, remaining(until));
            if (some.empty())
            {
                return false;
            }
            count -= some.size();
            result.body.append(some);
            if (pace)
            {
                pace(some.size());
            }
        }
        return true;
    };
    if (const auto length = head->field("Content-Length"); !length.empty())
    {
        result.end = take(std::stoul(length)) ? answer_end::complete : after_end(answer_end::cut);
        return result;
    }
    while (true)
    {
        const auto line = peer.read_until("\r\n", remaining(until));
        const auto size = line ? std::stoul(*line, nullptr, 16) : 0;
        if (!line || !take(size) || !peer.read_until("\r\n", remaining(until)))
        {
            result.end = after_end(answer_end::cut);
            return result;
        }
        if (size == 0)
        {
            result.end = answer_end::complete;
            return result;
        }
    }
}

auto chunk(std::string_view bytes) -> std::string
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return std::string(size.data()).append(bytes).append("\r\n");
}

listener::listener(const std::string& address, handler serve, socket_options options)
    : descriptor(bind_socket(SOCK_STREAM, address, 0)), serve(std::move(serve))
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    apply(this->descriptor, options);
    if (::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&bound), &size) != 0 ||
        ::listen(this->descriptor, 512) != 0)
    {
        throw std::runtime_error("cannot listen on " + address);
    }
    this->bound_port = ntohs(bound.sin_port);
    this->acceptor = std::thread([this] { this->run(); });
}

listener::~listener()
{
    this->stopping = true;
    ::shutdown(this->descriptor, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->descriptor);
}

auto listener::run() -> void
{
    while (!this->stopping)
    {
        const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
        {
            continue;
        }
        const int on = 1;
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        // Detached: the process ends with the case, whatever these threads wait for.
        std::thread(
            [handle = this->serve, accepted]
            {
                connection peer(accepted);
                handle(peer);
            })
            .detach();
    }
}

auto find_free_ports(int addresses, int count) -> std::uint16_t
{
    constexpr std::uint16_t lowest = 20'000;
    constexpr std::uint16_t highest = 30'000;
    const auto begin = static_cast<int>(::getpid() * 37 % (highest - lowest));
    for (int step = 0; step < highest - lowest; step += count)
    {
        const auto first = static_cast<std::uint16_t>(lowest + (begin + step) % (highest - lowest));
        std::vector<int> held;
        bool all_free = true;
        for (int place = 0; place < addresses * count; ++place)
        {
            const auto address = "127.0.0." + std::to_string(place / count + 1);
            const auto port = static_cast<std::uint16_t>(first + place % count);
            held.push_back(bind_socket(SOCK_STREAM, address, port));
            held.push_back(bind_socket(SOCK_DGRAM, address, port));
        }
        for (const int one : held)
        {
            all_free = all_free && one >= 0;
            if (one >= 0)
            {
                ::close(one);
            }
        }
        if (all_free)
        {
            return first;
        }
    }
    throw std::runtime_error("no free ports");
}

} // namespace review
