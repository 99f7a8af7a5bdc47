#include "load/stream_load.hpp"

#include "load/recorder.hpp"
#include "net/clock.hpp"
#include "net/response_check.hpp"
#include "poplardrift/streams/sse_splitter.hpp"

#include <httplib.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace poplardrift::load
{

namespace
{

/// Every n-th gap is kept; all would take too much memory.
constexpr int kept_gap = 7;

/// What all streams gave.
struct stream_figures
{
    std::mutex mutex;
    std::vector<double> first;
    std::vector<double> gaps;
    std::atomic<std::int64_t> events{0};
    std::atomic<std::int64_t> complete{0};
};

auto run_one(const stream_load_options& options, int number, stream_figures& figures) -> void
{
    httplib::Client client("http://" + options.target);
    client.set_read_timeout(60);
    client.set_connection_timeout(10);
    client.set_tcp_nodelay(true);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer " + options.key},
                       {"Content-Type", "application/json"}};
    request.body =
        nlohmann::json{
            {"stream", true},
            {"max_tokens", options.tokens},
            {"messages", {{{"role", "user"}, {"content", "stream " + std::to_string(number)}}}}}
            .dump();
    sse_splitter splitter;
    std::vector<double> gaps;
    double first = 0;
    bool complete = false;
    int count = 0;
    const auto begin = monotonic_now();
    auto last = begin;
    request.response_handler = [](const httplib::Response& head) { return has_valid_head(head); };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        splitter.feed({data, size});
        while (const auto event = splitter.next())
        {
            const auto now = monotonic_now();
            complete = complete || is_done_event(*event);
            first = count == 0 ? to_seconds(now - begin) : first;
            if (++count % kept_gap == 0)
            {
                gaps.push_back(to_seconds(now - last));
            }
            last = now;
        }
        return true;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    client.send(request, response, error);
    figures.events += count;
    figures.complete += complete ? 1 : 0;
    const std::lock_guard lock(figures.mutex);
    figures.first.push_back(first);
    figures.gaps.insert(figures.gaps.end(), gaps.begin(), gaps.end());
}

} // namespace

auto run_streams(const stream_load_options& options) -> nlohmann::json
{
    stream_figures figures;
    std::vector<std::thread> threads;
    const auto begin = monotonic_now();
    for (int number = 0; number < options.streams; ++number)
    {
        threads.emplace_back([&, number] { run_one(options, number, figures); });
        std::this_thread::sleep_for(
            std::chrono::duration<double>(options.ramp_seconds / options.streams));
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    const auto seconds = to_seconds(monotonic_now() - begin);
    return {{"target", options.target},
            {"streams", options.streams},
            {"complete", figures.complete.load()},
            {"events", figures.events.load()},
            {"events_a_second", static_cast<double>(figures.events.load()) / seconds},
            {"first_p50_ms", percentile(figures.first, 0.5) * 1000},
            {"first_p99_ms", percentile(figures.first, 0.99) * 1000},
            {"gap_p50_ms", percentile(figures.gaps, 0.5) * 1000},
            {"gap_p99_ms", percentile(figures.gaps, 0.99) * 1000}};
}

} // namespace poplardrift::load
