#pragma once

#include "poplardrift/base/strong_type.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplardrift::fleet
{

/// Streams of keyed records that every host replicates.
enum class record_stream : std::uint8_t
{
    operators, ///< configuration, and zones out of service
    upstreams, ///< the registry of upstreams
};

/// Number of times that the platform's store has been restored from an older copy, as the store
/// states it; 0 for a store, or a peer, that states none. A restore discards the newest records and
/// reuses their offsets, so offsets of different eras do not refer to the same records.
using store_era = strong_type<struct store_era_tag, std::uint32_t>;

/// Highest era that is accepted from the store and from peers.
inline constexpr store_era max_store_era{(1U << 20U) - 1};

/// Position of a record in its stream: the era in which it was read, and its offset in that era,
/// from 0. Ordered by era first, so a position of a later era is newer whatever its offset is.
class record_position final
{
public:
    constexpr record_position() = default;
    constexpr explicit record_position(std::uint64_t offset, store_era era = store_era())
        : era_number(era), record_offset(offset)
    {
    }

    [[nodiscard]] constexpr auto era() const noexcept -> store_era { return this->era_number; }
    [[nodiscard]] constexpr auto offset() const noexcept -> std::uint64_t
    {
        return this->record_offset;
    }
    /// Position after this one.
    [[nodiscard]] constexpr auto next() const noexcept -> record_position
    {
        return record_position(this->record_offset + 1, this->era_number);
    }

    // NOLINTNEXTLINE: clang-tidy does not handle defaulted comparisons
    [[nodiscard]] friend auto operator<=>(const record_position&, const record_position&) = default;

private:
    store_era era_number; // compared first
    std::uint64_t record_offset = 0;
};

/// A record as published by the platform. No value: the record removes the key.
struct published_record
{
    std::string key;
    record_position position;
    std::optional<std::string> value;
};

} // namespace poplardrift::fleet
