#include "fleet/keyed_mirror.hpp"

#include <algorithm>
#include <set>

namespace poplardrift::fleet
{

auto keyed_mirror::apply(const published_record& record) -> bool
{
    return !this->is_of_other_era(record.position) && this->apply_newer(record);
}

auto keyed_mirror::apply_newer(const published_record& record) -> bool
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
    std::vector<published_record> changed;
    if (this->complete && end.era() < this->complete_to.era())
    {
        return changed;
    }
    std::set<std::string> present;
    for (const auto& record : listed)
    {
        present.insert(record.key);
        if (this->apply_newer(record))
        {
            changed.push_back(record);
        }
    }
    for (auto& [key, stored] : this->entries)
    {
        if (stored.value && stored.position < end && !present.contains(key))
        {
            // The removal itself is no longer in the stream. Its position is unknown but before
            // `end`. The listing of an empty stream has no such position: the tombstone keeps its
            // earlier era then.
            const auto position =
                end.offset() > 0 ? record_position(end.offset() - 1, end.era()) : stored.position;
            stored = {position, std::nullopt};
            changed.push_back({key, stored.position, std::nullopt});
        }
    }
    this->listed_to = std::max(this->listed_to, end);
    this->complete = true;
    this->complete_to = std::max(this->complete_to, end);
    return changed;
}

auto keyed_mirror::advance(record_position end) -> void
{
    if (this->is_of_other_era(end))
    {
        return;
    }
    this->complete = true;
    this->complete_to = std::max(this->complete_to, end);
}

auto keyed_mirror::find(const std::string& key) const -> published_record
{
    const auto found = this->entries.find(key);
    return found == this->entries.end()
               ? published_record{key, this->complete_to, std::nullopt}
               : published_record{key, found->second.position, found->second.value};
}

auto keyed_mirror::changes_since(record_position from) const -> mirror_changes
{
    mirror_changes changes;
    changes.is_listing = from < this->listed_to;
    for (const auto& [key, stored] : this->entries)
    {
        const auto is_wanted =
            changes.is_listing ? stored.value.has_value() : stored.position >= from;
        if (is_wanted)
        {
            changes.records.push_back({key, stored.position, stored.value});
        }
    }
    return changes;
}

} // namespace poplardrift::fleet
