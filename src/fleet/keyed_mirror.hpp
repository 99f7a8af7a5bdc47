#pragma once

#include "fleet/published_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace poplardrift::fleet
{

/// The records that another replica lacks.
struct mirror_changes
{
    std::vector<published_record> records;
    /// True: `records` lists all existing keys, and any other key has been removed. False:
    /// `records` holds the changes since the requested position.
    bool is_listing = false;
};

/// A host's replica of the newest record of each key of one stream. Records may arrive out of
/// order, repeatedly, and from the platform or from peers: the highest position of a key wins, so a
/// key never reverts to an older record. Removed keys are kept as tombstones with their position
/// for the same reason. A complete replica holds one era of the store: a listing of a later era
/// replaces it, and anything else of another era has no effect. Not thread-safe.
class keyed_mirror final
{
public:
    /// Applies a record; false when a record of the same or a higher position is already stored, or
    /// the replica is complete and holds another era.
    auto apply(const published_record& record) -> bool;
    /// Applies a listing of all keys as of `end`. Returns the records that changed the replica,
    /// including removals of the keys that are missing from the listing. A listing of an earlier
    /// era has no effect.
    [[nodiscard]] auto apply_listing(const std::vector<published_record>& listed,
                                     record_position end) -> std::vector<published_record>;
    /// Marks the replica as complete up to this position. No effect if it is complete and the
    /// position is of another era.
    auto advance(record_position end) -> void;

    /// Position up to which this replica contains all records.
    [[nodiscard]] auto end() const -> record_position { return this->complete_to; }
    /// True once the stream has been read from its start or a listing of it has been applied.
    [[nodiscard]] auto is_complete() const -> bool { return this->complete; }
    /// The newest record of a key, without a value if the key is not in the stream.
    [[nodiscard]] auto find(const std::string& key) const -> published_record;
    /// Returns the records that a replica complete up to `from` lacks. Returns a listing if this
    /// replica applied a listing that ends after `from`: it then does not know all removals since.
    [[nodiscard]] auto changes_since(record_position from) const -> mirror_changes;

private:
    struct entry
    {
        record_position position;
        std::optional<std::string> value;
    };

    [[nodiscard]] auto is_of_other_era(record_position position) const -> bool
    {
        return this->complete && position.era() != this->complete_to.era();
    }
    auto apply_newer(const published_record& record) -> bool;

    std::map<std::string, entry> entries;
    record_position complete_to;
    record_position listed_to; ///< end of the last listing; removals before it may be unknown
    bool complete = false;
};

} // namespace poplardrift::fleet
