#pragma once

#include "routing/prompt.hpp"

#include <absl/container/flat_hash_set.h>

#include <cstddef>

namespace poplardrift::quarantine
{

/// The parts of prompts whose answers have begun well, the most recent ones. Holds between
/// `max_per_generation` and twice as many; allocates only at construction. Not thread-safe.
class harmless_parts final
{
public:
    explicit harmless_parts(std::size_t max_per_generation);

    auto add(routing::prompt_part_id part) -> void;
    [[nodiscard]] auto contains(routing::prompt_part_id part) const -> bool;

private:
    using generation = absl::flat_hash_set<routing::prompt_part_id>;

    std::size_t max_per_generation;
    generation current;
    generation former;
};

} // namespace poplardrift::quarantine
