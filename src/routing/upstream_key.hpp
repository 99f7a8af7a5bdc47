#pragma once

#include "poplardrift/base/ids.hpp"
#include "routing/fleet_view.hpp"

#include <cstdint>

namespace poplardrift::routing
{

/// Stands for an upstream's name between hosts and in rendezvous hashing. Four bytes keep what
/// hosts tell each other small; of two names of a fleet that share a key, one gets what is told of
/// both, which is rare and harms only the evenness of the load.
using upstream_key = std::uint32_t;

[[nodiscard]] inline auto upstream_key_of(const upstream_name& name) -> upstream_key
{
    return static_cast<upstream_key>(hash_bytes_64(name.value()));
}

} // namespace poplardrift::routing
