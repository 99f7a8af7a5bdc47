#include "fault_schedule.hpp"

#include <algorithm>
#include <array>

namespace poplardrift::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto poll_interval = 10ms;
/// Occurs by name only, so that seeds keep the faults that they selected before there was this
/// kind.
constexpr const char* restore_kind = "restore";
constexpr auto stop_margin = 1000ms; ///< tolerance beyond the promised time of a planned stop

} // namespace

fault_schedule::fault_schedule(soak_fleet& fleet, std::uint64_t seed,
                               const std::vector<std::string>& kinds)
    : fleet(fleet), random(seed)
{
    this->max_fault_interval_ms = 600 + this->draw(4000);
    this->choose_kinds(kinds);
}

auto fault_schedule::all_kinds() -> const std::vector<fault_kind>&
{
    static const std::vector<fault_kind> kinds = {
        {"kill", &fault_schedule::kill_host},
        {"stop", &fault_schedule::stop_host},
        {"pause", &fault_schedule::pause_host},
        {"reload", &fault_schedule::reload_host},
        {"key", &fault_schedule::change_key},
        {"store", &fault_schedule::stop_store},
        {"history", &fault_schedule::expire_store_history},
        {"store-link", &fault_schedule::disturb_store_link},
        {"upstream-link", &fault_schedule::disturb_upstream_link},
        {"drain", &fault_schedule::drain_upstream},
        {"zone", &fault_schedule::evacuate_zone},
        {"fatal-prompts", &fault_schedule::begin_fatal_prompts},
        {restore_kind, &fault_schedule::restore_store}};
    return kinds;
}

auto fault_schedule::kind_names() -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& kind : all_kinds())
    {
        names.push_back(kind.name);
    }
    return names;
}

auto fault_schedule::choose_kinds(const std::vector<std::string>& names) -> void
{
    const auto selection_chance = 1 + this->draw(4); // out of five
    for (const auto& kind : all_kinds())
    {
        const auto is_selected = kind.name != restore_kind && this->draw(5) < selection_chance;
        const auto is_named = std::find(names.begin(), names.end(), kind.name) != names.end();
        if (names.empty() ? is_selected : is_named)
        {
            this->kinds.push_back(kind);
            this->log_event("has " + kind.name);
        }
    }
}

auto fault_schedule::draw(std::size_t limit) -> std::size_t
{
    return this->random() % limit;
}

auto fault_schedule::draw_time(std::size_t min_ms, std::size_t max_ms) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(min_ms + this->draw(max_ms - min_ms));
}

auto fault_schedule::log_event(const std::string& what) -> void
{
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - this->started_at);
    this->event_log.push_back(std::to_string(at.count()) + " ms: " + what);
}

auto fault_schedule::run(std::chrono::milliseconds length) -> void
{
    const auto end = this->started_at + length;
    auto next = clock::now();
    while (clock::now() < end)
    {
        this->run_due_recoveries(clock::now());
        if (clock::now() >= next)
        {
            this->inject_fault();
            next = clock::now() + this->draw_time(100, this->max_fault_interval_ms);
        }
        std::this_thread::sleep_for(poll_interval);
    }
    while (!this->pending_recoveries.empty())
    {
        this->run_due_recoveries(clock::now());
        std::this_thread::sleep_for(poll_interval);
    }
    this->log_event("all faults have ended");
}

auto fault_schedule::inject_fault() -> void
{
    if (!this->kinds.empty())
    {
        (this->*this->kinds[this->draw(this->kinds.size())].inject)();
    }
}

auto fault_schedule::change_key() -> void
{
    this->log_event("the key changes");
    this->fleet.rotate_key();
}

auto fault_schedule::schedule_recovery(std::chrono::milliseconds delay, recovery recover) -> void
{
    this->pending_recoveries.emplace(clock::now() + delay, std::move(recover));
}

auto fault_schedule::run_due_recoveries(clock::time_point now) -> void
{
    while (!this->pending_recoveries.empty() && this->pending_recoveries.begin()->first <= now)
    {
        const auto recover = std::move(this->pending_recoveries.begin()->second);
        this->pending_recoveries.erase(this->pending_recoveries.begin());
        recover();
    }
}

auto fault_schedule::draw_unfaulted_host() -> std::optional<std::size_t>
{
    const auto host = this->draw(this->fleet.count_hosts());
    return this->faulted_hosts.insert(host).second ? std::optional(host) : std::nullopt;
}

auto fault_schedule::restart_host(std::size_t host) -> void
{
    this->log_event("start h" + std::to_string(host));
    if (!this->fleet.get_host(host).start())
    {
        this->fleet.get_tracker().add_finding("cannot start h" + std::to_string(host));
    }
    this->faulted_hosts.erase(host);
}

auto fault_schedule::kill_host() -> void
{
    if (const auto host = this->draw_unfaulted_host())
    {
        this->log_event("kill h" + std::to_string(*host));
        this->fleet.get_host(*host).kill();
        this->schedule_recovery(this->draw_time(50, 2000),
                                [this, host] { this->restart_host(*host); });
    }
}

auto fault_schedule::stop_host() -> void
{
    if (const auto host = this->draw_unfaulted_host())
    {
        this->log_event("stop h" + std::to_string(*host));
        this->fleet.get_host(*host).begin_stop();
        this->schedule_recovery(100ms, [this, host] { this->await_exit(*host); });
    }
}

auto fault_schedule::await_exit(std::size_t host) -> void
{
    auto& process = this->fleet.get_host(host);
    if (process.wait_for_exit(0ms))
    {
        this->schedule_recovery(this->draw_time(300, 1500),
                                [this, host] { this->restart_host(host); });
        return;
    }
    if (process.was_stop_requested_after(clock::now() - soak_fleet::stop_limit - stop_margin))
    {
        this->schedule_recovery(100ms, [this, host] { this->await_exit(host); });
        return;
    }
    this->fleet.get_tracker().add_finding(process.get_name() +
                                          " did not exit in time after a planned stop");
    process.kill();
    this->restart_host(host);
}

auto fault_schedule::pause_host() -> void
{
    if (const auto host = this->draw_unfaulted_host())
    {
        this->log_event("pause h" + std::to_string(*host));
        this->fleet.get_host(*host).pause();
        this->schedule_recovery(this->draw_time(100, 4000),
                                [this, host]
                                {
                                    this->log_event("resume h" + std::to_string(*host));
                                    this->fleet.get_host(*host).resume();
                                    this->faulted_hosts.erase(*host);
                                });
    }
}

auto fault_schedule::reload_host() -> void
{
    const auto host = this->draw(this->fleet.count_hosts());
    this->log_event("reload h" + std::to_string(host));
    this->fleet.get_host(host).reload();
}

auto fault_schedule::stop_store() -> void
{
    if (std::exchange(this->store_is_down, true))
    {
        return;
    }
    this->log_event("the store is down");
    this->fleet.change_store_faults(1);
    this->fleet.get_store().set_down(true);
    this->schedule_recovery(this->draw_time(200, 4000),
                            [this]
                            {
                                this->log_event("the store is back");
                                this->fleet.get_store().set_down(false);
                                this->fleet.change_store_faults(-1);
                                this->store_is_down = false;
                            });
}

auto fault_schedule::expire_store_history() -> void
{
    this->log_event("the store forgets its history");
    this->fleet.get_store().expire("keyed.op");
    this->fleet.get_store().expire("keyed.servers");
}

auto fault_schedule::restore_store() -> void
{
    if (std::exchange(this->store_is_down, true))
    {
        return;
    }
    this->log_event("the store's copy is taken");
    this->fleet.get_store().take_copy();
    const auto copy_age = this->draw_time(300, 5000);
    const auto outage = this->draw_time(10, 1500);
    this->schedule_recovery(copy_age,
                            [this]
                            {
                                this->log_event("the store is down");
                                this->fleet.change_store_faults(1);
                                this->fleet.get_store().set_down(true);
                            });
    this->schedule_recovery(copy_age + outage,
                            [this]
                            {
                                this->log_event("the store is back from its copy");
                                this->fleet.get_store().restore();
                                this->fleet.get_store().set_down(false);
                                this->fleet.write_again();
                                this->fleet.change_store_faults(-1);
                                this->store_is_down = false;
                            });
}

auto fault_schedule::draw_link_fault() -> link_fault
{
    static const std::array<link_fault, 5> faults = {{{150ms, false, false, false},
                                                      {0ms, true, false, false},
                                                      {0ms, false, true, false},
                                                      {0ms, true, true, false},
                                                      {0ms, false, false, true}}};
    return faults[this->draw(faults.size())];
}

auto fault_schedule::disturb_store_link() -> void
{
    const auto host = this->draw(this->fleet.count_hosts());
    auto& link = this->fleet.get_store_link(host);
    this->log_event("harm the store's link of h" + std::to_string(host));
    this->fleet.change_store_faults(1);
    if (this->draw(2) == 0)
    {
        link.reset_all();
    }
    link.set_fault(this->draw_link_fault());
    this->schedule_recovery(this->draw_time(200, 4000),
                            [this, &link]
                            {
                                link.set_fault({});
                                this->fleet.change_store_faults(-1);
                            });
}

auto fault_schedule::disturb_upstream_link() -> void
{
    const auto number = this->draw(this->fleet.count_upstreams());
    if (!this->faulted_upstream_links.insert(number).second)
    {
        return;
    }
    auto& link = this->fleet.get_upstream(number).get_link();
    this->log_event("harm the link of u" + std::to_string(number));
    this->fleet.change_link_faults(1);
    if (this->draw(2) == 0)
    {
        link.reset_all();
    }
    link.set_fault(this->draw_link_fault());
    this->schedule_recovery(this->draw_time(200, 3000),
                            [this, &link, number]
                            {
                                link.set_fault({});
                                this->fleet.change_link_faults(-1);
                                this->faulted_upstream_links.erase(number);
                            });
}

auto fault_schedule::drain_upstream() -> void
{
    const auto number = this->draw(this->fleet.count_upstreams());
    const auto leaves_enough_upstreams =
        this->draining_upstreams.size() + 2 < this->fleet.count_upstreams();
    if (!leaves_enough_upstreams || !this->draining_upstreams.insert(number).second)
    {
        return;
    }
    this->log_event("u" + std::to_string(number) + " leaves");
    this->fleet.set_draining(number, true);
    this->schedule_recovery(this->draw_time(1000, 6000),
                            [this, number]
                            {
                                this->log_event("u" + std::to_string(number) + " comes back");
                                this->fleet.set_draining(number, false);
                                this->draining_upstreams.erase(number);
                            });
}

auto fault_schedule::evacuate_zone() -> void
{
    if (std::exchange(this->zone_is_evacuated, true))
    {
        return;
    }
    const std::string zone = this->draw(2) == 0 ? "z-a" : "z-b";
    this->log_event(zone + " is taken out");
    this->fleet.set_zone_evacuated(zone, true);
    this->schedule_recovery(this->draw_time(1000, 9000),
                            [this, zone]
                            {
                                this->log_event(zone + " is taken back");
                                this->fleet.set_zone_evacuated(zone, false);
                                this->zone_is_evacuated = false;
                            });
}

auto fault_schedule::begin_fatal_prompts() -> void
{
    if (std::exchange(this->has_fatal_prompts, true))
    {
        return;
    }
    this->log_event("prompts that end upstreams begin");
    this->fleet.set_fatal_part(true);
    this->schedule_recovery(this->draw_time(3000, 12'000),
                            [this]
                            {
                                this->log_event("prompts that end upstreams are over");
                                this->fleet.set_fatal_part(false);
                                this->has_fatal_prompts = false;
                            });
}

} // namespace poplardrift::soak
