#include "fleet/keyed_mirror.hpp"

#include <algorithm>
#include <set>

namespace poplardrift::fleet
{

auto keyed_mirror::apply(const published_record& record) -> bool
{
    const auto [found, inserted] =
        this->entries.try_emplace(record.key, entry{record.position, record.value});
    if (inserted)
    {
        return true;
    }
    if (record.position <= found->second.position)
    {
        return false;
    }
    found->second = {record.position, record.value};
    return true;
}

auto keyed_mirror::apply_listing(const std::vector<published_record>& listed, record_position end)
    -> std::vector<published_record>
{
    std::vector<published_record> news;
    std::set<std::string> present;
    for (const auto& record : listed)
    {
        present.insert(record.key);
        if (this->apply(record))
        {
            news.push_back(record);
        }
    }
    for (auto& [key, held] : this->entries)
    {
        if (held.value && held.position < end && !present.contains(key))
        {
            // Removed by a record that has expired; it stood somewhere before `end`.
            held = {record_position(end.value() - 1), std::nullopt};
            news.push_back({key, held.position, std::nullopt});
        }
    }
    this->listed_to = std::max(this->listed_to, end);
    this->advance(end);
    return news;
}

auto keyed_mirror::advance(record_position end) -> void
{
    this->complete = true;
    this->complete_to = std::max(this->complete_to, end);
}

auto keyed_mirror::changes_since(record_position from) const -> mirror_changes
{
    mirror_changes changes;
    changes.is_listing = from < this->listed_to;
    for (const auto& [key, held] : this->entries)
    {
        const auto is_wanted = changes.is_listing ? held.value.has_value() : held.position >= from;
        if (is_wanted)
        {
            changes.records.push_back({key, held.position, held.value});
        }
    }
    return changes;
}

} // namespace poplardrift::fleet
