#include "soak_upstream.hpp"

#include "http/message.hpp"

#include <array>
#include <functional>
#include <thread>

namespace poplardrift::soak
{

namespace
{

using namespace std::chrono_literals;

const std::string seal_field = "Poplardrift-Runner-Seal: s\r\n";
constexpr auto event_interval = 20ms;
constexpr auto hang_time = 2500ms;
constexpr std::size_t zone_count = 2;

auto find_field(const std::string& text, const std::string& name) -> std::string
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

auto attempt_id_field(const std::string& id) -> std::string
{
    return "Poplardrift-Attempt-Id: " + id + "\r\n";
}

auto make_response(const std::string& status, const std::string& fields, const std::string& body)
    -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Status of a failure after the request has run; callers take three of the four as the promise
/// that it has not.
auto failure_status(const std::string& id) -> std::string
{
    static const std::array<std::string, 4> statuses = {
        "500 Internal Server Error", "503 Service Unavailable", "429 Too Many Requests",
        "408 Request Timeout"};
    return statuses[std::hash<std::string>()(id) % statuses.size()];
}

} // namespace

auto event_text(const std::string& id, int event) -> std::string
{
    return "id: " + std::to_string(event) + "\ndata: " + id + " " + std::to_string(event) + "\n\n";
}

auto response_body(const std::string& id) -> std::string
{
    return "done " + id + "\n";
}

soak_upstream::soak_upstream(boost::asio::io_context& io, request_tracker& tracker,
                             std::size_t number, std::uint64_t seed, upstream_events events,
                             notice_monitor& notices)
    : tracker(tracker), number(number), events(std::move(events)), notices(notices), random(seed),
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
    return this->number % zone_count == 0 ? "z-a" : "z-b";
}

auto soak_upstream::draw(int limit) -> int
{
    const std::lock_guard lock(this->random_mutex);
    return static_cast<int>(this->random() % static_cast<std::uint64_t>(limit));
}

auto soak_upstream::draw_response_mode() -> response_mode
{
    if (!this->misbehaving)
    {
        return response_mode::answer;
    }
    const auto point = this->draw(100);
    return point < 4    ? response_mode::slow
           : point < 8  ? response_mode::fail
           : point < 11 ? response_mode::decline
           : point < 14 ? response_mode::break_off
           : point < 15 ? response_mode::hang
           : point < 17 ? response_mode::pause
                        : response_mode::answer;
}

auto soak_upstream::parse(const std::string& text) -> request
{
    request received;
    received.id = find_field(text, "Poplardrift-Attempt-Id");
    received.expected_upstream = find_field(text, "Poplardrift-Expect-Runner");
    received.prompt = find_field(text, "Poplardrift-Prompt-Prefix");
    const auto path = text.find(' ') + 1;
    received.path = text.substr(path, text.find(' ', path) - path);
    const auto resume = find_field(text, "Last-Event-Id");
    received.resume_after = resume.empty() ? 0 : std::stoi(resume);
    return received;
}

auto soak_upstream::serve(tests::peer_connection& peer) -> void
{
    for (auto text = peer.read_request(); !text.empty(); text = peer.read_request())
    {
        const auto received = parse(text);
        const auto echo = attempt_id_field(received.id);
        if (received.expected_upstream != this->name())
        {
            peer.send(make_response("421 Misdirected Request", echo, ""));
            continue;
        }
        const auto mode = this->draw_response_mode();
        if (mode == response_mode::decline || mode == response_mode::pause)
        {
            this->decline(peer, received, mode == response_mode::pause);
            continue;
        }
        if (!this->run(peer, received, mode))
        {
            return;
        }
    }
}

auto soak_upstream::decline(tests::peer_connection& peer, const request& received, bool wants_pause)
    -> void
{
    auto fields = attempt_id_field(received.id) + "Poplardrift-Not-Executed: 1\r\n";
    if (wants_pause)
    {
        const auto seconds = 1 + this->draw(2);
        fields += "Retry-After: " + std::to_string(seconds) + "\r\n";
        this->notices.on_pause_sent(this->number, received.id, std::chrono::seconds(seconds));
    }
    peer.send(make_response("503 Service Unavailable", fields, ""));
}

auto soak_upstream::leaving_field(const request& received) -> std::string
{
    const auto start = this->events.get_leaving_start(this->number);
    if (start == 0)
    {
        return {};
    }
    this->notices.on_leaving_sent(this->number, start, received.id);
    return "Server-Leaving: 1\r\n";
}

auto soak_upstream::delay_response(const request& received, response_mode mode) -> void
{
    if (mode == response_mode::hang)
    {
        this->tracker.on_upstream_failed(received.id);
        std::this_thread::sleep_for(hang_time);
    }
    else if (mode == response_mode::slow)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(200 + this->draw(400)));
    }
}

auto soak_upstream::run(tests::peer_connection& peer, const request& received, response_mode mode)
    -> bool
{
    this->events.on_run(received.id, this->number);
    const auto fatal_part = this->events.get_fatal_part();
    if (!fatal_part.empty() && received.prompt.find(fatal_part) != std::string::npos)
    {
        this->tracker.on_upstream_failed(received.id);
        this->events.on_fatal_request(received.id, this->number);
        return false;
    }
    this->delay_response(received, mode);
    if (mode == response_mode::fail || mode == response_mode::break_off)
    {
        this->tracker.on_upstream_failed(received.id);
    }
    const auto fields = seal_field + attempt_id_field(received.id) + this->leaving_field(received);
    if (mode == response_mode::fail)
    {
        peer.send(make_response(failure_status(received.id), fields, "oops"));
        return true;
    }
    if (received.path.find("/stream") == 0)
    {
        return this->send_stream(peer, received, mode == response_mode::break_off);
    }
    if (mode == response_mode::break_off)
    {
        peer.send("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 100\r\n\r\ndo");
        peer.reset();
        return false;
    }
    this->send_whole_response(peer, received);
    return true;
}

auto soak_upstream::send_whole_response(tests::peer_connection& peer, const request& received)
    -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(this->draw(20)));
    peer.send(make_response("200 OK", seal_field + attempt_id_field(received.id),
                            response_body(received.id)));
}

auto soak_upstream::send_stream(tests::peer_connection& peer, const request& received,
                                bool breaks_off) -> bool
{
    peer.send("HTTP/1.1 200 OK\r\n" + seal_field + attempt_id_field(received.id) +
              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto break_event = breaks_off ? 1 + this->draw(stream_events) : stream_events + 1;
    for (auto event = received.resume_after + 1; event <= stream_events; ++event)
    {
        const auto text = event_text(received.id, event);
        if (event >= break_event)
        {
            peer.send(chunk(text.substr(0, text.size() / 2)));
            peer.reset();
            return false;
        }
        peer.send(chunk(text));
        std::this_thread::sleep_for(event_interval);
    }
    peer.send(std::string(http::last_chunk));
    return true;
}

} // namespace poplardrift::soak
