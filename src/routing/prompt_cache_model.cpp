#include "routing/prompt_cache_model.hpp"

namespace poplardrift::routing
{

auto prompt_cache_model::cached_tokens(const prompt_metadata& prompt) const -> std::uint32_t
{
    std::uint32_t tokens = 0;
    std::uint32_t cached = 0;
    for (const auto& part : prompt.parts)
    {
        tokens += part.tokens;
        // Other hosts report a single part, which implies that all parts before it are cached.
        if (this->by_hash.contains(part.chain_hash))
        {
            cached = tokens;
        }
    }
    return cached;
}

auto prompt_cache_model::on_prefilled(const prompt_metadata& prompt) -> void
{
    // In reverse order, so that the LRU eviction removes a part before the parts it depends on.
    for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part)
    {
        this->touch(*part);
    }
    this->evict();
}

auto prompt_cache_model::on_prefilled_elsewhere(const prompt_part& part) -> void
{
    this->touch(part);
    this->evict();
}

auto prompt_cache_model::touch(const prompt_part& part) -> void
{
    const auto found = this->by_hash.find(part.chain_hash);
    if (found != this->by_hash.end())
    {
        this->lru_entries.splice(this->lru_entries.begin(), this->lru_entries, found->second);
        return;
    }
    this->lru_entries.push_front({part.chain_hash, part.tokens});
    this->by_hash[part.chain_hash] = this->lru_entries.begin();
    this->used_tokens += part.tokens;
}

auto prompt_cache_model::evict() -> void
{
    while (this->used_tokens > this->max_tokens && !this->lru_entries.empty())
    {
        const auto& oldest = this->lru_entries.back();
        this->used_tokens -= oldest.tokens;
        this->by_hash.erase(oldest.chain_hash);
        this->lru_entries.pop_back();
    }
}

auto prompt_cache_model::clear() -> void
{
    this->lru_entries.clear();
    this->by_hash.clear();
    this->used_tokens = 0;
}

} // namespace poplardrift::routing
