#include "poplardrift/placement/exception_table.hpp"

#include <bit>

namespace poplardrift
{

exception_table::exception_table(std::size_t capacity)
{
    const auto sets = std::bit_ceil((capacity + ways - 1) / ways);
    this->slots.resize(sets * ways);
    this->set_mask = sets - 1;
}

auto exception_table::set_of(conversation_id conversation) -> slot*
{
    return &this->slots[(conversation.value() & this->set_mask) * ways];
}

auto exception_table::find_slot(conversation_id conversation) -> slot*
{
    auto* set = this->set_of(conversation);
    for (std::size_t way = 0; way < ways; ++way)
    {
        if (set[way].last_use != 0 && set[way].conversation == conversation)
        {
            return &set[way];
        }
    }
    return nullptr;
}

auto exception_table::find(conversation_id conversation) -> std::optional<upstream_id>
{
    auto* found = this->find_slot(conversation);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    found->last_use = ++this->use_count;
    return found->upstream;
}

auto exception_table::store(conversation_id conversation, upstream_id upstream) -> void
{
    auto* target = this->find_slot(conversation);
    if (target == nullptr)
    {
        // Replace the least recently used slot; free slots have the lowest value.
        auto* set = this->set_of(conversation);
        target = set;
        for (std::size_t way = 1; way < ways; ++way)
        {
            target = set[way].last_use < target->last_use ? &set[way] : target;
        }
        this->used += target->last_use == 0 ? 1 : 0;
    }
    *target = {conversation, upstream, ++this->use_count};
}

auto exception_table::erase(conversation_id conversation) -> void
{
    auto* found = this->find_slot(conversation);
    if (found != nullptr)
    {
        *found = {};
        --this->used;
    }
}

} // namespace poplardrift
