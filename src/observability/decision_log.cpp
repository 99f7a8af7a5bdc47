#include "observability/decision_log.hpp"

#include "net/clock.hpp"
#include "poplardrift/base/json_text.hpp"

#include <chrono>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace poplardrift
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_queued_bytes = 1 << 19; ///< 512 KiB, about 2,000 lines
/// Rate limit of debug events, such as completed requests. Requests beyond it appear in the
/// metrics only.
constexpr int max_debug_lines_per_second = 150;
/// Rate limit of all other events: enough for a host on which every request fails.
constexpr int max_other_lines_per_second = 500;
/// Lines are written in batches, so that a busy host does not make a system call for each line.
constexpr auto write_interval = 100ms;

/// During shutdown, the remaining lines are discarded when the reader accepts none for this long.
constexpr int poll_timeout_ms = 200;
/// A writable pipe accepts this much at once without blocking (PIPE_BUF).
constexpr std::size_t max_write_bytes = 4096;

/// Waits until the output is writable; false on a timeout or when the output is closed.
auto wait_writable(int output, int wait_ms) -> bool
{
    pollfd descriptor{output, POLLOUT, 0};
    return ::poll(&descriptor, 1, wait_ms) > 0 && (descriptor.revents & POLLOUT) != 0;
}

} // namespace

decision_log::decision_log(std::string host, int output) : host(std::move(host)), output(output)
{
    this->writer = std::thread([this] { this->run(); });
}

decision_log::~decision_log()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_one();
    this->writer.join();
}

auto decision_log::admit(event_level level, std::int64_t now_ms) -> bool
{
    if (now_ms / 1000 != this->rate_second)
    {
        this->rate_second = now_ms / 1000;
        this->debug_lines = 0;
        this->other_lines = 0;
    }
    const auto is_within_rate = level == event_level::debug
                                    ? this->debug_lines++ < max_debug_lines_per_second
                                    : this->other_lines++ < max_other_lines_per_second;
    return is_within_rate && this->queue.size() < max_queued_bytes;
}

auto decision_log::write(event_code code, nlohmann::json fields) -> void
{
    const auto& entry = describe(code);
    const auto now_ms = wall_clock_ms();
    fields["time_ms"] = now_ms;
    fields["event"] = static_cast<int>(code);
    fields["name"] = entry.name;
    fields["host"] = this->host;
    auto line = to_json_text(fields);
    line.push_back('\n');
    const std::lock_guard lock(this->mutex);
    if (!this->admit(entry.level, now_ms))
    {
        ++this->dropped_lines;
        return;
    }
    const auto was_empty = this->queue.empty();
    this->queue.append(line);
    if (was_empty)
    {
        this->wake.notify_one();
    }
}

auto decision_log::write_lines(std::string_view lines) -> void
{
    while (!lines.empty())
    {
        if (!wait_writable(this->output, poll_timeout_ms))
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopping || this->output < 0)
            {
                return; // the reader accepts nothing, and there is nowhere else to report it
            }
            continue;
        }
        const auto chunk = lines.substr(0, max_write_bytes);
        const auto written = ::write(this->output, chunk.data(), chunk.size());
        if (written <= 0)
        {
            return;
        }
        lines.remove_prefix(static_cast<std::size_t>(written));
    }
}

auto decision_log::run() -> void
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping || !this->queue.empty())
    {
        this->wake.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
        if (!this->stopping)
        {
            // Shutdown ends this wait early, so that the last lines are written without a delay.
            this->wake.wait_for(lock, write_interval, [this] { return this->stopping; });
        }
        auto lines = std::exchange(this->queue, {});
        if (const auto count = std::exchange(this->dropped_lines, 0); count > 0)
        {
            lines += to_json_text({{"event", static_cast<int>(event_code::lines_dropped)},
                                   {"name", describe(event_code::lines_dropped).name},
                                   {"host", this->host},
                                   {"time_ms", wall_clock_ms()},
                                   {"count", count}}) +
                     "\n";
        }
        lock.unlock();
        this->write_lines(lines);
        lock.lock();
    }
}

} // namespace poplardrift
