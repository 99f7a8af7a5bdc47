#pragma once

#include "poplardrift/base/ids.hpp"
#include "routing/fleet_view.hpp"

#include <cstdint>

namespace poplardrift::routing
{

/// Hash of an upstream's name, used in messages between hosts and in rendezvous hashing. Four bytes
/// keep these messages small. If two names collide, reports about both upstreams are applied to one
/// of them; this is rare and affects only load balance.
using upstream_key = std::uint32_t;

[[nodiscard]] inline auto upstream_key_of(const upstream_name& name) -> upstream_key
{
    return static_cast<upstream_key>(hash_bytes_64(name.value()));
}

} // namespace poplardrift::routing
