#include "routing/prompt_cache_model.hpp"

namespace poplardrift::routing
{

auto prompt_cache_model::cached_tokens(const prompt_shape& prompt) const -> std::uint32_t
{
    std::uint32_t tokens = 0;
    std::uint32_t cached = 0;
    for (const auto& part : prompt.parts)
    {
        tokens += part.tokens;
        // Other hosts tell of one part only; a part stands for all that come before it.
        if (this->by_hash.contains(part.chain_hash))
        {
            cached = tokens;
        }
    }
    return cached;
}

auto prompt_cache_model::on_read(const prompt_shape& prompt) -> void
{
    // The last part first: parts that others build on are forgotten after those that follow them.
    for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part)
    {
        this->touch(*part);
    }
    this->evict();
}

auto prompt_cache_model::on_read_elsewhere(const prompt_part& part) -> void
{
    this->touch(part);
    this->evict();
}

auto prompt_cache_model::touch(const prompt_part& part) -> void
{
    const auto found = this->by_hash.find(part.chain_hash);
    if (found != this->by_hash.end())
    {
        this->by_use.splice(this->by_use.begin(), this->by_use, found->second);
        return;
    }
    this->by_use.push_front({part.chain_hash, part.tokens});
    this->by_hash[part.chain_hash] = this->by_use.begin();
    this->used += part.tokens;
}

auto prompt_cache_model::evict() -> void
{
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
