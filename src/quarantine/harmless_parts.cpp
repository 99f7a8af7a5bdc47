#include "quarantine/harmless_parts.hpp"

#include <utility>

namespace poplardrift::quarantine
{

harmless_parts::harmless_parts(std::size_t max_per_generation)
    : max_per_generation(max_per_generation)
{
    this->current.reserve(max_per_generation);
    this->former.reserve(max_per_generation);
}

auto harmless_parts::add(routing::prompt_part_id part) -> void
{
    if (this->current.size() == this->max_per_generation && !this->current.contains(part))
    {
        std::swap(this->current, this->former);
        this->current.clear();
        this->current.reserve(this->max_per_generation);
    }
    this->current.insert(part);
}

auto harmless_parts::contains(routing::prompt_part_id part) const -> bool
{
    return this->current.contains(part) || this->former.contains(part);
}

} // namespace poplardrift::quarantine
