#include "soak_upstream.hpp"

#include "http/message.hpp"

#include <thread>

namespace poplardrift::soak
{

namespace
{

using namespace std::chrono_literals;

const std::string seal = "Poplardrift-Runner-Seal: s\r\n";
constexpr auto event_gap = 20ms;
constexpr auto hang_time = 2500ms;
constexpr std::size_t zones = 2;

auto field_of(const std::string& text, const std::string& name) -> std::string
{
    const auto at = text.find("\r\n" + name + ": ");
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + name.size() + 4;
    return text.substr(begin, text.find("\r\n", begin) - begin);
}

auto chunk(const std::string& bytes) -> std::string
{
    std::string out;
    http::append_chunk(out, bytes);
    return out;
}

auto echo_of(const std::string& id) -> std::string
{
    return "Poplardrift-Attempt-Id: " + id + "\r\n";
}

auto with_length(const std::string& status, const std::string& fields, const std::string& body)
    -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

auto event_text(const std::string& id, int event) -> std::string
{
    return "id: " + std::to_string(event) + "\ndata: " + id + " " + std::to_string(event) + "\n\n";
}

auto whole_body(const std::string& id) -> std::string
{
    return "done " + id + "\n";
}

soak_upstream::soak_upstream(boost::asio::io_context& io, request_book& book, std::size_t number,
                             std::uint64_t seed, run_handler on_run)
    : book(book), number(number), on_run(std::move(on_run)), random(seed),
      server([this](tests::peer_connection& peer) { this->serve(peer); }),
      link(io, this->server.address())
{
}

auto soak_upstream::name() const -> std::string
{
    return "u" + std::to_string(this->number);
}

auto soak_upstream::get_zone() const -> std::string
{
    return this->number % zones == 0 ? "z-a" : "z-b";
}

auto soak_upstream::draw(int most) -> int
{
    const std::lock_guard lock(this->random_mutex);
    return static_cast<int>(this->random() % static_cast<std::uint64_t>(most));
}

auto soak_upstream::draw_manner() -> manner
{
    if (!this->misbehaving)
    {
        return manner::answer;
    }
    const auto point = this->draw(100);
    return point < 4    ? manner::slow
           : point < 8  ? manner::fail
           : point < 11 ? manner::decline
           : point < 14 ? manner::break_off
           : point < 15 ? manner::hang
                        : manner::answer;
}

auto soak_upstream::parse(const std::string& text) -> request
{
    request asked;
    asked.id = field_of(text, "Poplardrift-Attempt-Id");
    asked.expected_upstream = field_of(text, "Poplardrift-Expect-Runner");
    const auto path = text.find(' ') + 1;
    asked.path = text.substr(path, text.find(' ', path) - path);
    const auto resume = field_of(text, "Last-Event-Id");
    asked.resume_after = resume.empty() ? 0 : std::stoi(resume);
    return asked;
}

auto soak_upstream::serve(tests::peer_connection& peer) -> void
{
    for (auto text = peer.read_request(); !text.empty(); text = peer.read_request())
    {
        const auto asked = parse(text);
        const auto echo = echo_of(asked.id);
        if (asked.expected_upstream != this->name())
        {
            peer.send(with_length("421 Misdirected Request", echo, ""));
            continue;
        }
        const auto way = this->draw_manner();
        if (way == manner::decline)
        {
            peer.send(with_length("503 Service Unavailable",
                                  echo + "Poplardrift-Not-Executed: 1\r\n", ""));
            continue;
        }
        if (!this->run(peer, asked, way))
        {
            return;
        }
    }
}

auto soak_upstream::wait(const request& asked, manner way) -> void
{
    if (way == manner::hang)
    {
        this->book.on_upstream_failed(asked.id);
        std::this_thread::sleep_for(hang_time);
    }
    else if (way == manner::slow)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(200 + this->draw(400)));
    }
}

auto soak_upstream::run(tests::peer_connection& peer, const request& asked, manner way) -> bool
{
    this->on_run(asked.id, this->number);
    this->wait(asked, way);
    if (way == manner::fail || way == manner::break_off)
    {
        this->book.on_upstream_failed(asked.id);
    }
    const auto fields = seal + echo_of(asked.id);
    if (way == manner::fail)
    {
        peer.send(with_length("500 Internal Server Error", fields, "oops"));
        return true;
    }
    if (asked.path.find("/stream") == 0)
    {
        return this->answer_stream(peer, asked, way == manner::break_off);
    }
    if (way == manner::break_off)
    {
        peer.send("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 100\r\n\r\ndo");
        peer.reset();
        return false;
    }
    this->answer_whole(peer, asked);
    return true;
}

auto soak_upstream::answer_whole(tests::peer_connection& peer, const request& asked) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(this->draw(20)));
    peer.send(with_length("200 OK", seal + echo_of(asked.id), whole_body(asked.id)));
}

auto soak_upstream::answer_stream(tests::peer_connection& peer, const request& asked, bool breaks)
    -> bool
{
    peer.send("HTTP/1.1 200 OK\r\n" + seal + echo_of(asked.id) +
              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto broken_at = breaks ? 1 + this->draw(stream_events) : stream_events + 1;
    for (auto event = asked.resume_after + 1; event <= stream_events; ++event)
    {
        const auto text = event_text(asked.id, event);
        if (event >= broken_at)
        {
            peer.send(chunk(text.substr(0, text.size() / 2)));
            peer.reset();
            return false;
        }
        peer.send(chunk(text));
        std::this_thread::sleep_for(event_gap);
    }
    peer.send(std::string(http::last_chunk));
    return true;
}

} // namespace poplardrift::soak
