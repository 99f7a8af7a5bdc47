#include "load/oracle.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift::load
{

placement_oracle::placement_oracle(const nlohmann::json& engines, std::int64_t cache_tokens,
                                   double load_bound)
    : cache_tokens(cache_tokens), load_bound(load_bound)
{
    for (const auto& item : engines)
    {
        engine_state state;
        state.name = item.at("name");
        state.zone = item.at("zone");
        this->engines.push_back(std::move(state));
    }
}

auto placement_oracle::longest(engine_state& at,
                               const std::vector<std::pair<std::uint64_t, std::int64_t>>& prefixes)
    -> std::int64_t
{
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix)
    {
        if (at.entries.contains(prefix->first))
        {
            return prefix->second;
        }
    }
    return 0;
}

auto placement_oracle::begin(const std::vector<std::pair<std::uint64_t, std::int64_t>>& prefixes)
    -> choice
{
    const std::lock_guard lock(this->mutex);
    int total = 1;
    int eligible = 0;
    for (const auto& engine : this->engines)
    {
        total += engine.in_flight;
        eligible += this->out_zones.contains(engine.zone) ? 0 : 1;
    }
    const auto bound = std::ceil(this->load_bound * total / std::max(eligible, 1) - 1e-9);
    choice best;
    bool found = false;
    for (std::size_t index = 0; index < this->engines.size(); ++index)
    {
        auto& engine = this->engines[index];
        if (this->out_zones.contains(engine.zone) || engine.in_flight + 1 > bound)
        {
            continue;
        }
        const auto cached = this->longest(engine, prefixes);
        const auto better =
            cached > best.cached ||
            (cached == best.cached && engine.in_flight < this->engines[best.engine].in_flight);
        if (!found || better)
        {
            best = {index, cached};
            found = true;
        }
    }
    ++this->engines[best.engine].in_flight;
    return best;
}

auto placement_oracle::end(std::size_t index, std::uint64_t prompt, std::int64_t tokens) -> void
{
    const std::lock_guard lock(this->mutex);
    auto& engine = this->engines[index];
    --engine.in_flight;
    if (engine.entries.contains(prompt))
    {
        return;
    }
    engine.by_use.emplace_front(prompt, tokens);
    engine.entries[prompt] = engine.by_use.begin();
    engine.used_tokens += tokens;
    while (engine.used_tokens > this->cache_tokens && engine.by_use.size() > 1)
    {
        engine.used_tokens -= engine.by_use.back().second;
        engine.entries.erase(engine.by_use.back().first);
        engine.by_use.pop_back();
    }
}

auto placement_oracle::set_zone(const std::string& zone, bool in_service) -> void
{
    const std::lock_guard lock(this->mutex);
    if (in_service)
    {
        this->out_zones.erase(zone);
    }
    else
    {
        this->out_zones.insert(zone);
    }
}

auto placement_oracle::clear(const std::string& engine_name) -> void
{
    const std::lock_guard lock(this->mutex);
    for (auto& engine : this->engines)
    {
        if (engine.name == engine_name || engine_name == "*")
        {
            engine.by_use.clear();
            engine.entries.clear();
            engine.used_tokens = 0;
        }
    }
}

} // namespace poplardrift::load
