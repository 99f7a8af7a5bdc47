#include "quarantine/upstream_ends.hpp"

namespace poplardrift::quarantine
{

auto upstream_ends::add(upstream_instance upstream, time_point at) -> void
{
    if (this->ends.size() < max_ends)
    {
        this->ends.try_emplace(upstream, at);
    }
}

auto upstream_ends::has_ended_since(upstream_instance upstream, time_point from) const -> bool
{
    const auto found = this->ends.find(upstream);
    return found != this->ends.end() && found->second >= from;
}

auto upstream_ends::forget_before(time_point moment) -> void
{
    absl::erase_if(this->ends, [&](const auto& item) { return item.second < moment; });
}

} // namespace poplardrift::quarantine
