#pragma once

#include "poplardrift/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace poplardrift
{

/// Remembers conversations that last ran elsewhere than at their first choice. Fixed memory: a
/// set-associative table that drops the least recently used entry of a full set. 24 bytes an
/// entry; every call looks at one set and allocates nothing.
class exception_table final
{
public:
    /// `capacity` is rounded up to a power of two of sets.
    explicit exception_table(std::size_t capacity);

    [[nodiscard]] auto find(conversation_id conversation) -> std::optional<upstream_id>;
    auto store(conversation_id conversation, upstream_id upstream) -> void;
    auto erase(conversation_id conversation) -> void;
    /// Entries in use.
    [[nodiscard]] auto size() const noexcept -> std::size_t { return this->used; }

private:
    static constexpr std::size_t ways = 8;

    struct slot
    {
        conversation_id conversation;
        upstream_id upstream;
        std::uint64_t last_use = 0; ///< 0: free
    };

    [[nodiscard]] auto set_of(conversation_id conversation) -> slot*;
    [[nodiscard]] auto find_slot(conversation_id conversation) -> slot*;

    std::vector<slot> slots;
    std::size_t set_mask;
    std::uint64_t use_count = 0;
    std::size_t used = 0;
};

} // namespace poplardrift
