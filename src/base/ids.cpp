#include "poplardrift/base/ids.hpp"

#include <xxhash.h>

namespace poplardrift
{

auto hash_name_32(std::string_view name) noexcept -> std::uint32_t
{
    return XXH32(name.data(), name.size(), 0);
}

auto hash_bytes_64(std::string_view bytes, std::uint64_t seed) noexcept -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

auto hash_pair_64(std::uint64_t first, std::uint64_t second) noexcept -> std::uint64_t
{
    const std::uint64_t words[2] = {first, second};
    return XXH3_64bits(words, sizeof(words));
}

auto make_host_id(std::string_view name) noexcept -> host_id
{
    return host_id{hash_name_32(name)};
}

auto make_upstream_id(std::string_view path) noexcept -> upstream_id
{
    return upstream_id{hash_name_32(path)};
}

auto make_pool_id(std::string_view name) noexcept -> pool_id
{
    return pool_id{hash_name_32(name)};
}

auto make_workspace_id(std::string_view path) noexcept -> workspace_id
{
    return workspace_id{hash_name_32(path)};
}

} // namespace poplardrift
