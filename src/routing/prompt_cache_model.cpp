#include "routing/prompt_cache_model.hpp"

namespace poplardrift::routing
{

auto prompt_cache_model::cached_tokens(const prompt_shape& prompt) const -> std::uint32_t
{
    std::uint32_t cached = 0;
    for (const auto& part : prompt.parts)
    {
        if (!this->by_hash.contains(part.chain_hash))
        {
            break;
        }
        cached += part.tokens;
    }
    return cached;
}

auto prompt_cache_model::on_read(const prompt_shape& prompt) -> void
{
    for (const auto& part : prompt.parts)
    {
        const auto found = this->by_hash.find(part.chain_hash);
        if (found != this->by_hash.end())
        {
            this->by_use.splice(this->by_use.begin(), this->by_use, found->second);
            continue;
        }
        this->by_use.push_front({part.chain_hash, part.tokens});
        this->by_hash[part.chain_hash] = this->by_use.begin();
        this->used += part.tokens;
    }
    while (this->used > this->capacity && !this->by_use.empty())
    {
        const auto& oldest = this->by_use.back();
        this->used -= oldest.tokens;
        this->by_hash.erase(oldest.chain_hash);
        this->by_use.pop_back();
    }
}

auto prompt_cache_model::clear() -> void
{
    this->by_use.clear();
    this->by_hash.clear();
    this->used = 0;
}

} // namespace poplardrift::routing
