// Requests that share a part of their prompts end each runner that begins to answer them, beside
// sound requests. The routers put the part into quarantine and then take it out again.

#include "fleet.hpp"

#include <algorithm>
#include <memory>

namespace
{

using namespace review;
using std::chrono::steady_clock;

constexpr int host_count = 4;
constexpr int runner_count = 12;
constexpr int slots = 64;
constexpr auto first_event = milliseconds(250); ///< from a request's arrival at a runner
constexpr auto event_interval = milliseconds(50);
constexpr int event_count = 15;
constexpr auto restart_time = milliseconds(3000);
constexpr int deadline_ms = 12'000;
constexpr auto sound_interval = milliseconds(40); ///< on each host
constexpr auto bad_interval = milliseconds(500);  ///< on one host after the other
constexpr int subject_count = 20;
constexpr auto warm_up = milliseconds(3000); ///< only sound requests come
constexpr auto bad_time = milliseconds(12'000);
constexpr int max_trials = 5;                ///< each with new routers, runners and a new bad part
constexpr auto contact = milliseconds(3000); ///< bounds.contact_ms
constexpr std::size_t max_sends = 3;         ///< the rule is broken by more
constexpr std::size_t counted_ends = 5;      ///< the rule counts from this end on
constexpr const char* system_part = "5c1e07a2:512";

/// What runners see of requests with the bad part.
class observations final
{
public:
    explicit observations(record& log) : log(log) {}

    auto add_arrival(const std::string& runner, const std::string& id) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->arrivals.push_back(steady_clock::now());
        this->log.write("runner " + runner + ": gets " + id);
    }

    auto add_end(const std::string& runner) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->ends.push_back(steady_clock::now());
        this->log.write("runner " + runner + ": ends");
    }

    [[nodiscard]] auto count_ends() -> std::size_t
    {
        const std::lock_guard lock(this->mutex);
        return this->ends.size();
    }

    /// Requests with the part that came later than `contact` after the fifth end.
    [[nodiscard]] auto count_late_arrivals() -> std::size_t
    {
        const std::lock_guard lock(this->mutex);
        if (this->ends.size() < counted_ends)
        {
            return 0;
        }
        const auto from = this->ends[counted_ends - 1] + contact;
        return static_cast<std::size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                                      [&](auto at) { return at > from; }));
    }

private:
    record& log;
    std::mutex mutex;
    std::vector<steady_clock::time_point> arrivals;
    std::vector<steady_clock::time_point> ends;
};

/// A model runner. A request with the bad part ends it when its answer would begin; then it is back
/// with a new id after some seconds.
class runner final
{
public:
    runner(int number, fleet& system, observations& seen, std::string watched_part, bool is_bad)
        : number(number), system(system), seen(seen), watched_part(std::move(watched_part)),
          is_bad(is_bad), server(fleet::address, [this](connection& peer) { this->serve(peer); })
    {
        this->start();
    }

    /// Starts it again when it is due.
    auto update() -> void
    {
        const std::lock_guard lock(this->mutex);
        if (this->is_down && steady_clock::now() >= this->back_at)
        {
            this->is_down = false;
            this->start();
        }
    }

    /// Ends it for good.
    auto stop() -> void
    {
        const std::lock_guard lock(this->mutex);
        this->is_down = true;
    }

private:
    auto start() -> void
    {
        this->id = "i-" + std::to_string(this->number) + "-" + std::to_string(++this->starts);
        this->system.add({this->id, "model", this->server.port(), slots});
    }

    /// The id of this start; empty while the runner is down.
    auto current_id() -> std::string
    {
        const std::lock_guard lock(this->mutex);
        return this->is_down ? std::string() : this->id;
    }

    auto end(const std::string& ending) -> void
    {
        const std::lock_guard lock(this->mutex);
        if (this->is_down || this->id != ending)
        {
            return;
        }
        this->is_down = true;
        this->back_at = steady_clock::now() + restart_time;
        this->system.remove(this->id);
        this->seen.add_end(this->id);
    }

    /// Waits; false if the runner has ended meanwhile.
    auto wait(milliseconds time, const std::string& own_id) -> bool
    {
        const auto until = steady_clock::now() + time;
        while (steady_clock::now() < until)
        {
            std::this_thread::sleep_for(milliseconds(2));
            if (this->current_id() != own_id)
            {
                return false;
            }
        }
        return true;
    }

    auto serve(connection& peer) -> void
    {
        const auto own_id = this->current_id();
        while (!own_id.empty() && this->current_id() == own_id)
        {
            const auto request = read_head(peer, milliseconds(5));
            if (!request && peer.has_ended())
            {
                return;
            }
            if (request && !this->answer(peer, *request, own_id))
            {
                break;
            }
        }
        peer.reset();
    }

    /// False if the connection is to be closed.
    auto answer(connection& peer, const message& request, const std::string& own_id) -> bool
    {
        const auto length = request.field("Content-Length");
        if (!length.empty() && !peer.read_exactly(std::stoul(length), milliseconds(1000)))
        {
            return false;
        }
        const auto identity =
            "\r\nPoplardrift-Runner-Id: " + own_id + "\r\nContent-Length: 0\r\n\r\n";
        if (request.word(1).starts_with("/healthz"))
        {
            return peer.send("HTTP/1.1 200 OK" + identity);
        }
        const auto expected = request.field("Poplardrift-Expect-Runner");
        if (!expected.empty() && expected != own_id)
        {
            return peer.send("HTTP/1.1 421 Misdirected Request" + identity);
        }
        const auto attempt = request.field("Poplardrift-Attempt-Id");
        if (attempt.empty())
        {
            // The router makes no other calls.
            return peer.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
        const auto prompt = request.field("Poplardrift-Prompt-Prefix");
        const auto is_watched = prompt.find(this->watched_part) != std::string::npos;
        if (is_watched)
        {
            this->seen.add_arrival(own_id, attempt);
        }
        if (!this->wait(first_event, own_id))
        {
            return false;
        }
        if (is_watched && this->is_bad)
        {
            this->end(own_id);
            return false;
        }
        auto is_sent = peer.send(success_head(request) + "Content-Type: text/event-stream\r\n"
                                                         "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; is_sent && event <= event_count; ++event)
        {
            const auto text = std::to_string(event);
            is_sent = peer.send(chunk("id: " + text + "\ndata: e" + text + "\n\n")) &&
                      this->wait(event_interval, own_id);
        }
        return is_sent && peer.send("0\r\n\r\n");
    }

    int number;
    fleet& system;
    observations& seen;
    std::string watched_part;
    bool is_bad;
    std::mutex mutex;
    std::string id;
    int starts = 0;
    bool is_down = false;
    steady_clock::time_point back_at;
    listener server;
};

struct outcome
{
    bool is_whole = false;
    double retry_after_s = 0;
};

class callers final
{
public:
    callers(fleet& system, const route& on, record& log) : system(system), on(on), log(log) {}

    /// One request, and one retry at the next host as PROTOCOL.md has it. True if it was answered.
    auto ask(const std::string& id, const std::string& prompt, int host) -> bool
    {
        const auto begin = steady_clock::now();
        for (int attempt = 0; attempt < 2; ++attempt)
        {
            const auto got = this->send(id + "-" + std::to_string(attempt), prompt,
                                        (host + attempt) % host_count);
            if (got.is_whole)
            {
                return true;
            }
            const auto left_s = deadline_ms / 1000.0 -
                                std::chrono::duration<double>(steady_clock::now() - begin).count();
            if (got.retry_after_s > left_s / 3)
            {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::duration<double>(got.retry_after_s));
        }
        return false;
    }

private:
    auto send(const std::string& id, const std::string& prompt, int host) -> outcome
    {
        const std::string body(800, 'p');
        auto peer = this->system.connect_caller(host);
        if (!peer ||
            !peer->send(request_head("POST", this->on, id, deadline_ms, body.size(),
                                     "Poplardrift-Model: m\r\nPoplardrift-Token-Usage: 5912,200\r\n"
                                     "Poplardrift-Prompt-Prefix: " +
                                         prompt + "\r\n") +
                        body))
        {
            return {};
        }
        const auto got = read_answer(*peer, milliseconds(deadline_ms));
        outcome result{got.end == answer_end::complete && got.status() == 200, 0};
        if (!result.is_whole)
        {
            const auto retry_after = got.head.field("Retry-After");
            result.retry_after_s = retry_after.empty() ? 0 : std::stod(retry_after);
            if (id.starts_with("bad"))
            {
                this->log.write("caller: " + id + " at host " + std::to_string(host + 1) +
                                ": status " + std::to_string(got.status()) + ", " +
                                to_text(got.end) +
                                (retry_after.empty() ? "" : ", Retry-After " + retry_after));
            }
        }
        return result;
    }

    fleet& system;
    const route& on;
    record& log;
};

/// A prompt of three parts; the last one is the request's own.
auto prompt_with(const std::string& subject, int own) -> std::string
{
    return std::string(system_part) + "," + subject + "," + std::to_string(10'000'000 + own) +
           ":400";
}

/// What a trial needs. The runners stay until the program ends, for their threads.
struct trial
{
    observations seen;
    std::unique_ptr<fleet> system;
    std::vector<std::unique_ptr<runner>> runners;

    explicit trial(record& log) : seen(log) {}
};

/// Sends sound requests, and requests with the bad part after a while. The number of sound ones
/// that were answered.
auto send_requests(trial& playing, const route& on, const std::string& bad_part, record& log) -> int
{
    callers all(*playing.system, on, log);
    std::atomic<int> sound_answered = 0;
    std::atomic<int> bad_answered = 0;
    int sound = 0;
    int bad = 0;
    std::vector<std::thread> threads;
    const auto begin = steady_clock::now();
    auto next_sound = begin;
    auto next_bad = begin + warm_up;
    while (steady_clock::now() < begin + warm_up + bad_time)
    {
        std::this_thread::sleep_for(milliseconds(1));
        const auto now = steady_clock::now();
        if (now >= next_bad)
        {
            next_bad += bad_interval;
            threads.emplace_back(
                [&, number = ++bad]
                {
                    const auto prompt = prompt_with(bad_part, 90'000 + number);
                    const auto host = number % host_count;
                    bad_answered += all.ask("bad-" + std::to_string(number), prompt, host) ? 1 : 0;
                });
        }
        if (now >= next_sound)
        {
            next_sound += sound_interval;
            for (int host = 0; host < host_count; ++host)
            {
                threads.emplace_back(
                    [&, host, number = ++sound]
                    {
                        const auto subject =
                            std::to_string(20'000'000 + number * 7 % subject_count) + ":5000";
                        const auto prompt = prompt_with(subject, number);
                        sound_answered +=
                            all.ask("sound-" + std::to_string(number), prompt, host) ? 1 : 0;
                    });
            }
        }
    }
    for (auto& one : threads)
    {
        one.join();
    }
    log.write(std::to_string(sound_answered) + " of " + std::to_string(sound) +
              " sound requests and " + std::to_string(bad_answered) + " of " + std::to_string(bad) +
              " with the part answered");
    return sound_answered;
}

/// The exit code of one trial.
auto play(trial& playing, int number, record& log) -> int
{
    const auto trouble = has_trouble();
    const auto bad_part = "d00df00" + std::to_string(number) + ":5000";
    route chat{"chat", "streaming", "model", deadline_ms, 600, 2};
    chat.resumable = true;
    chat.sticky = true;
    fleet_options options;
    options.services = {"model"};
    options.routes = {chat};
    options.hosts = host_count;
    playing.system = std::make_unique<fleet>(options, log);
    for (int one = 0; one < runner_count; ++one)
    {
        playing.runners.push_back(
            std::make_unique<runner>(one, *playing.system, playing.seen, bad_part, trouble));
    }
    if (!playing.system->wait_ready())
    {
        return could_not_run;
    }
    std::atomic<bool> stopping = false;
    std::thread platform(
        [&]
        {
            while (!stopping)
            {
                std::this_thread::sleep_for(milliseconds(20));
                for (const auto& one : playing.runners)
                {
                    one->update();
                }
            }
        });
    const auto sound_answered = send_requests(playing, chat, bad_part, log);
    stopping = true;
    platform.join();
    for (const auto& one : playing.runners)
    {
        one->stop();
    }
    playing.system.reset();
    const auto late = playing.seen.count_late_arrivals();
    log.write("trial " + std::to_string(number) + ": " + std::to_string(playing.seen.count_ends()) +
              " ends of runners; " + std::to_string(late) +
              " requests with the part reached runners later than contact_ms after the fifth");
    if (sound_answered == 0)
    {
        return could_not_run;
    }
    return late > max_sends ? rule_broken : rule_held;
}

auto run(record& log) -> int
{
    std::vector<std::unique_ptr<trial>> trials;
    int code = rule_held;
    for (int number = 1; number <= max_trials && code == rule_held; ++number)
    {
        trials.push_back(std::make_unique<trial>(log));
        code = play(*trials.back(), number, log);
    }
    // Threads of the runners may still use them.
    for (auto& one : trials)
    {
        static_cast<void>(one.release());
    }
    return code;
}

} // namespace

auto main(int, char** arguments) -> int
{
    review::run_case(arguments[1], run);
}
