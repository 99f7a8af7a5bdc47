#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace poplardrift::load
{

/// The best that any placement could do: it knows every engine's cache and load at every moment,
/// and keeps the same bound. Fed with the requests of a run as they begin and end.
class placement_oracle final
{
public:
    /// `engines` as in client.json; `cache_tokens` is each engine's memory for prompts.
    placement_oracle(const nlohmann::json& engines, std::int64_t cache_tokens, double load_bound);

    /// A request begins: picks an engine and returns the tokens that its cache would give.
    struct choice
    {
        std::size_t engine = 0;
        std::int64_t cached = 0;
    };
    [[nodiscard]] auto begin(const std::vector<std::pair<std::uint64_t, std::int64_t>>& prefixes)
        -> choice;
    /// It ended, and the engine now holds this prompt with its answer.
    auto end(std::size_t engine, std::uint64_t prompt, std::int64_t tokens) -> void;
    auto set_zone(const std::string& zone, bool in_service) -> void;
    /// The engine lost its memory.
    auto clear(const std::string& engine_name) -> void;

private:
    struct engine_state
    {
        std::string name;
        std::string zone;
        int in_flight = 0;
        std::int64_t used_tokens = 0;
        std::list<std::pair<std::uint64_t, std::int64_t>> by_use;
        std::unordered_map<std::uint64_t,
                           std::list<std::pair<std::uint64_t, std::int64_t>>::iterator>
            entries;
    };

    [[nodiscard]] auto longest(engine_state& at,
                               const std::vector<std::pair<std::uint64_t, std::int64_t>>& prefixes)
        -> std::int64_t;

    std::int64_t cache_tokens;
    double load_bound;
    std::mutex mutex;
    std::vector<engine_state> engines;
    std::set<std::string> out_zones;
};

} // namespace poplardrift::load
