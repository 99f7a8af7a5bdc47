#include "fleet/prefix_queue.hpp"

#include "poplardrift/base/ids.hpp"

#include <algorithm>

namespace poplardrift::fleet
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_stored_prefixes = 512;
/// A prompt that many requests share is prefilled again and again at the same engine; receivers
/// need the repeats only to keep it among the recently used ones.
constexpr duration repeat_interval = 5s;

} // namespace

auto prefix_queue::add(const traffic::cached_prefix& prefix, time_point now) -> void
{
    this->forget_old(now);
    auto& added = this->added_at[hash_pair_64(prefix.upstream, prefix.chain_hash)];
    if (added != time_point{} && now - added < repeat_interval)
    {
        return;
    }
    added = now;
    this->prefixes.push_back(prefix);
    ++this->end;
    if (this->prefixes.size() > max_stored_prefixes)
    {
        this->prefixes.pop_front();
    }
}

auto prefix_queue::read(std::uint64_t& cursor, std::size_t most, part of) const
    -> std::vector<traffic::cached_prefix>
{
    const auto oldest = this->end - this->prefixes.size();
    cursor = std::clamp(cursor, oldest, this->end);
    std::vector<traffic::cached_prefix> unread;
    while (cursor < this->end && unread.size() < most)
    {
        const auto& prefix = this->prefixes[cursor - oldest];
        if (prefix.chain_hash % of.count == of.index)
        {
            unread.push_back(prefix);
        }
        ++cursor;
    }
    return unread;
}

auto prefix_queue::forget_old(time_point now) -> void
{
    if (now < this->next_cleanup)
    {
        return;
    }
    this->next_cleanup = now + repeat_interval;
    absl::erase_if(this->added_at,
                   [now](const auto& item) { return now - item.second >= repeat_interval; });
}

} // namespace poplardrift::fleet
