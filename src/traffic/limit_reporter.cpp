#include "traffic/limit_reporter.hpp"

namespace poplardrift::traffic
{

namespace
{

constexpr duration line_interval = std::chrono::seconds(1);

} // namespace

auto limit_reporter::report(const char* limit, const boost::asio::ip::address& caller,
                            std::size_t held_bytes, time_point now) -> void
{
    if (this->count)
    {
        this->count(limit);
    }
    auto& known = this->states[limit];
    if (now < known.next_line_at)
    {
        ++known.unreported;
        return;
    }
    this->log.write(event_code::caller_limited, {{"limit", limit},
                                                 {"caller", caller.to_string()},
                                                 {"held_bytes", held_bytes},
                                                 {"unreported", known.unreported}});
    known = {now + line_interval, 0};
}

} // namespace poplardrift::traffic
