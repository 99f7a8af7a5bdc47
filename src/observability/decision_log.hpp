#pragma once

#include "poplardrift/base/events.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace poplardrift
{

/// Structured log: writes events as JSON, one object per line, to standard output by default. Lines
/// are queued and written by a background thread, so that a stalled reader never blocks the router.
/// Lines that exceed the queue or the rate limit of their level are dropped; their count is logged
/// with the next batch. Thread-safe.
class decision_log final
{
public:
    /// `output` is a file descriptor; if negative, all lines are discarded.
    explicit decision_log(std::string host, int output = 1);
    ~decision_log();
    decision_log(const decision_log&) = delete;
    auto operator=(const decision_log&) -> decision_log& = delete;

    /// Queues an event; `fields` must be a JSON object.
    auto write(event_code code, nlohmann::json fields) -> void;

private:
    auto run() -> void;
    auto write_lines(std::string_view lines) -> void;
    [[nodiscard]] auto admit(event_level level, std::int64_t now_ms) -> bool;

    std::string host;
    int output;
    std::mutex mutex;
    std::condition_variable wake;
    std::string queue;
    std::uint64_t dropped_lines = 0;
    std::int64_t rate_second = 0; ///< the second that the line counts below refer to
    int debug_lines = 0;
    int other_lines = 0;
    bool stopping = false;
    std::thread writer;
};

} // namespace poplardrift
