#pragma once

#include "poplardrift/base/strong_type.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace poplardrift
{

/// 32-bit hash of a host's name; identifies the host in messages between hosts.
using host_id = strong_type<struct host_id_tag, std::uint32_t>;
/// 32-bit hash of an upstream's path; identifies the upstream in messages between hosts.
using upstream_id = strong_type<struct upstream_id_tag, std::uint32_t>;
/// 32-bit hash of a pool's name. A pool is the set of upstreams that serve the same routes.
using pool_id = strong_type<struct pool_id_tag, std::uint32_t>;
/// 32-bit hash of a workspace's path.
using workspace_id = strong_type<struct workspace_id_tag, std::uint32_t>;
/// Name of an availability zone.
using zone_name = strong_type<struct zone_name_tag, std::string>;
/// 64-bit hash that identifies a conversation within its workspace.
using conversation_id = strong_type<struct conversation_id_tag, std::uint64_t>;
/// Identifies one run of a host's process; differs after each restart.
using incarnation_id = strong_type<struct incarnation_id_tag, std::uint64_t>;
/// Number of a request, unique within a host's process.
using request_id = strong_type<struct request_id_tag, std::uint64_t>;
/// Position of a record in a stream of the platform's log. Offsets start at 1.
using log_offset = strong_type<struct log_offset_tag, std::uint64_t>;
/// Sequence number of a message from one host to another; starts at 1.
using message_sequence = strong_type<struct message_sequence_tag, std::uint64_t>;

/// Stable 32-bit hash (XXH32) of a name: the same on every machine and in every version.
[[nodiscard]] auto hash_name_32(std::string_view name) noexcept -> std::uint32_t;
/// Stable 64-bit hash (XXH3) of bytes with a seed.
[[nodiscard]] auto hash_bytes_64(std::string_view bytes, std::uint64_t seed = 0) noexcept
    -> std::uint64_t;
/// 64-bit hash (XXH3) of two numbers in native byte order, used for rendezvous hashing.
[[nodiscard]] auto hash_pair_64(std::uint64_t first, std::uint64_t second) noexcept
    -> std::uint64_t;

[[nodiscard]] auto make_host_id(std::string_view name) noexcept -> host_id;
[[nodiscard]] auto make_upstream_id(std::string_view path) noexcept -> upstream_id;
[[nodiscard]] auto make_pool_id(std::string_view name) noexcept -> pool_id;
[[nodiscard]] auto make_workspace_id(std::string_view path) noexcept -> workspace_id;

} // namespace poplardrift
