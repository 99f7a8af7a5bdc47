#pragma once

#include "fleet/published_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace poplardrift::fleet
{

/// What another copy lacks.
struct mirror_changes
{
    std::vector<published_record> records;
    /// The records are all that there are, and keys that are not among them do not exist. Otherwise
    /// they are all changes since the position that was asked for.
    bool is_listing = false;
};

/// A host's copy of the newest record of each key of one stream. Records may come in any order,
/// twice, and from the platform or other hosts: the highest position of a key wins, so the copy
/// never goes back. Removed keys are remembered with their position for the same reason. One
/// thread.
class keyed_mirror final
{
public:
    /// Takes a record; true when it is news.
    auto apply(const published_record& record) -> bool;
    /// Takes a listing of all keys, complete up to `end`. Returns the news in it, with removals of
    /// the keys that are missing from the listing.
    [[nodiscard]] auto apply_listing(const std::vector<published_record>& listed,
                                     record_position end) -> std::vector<published_record>;
    /// All records before this position are contained.
    auto advance(record_position end) -> void;

    [[nodiscard]] auto end() const -> record_position { return this->complete_to; }
    /// True when the stream has been read from its start, or a listing of it, at least once.
    [[nodiscard]] auto is_complete() const -> bool { return this->complete; }
    /// What a copy lacks that is complete up to a position. A listing if this copy was itself
    /// listed after that position: it then does not know of all removals.
    [[nodiscard]] auto changes_since(record_position from) const -> mirror_changes;

private:
    struct entry
    {
        record_position position;
        std::optional<std::string> value;
    };

    std::map<std::string, entry> entries;
    record_position complete_to;
    record_position listed_to; ///< end of the last listing; removals before it may be unknown
    bool complete = false;
};

} // namespace poplardrift::fleet
