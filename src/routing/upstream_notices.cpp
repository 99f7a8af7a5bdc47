#include "routing/upstream_notices.hpp"

#include <algorithm>

namespace poplardrift::routing
{

auto upstream_notices::on_pause(time_point now, duration length, duration spread) -> void
{
    const auto bounded = std::clamp<duration>(length, duration::zero(), max_pause);
    if (bounded == duration::zero())
    {
        return;
    }
    this->paused_until = std::max(this->paused_until, now + bounded + spread);
    this->resuming = true;
}

} // namespace poplardrift::routing
