#include "routing/upstream_notices.hpp"

#include <algorithm>

namespace poplardrift::routing
{

namespace
{

/// Time within which the registry and the other hosts show a new start of an upstream.
constexpr duration registry_delay = std::chrono::seconds(5);

} // namespace

auto upstream_notices::on_pause(time_point now, duration length, duration spread) -> void
{
    const auto bounded = std::clamp<duration>(length, duration::zero(), max_pause);
    if (bounded == duration::zero())
    {
        return;
    }
    this->paused_at = now;
    this->paused_until = std::max(this->paused_until, now + bounded + spread);
    this->resuming = true;
}

auto upstream_notices::take_recent_pause(const upstream_notices& former, time_point now) -> void
{
    if (former.is_paused(now) && now - former.paused_at < registry_delay)
    {
        this->paused_at = former.paused_at;
        this->paused_until = former.paused_until;
        this->resuming = true;
    }
}

} // namespace poplardrift::routing
