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

/// Injects faults drawn from a seed, one after another and overlapping, and ends each after a drawn
/// time. The seed also determines which kinds of fault occur and how often: if everything were
/// disturbed all the time, no guarantee with a time bound would apply and be checked.
class fault_schedule final
{
public:
    /// `kinds` names the kinds of fault to inject; if it is empty, the seed selects them among all
    /// but those that occur by name only.
    fault_schedule(soak_fleet& fleet, std::uint64_t seed, const std::vector<std::string>& kinds);

    [[nodiscard]] static auto kind_names() -> std::vector<std::string>;

    /// Injects faults for `length`, then waits until all active faults have ended. Blocks.
    auto run(std::chrono::milliseconds length) -> void;
    /// The injected faults and recoveries with their times, one line each.
    [[nodiscard]] auto get_event_log() const -> const std::vector<std::string>&
    {
        return this->event_log;
    }

private:
    using recovery = std::function<void()>;
    using injection = void (fault_schedule::*)();
    struct fault_kind
    {
        std::string name;
        injection inject;
    };

    [[nodiscard]] static auto all_kinds() -> const std::vector<fault_kind>&;
    auto choose_kinds(const std::vector<std::string>& names) -> void;

    auto inject_fault() -> void;
    auto kill_host() -> void;
    auto stop_host() -> void;
    auto pause_host() -> void;
    auto reload_host() -> void;
    auto change_key() -> void;
    auto stop_store() -> void;
    auto expire_store_history() -> void;
    auto restore_store() -> void;
    auto disturb_store_link() -> void;
    auto disturb_upstream_link() -> void;
    auto drain_upstream() -> void;
    auto evacuate_zone() -> void;
    auto begin_fatal_prompts() -> void;

    auto schedule_recovery(std::chrono::milliseconds delay, recovery recover) -> void;
    auto run_due_recoveries(clock::time_point now) -> void;
    auto await_exit(std::size_t host) -> void;
    auto restart_host(std::size_t host) -> void;
    /// Draws one host and reserves it; nothing if it is already under a fault.
    [[nodiscard]] auto draw_unfaulted_host() -> std::optional<std::size_t>;
    [[nodiscard]] auto draw_link_fault() -> link_fault;
    [[nodiscard]] auto draw(std::size_t limit) -> std::size_t;
    [[nodiscard]] auto draw_time(std::size_t min_ms, std::size_t max_ms)
        -> std::chrono::milliseconds;
    auto log_event(const std::string& what) -> void;

    soak_fleet& fleet;
    std::mt19937_64 random;
    clock::time_point started_at = clock::now();
    std::vector<fault_kind> kinds;
    std::size_t max_fault_interval_ms = 0; ///< between the starts of faults
    std::multimap<clock::time_point, recovery> pending_recoveries;
    std::set<std::size_t> faulted_hosts;
    std::set<std::size_t> faulted_upstream_links;
    std::set<std::size_t> draining_upstreams;
    bool zone_is_evacuated = false;
    bool store_is_down = false;
    bool has_fatal_prompts = false;
    std::vector<std::string> event_log;
};

} // namespace poplardrift::soak
