#pragma once

#include "observability/decision_log.hpp"
#include "poplardrift/base/time.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <string>

namespace poplardrift::traffic
{

/// Counts and logs that a caller has met a limit of the process, with at most one line a second for
/// each limit. One thread.
class limit_reporter final
{
public:
    using counter = std::function<void(const char* limit)>;

    limit_reporter(decision_log& log, counter count) : log(log), count(std::move(count)) {}

    auto report(const char* limit, const boost::asio::ip::address& caller, std::size_t held_bytes,
                time_point now) -> void;

private:
    struct state
    {
        time_point next_line_at{};
        std::size_t unreported = 0; ///< since the last line
    };

    decision_log& log;
    counter count;
    std::map<std::string, state, std::less<>> states; ///< by limit
};

} // namespace poplardrift::traffic
