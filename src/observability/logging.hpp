#pragma once

#include "poplardrift/base/events.hpp"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace poplardrift
{

/// Writes events through log4cxx to standard error and keeps the most recent ones for operators.
/// Thread-safe; `write` holds the lock only while it stores one line.
class event_log final
{
public:
    /// `level` is debug, warning or error; any other value means info.
    event_log(const std::string& host, const std::string& level);

    auto write(const event& occurred) -> void;
    auto write(event_code code, const std::string& detail) -> void { this->write({code, detail}); }
    /// The most recent events, oldest first, without those of level debug.
    [[nodiscard]] auto recent() const -> std::vector<std::string>;

private:
    std::string host;
    mutable std::mutex mutex;
    std::deque<std::string> recent_lines;
};

} // namespace poplardrift
