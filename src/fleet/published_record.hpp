#pragma once

#include "poplardrift/base/strong_type.hpp"

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

/// Position of a record in its stream. The first record has position 0.
using record_position = strong_type<struct record_position_tag, std::uint64_t>;

/// A record as published by the platform. No value: the record removes the key.
struct published_record
{
    std::string key;
    record_position position;
    std::optional<std::string> value;
};

} // namespace poplardrift::fleet
