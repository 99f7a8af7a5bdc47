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

/// Writes one JSON object a line to standard output. Lines are queued and written by a thread of
/// their own, so a reader that stops never blocks the router; what does not fit into the queue, or
/// goes beyond the rate of its level, is counted, and the count is written when there is room.
/// Any thread may write.
class decision_log final
{
public:
    /// `output` is a file descriptor; a negative one drops all lines.
    explicit decision_log(std::string host, int output = 1);
    ~decision_log();
    decision_log(const decision_log&) = delete;
    auto operator=(const decision_log&) -> decision_log& = delete;

    /// Writes an event with its fields, an object.
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
    std::int64_t rate_second = 0; ///< of the counts below
    int debug_lines = 0;
    int other_lines = 0;
    bool stopping = false;
    std::thread writer;
};

} // namespace poplardrift
