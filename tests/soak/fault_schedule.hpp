#pragma once

#include "soak_fleet.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace poplardrift::soak
{

/// Draws faults from a seed, in series and overlapping, and ends each after a drawn time. A seed
/// also draws which kinds of fault it has and how close they come: where everything is disturbed
/// all the time, no promise with a bound on time binds.
class fault_schedule final
{
public:
    /// `kinds` names the faults; when it is empty, the seed draws them.
    fault_schedule(soak_fleet& fleet, std::uint64_t seed, const std::vector<std::string>& kinds);

    [[nodiscard]] static auto kind_names() -> std::vector<std::string>;

    /// Injects faults for `length`, then ends all that are under way.
    auto run(std::chrono::milliseconds length) -> void;
    /// What was done, one line each.
    [[nodiscard]] auto get_story() const -> const std::vector<std::string>& { return this->story; }

private:
    using action = std::function<void()>;
    using step = void (fault_schedule::*)();
    struct fault_kind
    {
        std::string name;
        step begin;
    };

    [[nodiscard]] static auto all_kinds() -> const std::vector<fault_kind>&;
    auto choose_kinds(const std::vector<std::string>& names) -> void;

    auto begin_one() -> void;
    auto kill_host() -> void;
    auto stop_host() -> void;
    auto pause_host() -> void;
    auto reload_host() -> void;
    auto change_key() -> void;
    auto stop_store() -> void;
    auto forget_history() -> void;
    auto harm_store_link() -> void;
    auto harm_upstream_link() -> void;
    auto drain_upstream() -> void;
    auto switch_zone() -> void;

    auto end_later(std::chrono::milliseconds delay, action end) -> void;
    auto end_due(clock::time_point now) -> void;
    auto await_end_of(std::size_t host) -> void;
    auto start_again(std::size_t host) -> void;
    /// A host that no other fault has in hand; nothing when all have.
    [[nodiscard]] auto draw_free_host() -> std::optional<std::size_t>;
    [[nodiscard]] auto draw_link_fault() -> link_fault;
    [[nodiscard]] auto draw(std::size_t most) -> std::size_t;
    [[nodiscard]] auto draw_time(std::size_t least_ms, std::size_t most_ms)
        -> std::chrono::milliseconds;
    auto tell(const std::string& what) -> void;

    soak_fleet& fleet;
    std::mt19937_64 random;
    clock::time_point began = clock::now();
    std::vector<fault_kind> kinds;
    std::size_t longest_pause_ms = 0; ///< between the beginnings of faults
    std::multimap<clock::time_point, action> ends;
    std::set<std::size_t> busy_hosts;
    std::set<std::size_t> busy_upstreams; ///< their links
    std::set<std::size_t> leaving;
    bool zone_is_out = false;
    bool store_is_down = false;
    std::vector<std::string> story;
};

} // namespace poplardrift::soak
