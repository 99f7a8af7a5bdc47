#pragma once

#include "poplardrift/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace poplardrift
{

/// Maps conversations to their last upstream where it was not the first choice by rendezvous
/// hashing. Set-associative table of fixed size that replaces the least recently used entry of a
/// full set. 24 bytes per entry; every call accesses one set and does not allocate. Not
/// thread-safe.
class exception_table final
{
public:
    /// Rounds `capacity` up so that the number of sets is a power of two.
    explicit exception_table(std::size_t capacity);

    [[nodiscard]] auto find(conversation_id conversation) -> std::optional<upstream_id>;
    auto store(conversation_id conversation, upstream_id upstream) -> void;
    auto erase(conversation_id conversation) -> void;
    /// Number of entries in use.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return this->used; }

private:
    static constexpr std::size_t ways = 8;

    struct slot
    {
        conversation_id conversation;
        upstream_id upstream;
        std::uint64_t last_use = 0; ///< 0 if the slot is free
    };

    [[nodiscard]] auto set_of(conversation_id conversation) -> slot*;
    [[nodiscard]] auto find_slot(conversation_id conversation) -> slot*;

    std::vector<slot> slots;
    std::size_t set_mask;
    std::uint64_t use_count = 0;
    std::size_t used = 0;
};

} // namespace poplardrift
