#pragma once

#include "poplardrift/base/events.hpp"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace poplardrift
{

/// Writes numbered events through log4cxx and keeps the last ones for operators. Any thread; the
/// lock is held for the copy of one line only.
class event_log final
{
public:
    /// `level` is debug, info, warning or error; lines go to standard error.
    event_log(const std::string& host, const std::string& level);

    auto write(const event& occurred) -> void;
    auto write(event_code code, const std::string& detail) -> void { this->write({code, detail}); }
    /// The last events, oldest first, without those of level debug.
    [[nodiscard]] auto recent() const -> std::vector<std::string>;

private:
    std::string host;
    mutable std::mutex mutex;
    std::deque<std::string> recent_lines;
};

} // namespace poplardrift
