#include "scripted_peers.hpp"

#include "http/message_reader.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <mutex>

#include <poll.h>

namespace poplardrift::tests
{

namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace
{

asio::io_context client_io;
constexpr auto read_timeout = 5000ms;
/// Reserved at the same time; far more than one test asks for.
constexpr std::size_t max_reserved_addresses = 64;

/// For times that are too short to sleep.
auto wait_busily(std::chrono::microseconds time) -> void
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end)
    {
    }
}

} // namespace

peer_connection::peer_connection(asio::ip::tcp::socket socket) : socket(std::move(socket))
{
}

auto peer_connection::read_some(std::chrono::milliseconds limit) -> bool
{
    pollfd ready{this->socket.native_handle(), POLLIN, 0};
    if (::poll(&ready, 1, static_cast<int>(limit.count())) <= 0)
    {
        return false;
    }
    std::array<char, 16'384> bytes{};
    error_code error;
    const auto count = this->socket.read_some(asio::buffer(bytes), error);
    this->buffer.append(bytes.data(), count);
    this->is_reset = this->is_reset || error == asio::error::connection_reset;
    return !error;
}

auto peer_connection::read_request() -> std::string
{
    while (true)
    {
        const auto head = this->buffer.find("\r\n\r\n");
        if (head != std::string::npos)
        {
            const auto label = this->buffer.find("Content-Length: ");
            const auto length =
                label < head ? std::stoul(this->buffer.substr(label + 16)) : std::size_t{0};
            const auto whole = head + 4 + length;
            if (this->buffer.size() >= whole)
            {
                auto message = this->buffer.substr(0, whole);
                this->buffer.erase(0, whole);
                return message;
            }
        }
        if (!this->read_some(read_timeout))
        {
            return {};
        }
    }
}

auto peer_connection::read_to_end(std::chrono::milliseconds limit) -> std::string
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end && this->read_some(limit))
    {
    }
    return std::exchange(this->buffer, {});
}

auto peer_connection::read_until(const std::string& text, std::chrono::milliseconds limit) -> bool
{
    while (this->buffer.find(text) == std::string::npos)
    {
        if (!this->read_some(limit))
        {
            return false;
        }
    }
    return true;
}

auto peer_connection::await_bytes(std::chrono::milliseconds limit) -> bool
{
    pollfd ready{this->socket.native_handle(), POLLIN, 0};
    return ::poll(&ready, 1, static_cast<int>(limit.count())) > 0;
}

auto peer_connection::read_bytes(std::size_t count, std::chrono::milliseconds limit) -> bool
{
    while (this->buffer.size() < count)
    {
        if (!this->read_some(limit))
        {
            return false;
        }
    }
    return true;
}

auto peer_connection::read_response(std::chrono::milliseconds limit) -> received_response
{
    http::response_reader reader;
    reader.next(false);
    reader.feed(std::exchange(this->buffer, {}));
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!reader.is_complete() && reader.error() == http::read_error::none)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !this->read_some(left))
        {
            break;
        }
        reader.feed(std::exchange(this->buffer, {}));
    }
    received_response response;
    response.is_complete = reader.is_complete();
    response.body = reader.take_body();
    if (reader.has_head())
    {
        response.status = reader.head().status;
        response.fields = reader.head().fields;
    }
    return response;
}

auto peer_connection::send(const std::string& bytes) -> bool
{
    error_code error;
    asio::write(this->socket, asio::buffer(bytes), error);
    return !error;
}

auto peer_connection::close() -> void
{
    error_code ignored_error;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored_error);
    this->socket.close(ignored_error);
}

auto peer_connection::shut_down_sending() -> void
{
    error_code ignored_error;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored_error);
}

auto peer_connection::reset() -> void
{
    error_code ignored_error;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored_error);
    this->socket.close(ignored_error);
}

scripted_server::scripted_server(script serve)
    : acceptor(this->io, {asio::ip::address_v4::loopback(), 0}), serve(std::move(serve))
{
    this->accept_thread = std::thread([this] { this->run(); });
}

scripted_server::~scripted_server()
{
    this->stopping = true;
    error_code ignored_error;
    asio::ip::tcp::socket wake(client_io);
    wake.connect(this->address(), ignored_error);
    this->accept_thread.join();
    for (auto& thread : this->threads)
    {
        thread.join();
    }
}

auto scripted_server::address() const -> asio::ip::tcp::endpoint
{
    return this->acceptor.local_endpoint();
}

auto scripted_server::run() -> void
{
    while (true)
    {
        error_code error;
        asio::ip::tcp::socket socket(this->io);
        this->acceptor.accept(socket, error);
        if (this->stopping)
        {
            return;
        }
        ++this->accepted;
        this->threads.emplace_back([this, connection = std::make_shared<peer_connection>(
                                              std::move(socket))] { this->serve(*connection); });
    }
}

auto respond_and_reset(peer_connection& peer, const std::string& response, response_end end,
                       std::size_t request_bytes, std::size_t number) -> void
{
    constexpr std::size_t delays = 20;
    constexpr auto delay_step = 10us;
    constexpr std::size_t part_bytes = 65'536;
    const std::array<std::size_t, 4> parts = {0, part_bytes, request_bytes / 2,
                                              request_bytes - part_bytes};
    // A connection that ends before the other side has seen it established is none to that side.
    static_cast<void>(peer.await_bytes(read_timeout));
    static_cast<void>(peer.read_bytes(parts[number % parts.size()], read_timeout));
    peer.send(response);
    if (end == response_end::end_then_reset)
    {
        peer.shut_down_sending();
    }
    wait_busily(number / parts.size() % delays * delay_step);
    peer.reset();
}

auto connect_to(const asio::ip::tcp::endpoint& address) -> peer_connection
{
    asio::ip::tcp::socket socket(client_io);
    error_code ignored_error;
    socket.connect(address, ignored_error);
    return peer_connection(std::move(socket));
}

auto free_address() -> asio::ip::tcp::endpoint
{
    // Bound, but not listening: the kernel gives the port to no other socket that asks for any
    // port, while a listener that reuses addresses may still open on it.
    static std::mutex mutex;
    static std::deque<asio::ip::tcp::acceptor> reserved;
    const std::lock_guard lock(mutex);
    auto& acceptor = reserved.emplace_back(client_io, asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind({asio::ip::address_v4::loopback(), 0});
    const auto address = acceptor.local_endpoint();
    if (reserved.size() > max_reserved_addresses)
    {
        reserved.pop_front();
    }
    return address;
}

} // namespace poplardrift::tests
