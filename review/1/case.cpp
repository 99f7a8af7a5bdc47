// A runner in trouble sends empty lines without end in the body of an answer.

#include "../stand_in/stand_in.hpp"

#include <cstdio>
#include <cstdlib>

using namespace review;

namespace
{

constexpr double trouble_at_s = 8.0;
constexpr double end_s = 40.0;
constexpr int timeout_ms = 800; ///< of route read
constexpr int events = 10;

struct counts
{
    std::atomic<int> sent = 0;
    std::atomic<int> whole = 0;
    std::atomic<int> unanswered_at_timeout = 0;
    std::atomic<int> unanswered_later = 0; ///< half a second after the timeout
    std::atomic<int> readiness_missed = 0;
};

auto send_events(connection& peer, const message& request) -> bool
{
    if (!peer.send("HTTP/1.1 200 OK\r\n" + answer_fields(request) +
                   "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
    {
        return false;
    }
    const auto last = request.field("Last-Event-Id");
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= events; ++event)
    {
        std::this_thread::sleep_for(20ms);
        if (!peer.send(chunk(event_text(event))))
        {
            return false;
        }
    }
    return peer.send("0\r\n\r\n");
}

/// Line feeds, or for a comparison what BYTES says: comments (an empty comment line as an event) or
/// random.
auto bytes_without_end() -> std::string
{
    const auto* const wanted = std::getenv("BYTES");
    const std::string kind = wanted == nullptr ? "lines" : wanted;
    std::string bytes;
    while (bytes.size() < 16'383)
    {
        bytes += kind == "comments" ? ":\n\n"
                 : kind == "random" ? std::string(1, static_cast<char>(std::rand() % 256))
                                    : "\n";
    }
    return bytes;
}

/// Until the caller closes the connection.
auto send_empty_lines(connection& peer, const message& request, recorder& record) -> void
{
    const auto begun = now_s();
    const auto lines = chunk(bytes_without_end());
    std::size_t bytes = 0;
    if (peer.send("HTTP/1.1 200 OK\r\n" + answer_fields(request) +
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
    {
        while (peer.send(lines))
        {
            bytes += lines.size();
        }
    }
    record.line("runner in trouble: the caller has closed after " +
                std::to_string(now_s() - begun) + " s and " + std::to_string(bytes) + " bytes");
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 3)
    {
        return 2;
    }
    const std::string folder = argv[1];
    recorder record(argv[2]);
    const auto block = find_block();
    store platform(block + ".1");
    platform.put("keyed.op", "config", configuration_text(1));

    std::atomic<bool> wants_trouble = false;
    counts seen;
    const auto run_stream = [&](runner& self, connection& peer, const message& request)
    {
        record.line("run " + request.field("Poplardrift-Attempt-Id") + " at " + self.get_id());
        if (wants_trouble.exchange(false))
        {
            send_empty_lines(peer, request, record);
            return false;
        }
        return send_events(peer, request);
    };
    const auto run_plain = [&](runner&, connection& peer, const message& request)
    {
        std::this_thread::sleep_for(30ms);
        return peer.send(make_response("200 OK", answer_fields(request), "booking"));
    };
    std::vector<std::unique_ptr<runner>> runners;
    for (int number = 0; number < 3; ++number)
    {
        runners.push_back(std::make_unique<runner>(
            platform, block + "." + std::to_string(40 + number), "llm", "z-a", run_stream));
        runners.push_back(std::make_unique<runner>(
            platform, block + "." + std::to_string(60 + number), "app", "z-a", run_plain));
    }
    const std::string ip = block + ".10";
    router host(folder, "edge-1", ip, "z-a");
    host.write_settings(find_ports({ip}), platform.get_address(), {ip});
    host.start();
    for (int tries = 0; host.readiness() != 200; ++tries)
    {
        if (tries == 100)
        {
            record.line("the router does not become ready");
            return 2;
        }
        std::this_thread::sleep_for(50ms);
    }
    sleep_until_s(3.0); // contact_ms

    std::vector<std::thread> clients;
    std::atomic<int> running = 0;
    const auto spawn = [&](auto work)
    {
        ++running;
        std::thread(
            [&running, work]
            {
                work();
                --running;
            })
            .detach();
    };
    bool trouble_set = false;
    double next_stream = now_s();
    double next_probe = now_s();
    for (double at = now_s(); at < end_s; at += 0.1)
    {
        sleep_until_s(at);
        if (has_trouble() && !trouble_set && at >= trouble_at_s)
        {
            trouble_set = true;
            wants_trouble = true;
            record.line("the next stream meets the runner in trouble");
        }
        if (at >= next_probe)
        {
            next_probe = at + 1.0;
            spawn(
                [&]
                {
                    const auto status = host.readiness();
                    if (status != 200)
                    {
                        ++seen.readiness_missed;
                    }
                    record.line("readiness " + std::to_string(status));
                });
        }
        if (at >= next_stream)
        {
            next_stream = at + 0.5;
            spawn(
                [&]
                {
                    const auto id = fresh_id();
                    const auto got = call(host.get_callers(),
                                          request_text("POST", "/resumable/x", id, 12'000,
                                                       "5c1e07a2:800,91bd3f06:410," + id + ":250"),
                                          12'500ms);
                    record.line("stream " + id + " status " + std::to_string(got.status) +
                                (got.complete ? " whole" : " not whole") + " after " +
                                std::to_string(got.ended_s - got.sent_s) + " s");
                });
        }
        spawn(
            [&]
            {
                const auto id = fresh_id();
                ++seen.sent;
                const auto got = call(host.get_callers(),
                                      request_text("GET", "/read/x", id, 1'500, ""), 1'500ms);
                // A connection that ends sooner has no answer, but does not wait for one.
                const auto took_s = got.ended_s - got.sent_s;
                if (took_s > timeout_ms / 1000.0)
                {
                    ++seen.unanswered_at_timeout;
                    if (took_s > timeout_ms / 1000.0 + 0.5)
                    {
                        ++seen.unanswered_later;
                    }
                }
                if (got.complete && got.status == 200)
                {
                    ++seen.whole;
                }
                record.line("read " + id + " status " + std::to_string(got.status) + " after " +
                            std::to_string(took_s) + " s");
            });
    }
    while (running > 0)
    {
        std::this_thread::sleep_for(10ms);
    }
    const auto ended = host.has_ended();
    const auto broken = 2 * seen.unanswered_later > seen.unanswered_at_timeout;
    const auto summary =
        "sent " + std::to_string(seen.sent) + ", whole " + std::to_string(seen.whole) +
        ", without an answer at timeout_ms " + std::to_string(seen.unanswered_at_timeout) +
        ", of these still half a second later " + std::to_string(seen.unanswered_later) +
        ", readiness questions without a 200 " + std::to_string(seen.readiness_missed) +
        (ended ? ", the router has ended by itself" : "");
    record.line(summary);
    record.line(broken ? "CONFIG is broken" : "the rules held");
    std::printf("%s\n%s\n", summary.c_str(), broken ? "CONFIG is broken" : "held");
    std::fflush(stdout);
    host.kill();
    for (const auto& item : runners)
    {
        item->stop();
    }
    return broken ? 1 : 0;
}
