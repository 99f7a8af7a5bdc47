#pragma once

#include "poplardrift/base/strong_type.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplardrift::fleet
{

/// Streams of keyed records that all hosts follow.
enum class record_stream : std::uint8_t
{
    operators, ///< configuration and zones taken out
    upstreams, ///< the registry of upstreams
};

/// Position of a record in its stream. The first record has position 0.
using record_position = strong_type<struct record_position_tag, std::uint64_t>;

/// A record as it was published. Without a value the key has been removed.
struct published_record
{
    std::string key;
    record_position position;
    std::optional<std::string> value;
};

} // namespace poplardrift::fleet
