#include "fault_schedule.hpp"

#include <algorithm>
#include <array>

namespace poplardrift::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto look_interval = 10ms;
constexpr auto stop_slack = 1000ms; ///< a planned stop may take this much longer than promised

} // namespace

fault_schedule::fault_schedule(soak_fleet& fleet, std::uint64_t seed,
                               const std::vector<std::string>& kinds)
    : fleet(fleet), random(seed)
{
    this->longest_pause_ms = 600 + this->draw(4000);
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
        {"history", &fault_schedule::forget_history},
        {"store-link", &fault_schedule::harm_store_link},
        {"upstream-link", &fault_schedule::harm_upstream_link},
        {"drain", &fault_schedule::drain_upstream},
        {"zone", &fault_schedule::switch_zone}};
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
    const auto odds = 1 + this->draw(4); // of five
    for (const auto& kind : all_kinds())
    {
        const auto is_drawn = this->draw(5) < odds;
        const auto is_named = std::find(names.begin(), names.end(), kind.name) != names.end();
        if (names.empty() ? is_drawn : is_named)
        {
            this->kinds.push_back(kind);
            this->tell("has " + kind.name);
        }
    }
}

auto fault_schedule::draw(std::size_t most) -> std::size_t
{
    return this->random() % most;
}

auto fault_schedule::draw_time(std::size_t least_ms, std::size_t most_ms)
    -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(least_ms + this->draw(most_ms - least_ms));
}

auto fault_schedule::tell(const std::string& what) -> void
{
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - this->began);
    this->story.push_back(std::to_string(at.count()) + " ms: " + what);
}

auto fault_schedule::run(std::chrono::milliseconds length) -> void
{
    const auto end = this->began + length;
    auto next = clock::now();
    while (clock::now() < end)
    {
        this->end_due(clock::now());
        if (clock::now() >= next)
        {
            this->begin_one();
            next = clock::now() + this->draw_time(100, this->longest_pause_ms);
        }
        std::this_thread::sleep_for(look_interval);
    }
    while (!this->ends.empty())
    {
        this->end_due(clock::now());
        std::this_thread::sleep_for(look_interval);
    }
    this->tell("all faults have ended");
}

auto fault_schedule::begin_one() -> void
{
    if (!this->kinds.empty())
    {
        (this->*this->kinds[this->draw(this->kinds.size())].begin)();
    }
}

auto fault_schedule::change_key() -> void
{
    this->tell("the key changes");
    this->fleet.rotate_key();
}

auto fault_schedule::end_later(std::chrono::milliseconds delay, action end) -> void
{
    this->ends.emplace(clock::now() + delay, std::move(end));
}

auto fault_schedule::end_due(clock::time_point now) -> void
{
    while (!this->ends.empty() && this->ends.begin()->first <= now)
    {
        const auto end = std::move(this->ends.begin()->second);
        this->ends.erase(this->ends.begin());
        end();
    }
}

auto fault_schedule::draw_free_host() -> std::optional<std::size_t>
{
    const auto host = this->draw(this->fleet.count_hosts());
    return this->busy_hosts.insert(host).second ? std::optional(host) : std::nullopt;
}

auto fault_schedule::start_again(std::size_t host) -> void
{
    this->tell("start h" + std::to_string(host));
    if (!this->fleet.get_host(host).start())
    {
        this->fleet.get_book().add_finding("cannot start h" + std::to_string(host));
    }
    this->busy_hosts.erase(host);
}

auto fault_schedule::kill_host() -> void
{
    if (const auto host = this->draw_free_host())
    {
        this->tell("kill h" + std::to_string(*host));
        this->fleet.get_host(*host).kill();
        this->end_later(this->draw_time(50, 2000), [this, host] { this->start_again(*host); });
    }
}

auto fault_schedule::stop_host() -> void
{
    if (const auto host = this->draw_free_host())
    {
        this->tell("stop h" + std::to_string(*host));
        this->fleet.get_host(*host).begin_stop();
        this->end_later(100ms, [this, host] { this->await_end_of(*host); });
    }
}

auto fault_schedule::await_end_of(std::size_t host) -> void
{
    auto& process = this->fleet.get_host(host);
    if (process.wait_for_end(0ms))
    {
        this->end_later(this->draw_time(300, 1500), [this, host] { this->start_again(host); });
        return;
    }
    if (process.was_stopped_after(clock::now() - soak_fleet::stop_within - stop_slack))
    {
        this->end_later(100ms, [this, host] { this->await_end_of(host); });
        return;
    }
    this->fleet.get_book().add_finding(process.get_name() + " does not end after a planned stop");
    process.kill();
    this->start_again(host);
}

auto fault_schedule::pause_host() -> void
{
    if (const auto host = this->draw_free_host())
    {
        this->tell("pause h" + std::to_string(*host));
        this->fleet.get_host(*host).pause();
        this->end_later(this->draw_time(100, 4000),
                        [this, host]
                        {
                            this->tell("resume h" + std::to_string(*host));
                            this->fleet.get_host(*host).resume();
                            this->busy_hosts.erase(*host);
                        });
    }
}

auto fault_schedule::reload_host() -> void
{
    const auto host = this->draw(this->fleet.count_hosts());
    this->tell("reload h" + std::to_string(host));
    this->fleet.get_host(host).reload();
}

auto fault_schedule::stop_store() -> void
{
    if (std::exchange(this->store_is_down, true))
    {
        return;
    }
    this->tell("the store is down");
    this->fleet.change_store_faults(1);
    this->fleet.get_store().set_down(true);
    this->end_later(this->draw_time(200, 4000),
                    [this]
                    {
                        this->tell("the store is back");
                        this->fleet.get_store().set_down(false);
                        this->fleet.change_store_faults(-1);
                        this->store_is_down = false;
                    });
}

auto fault_schedule::forget_history() -> void
{
    this->tell("the store forgets its history");
    this->fleet.get_store().expire("keyed.op");
    this->fleet.get_store().expire("keyed.servers");
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

auto fault_schedule::harm_store_link() -> void
{
    const auto host = this->draw(this->fleet.count_hosts());
    auto& link = this->fleet.get_store_link(host);
    this->tell("harm the store's link of h" + std::to_string(host));
    this->fleet.change_store_faults(1);
    if (this->draw(2) == 0)
    {
        link.reset_all();
    }
    link.set_fault(this->draw_link_fault());
    this->end_later(this->draw_time(200, 4000),
                    [this, &link]
                    {
                        link.set_fault({});
                        this->fleet.change_store_faults(-1);
                    });
}

auto fault_schedule::harm_upstream_link() -> void
{
    const auto number = this->draw(this->fleet.count_upstreams());
    if (!this->busy_upstreams.insert(number).second)
    {
        return;
    }
    auto& link = this->fleet.get_upstream(number).get_link();
    this->tell("harm the link of u" + std::to_string(number));
    this->fleet.change_link_faults(1);
    if (this->draw(2) == 0)
    {
        link.reset_all();
    }
    link.set_fault(this->draw_link_fault());
    this->end_later(this->draw_time(200, 3000),
                    [this, &link, number]
                    {
                        link.set_fault({});
                        this->fleet.change_link_faults(-1);
                        this->busy_upstreams.erase(number);
                    });
}

auto fault_schedule::drain_upstream() -> void
{
    const auto number = this->draw(this->fleet.count_upstreams());
    const auto are_enough = this->leaving.size() + 2 < this->fleet.count_upstreams();
    if (!are_enough || !this->leaving.insert(number).second)
    {
        return;
    }
    this->tell("u" + std::to_string(number) + " leaves");
    this->fleet.set_leaving(number, true);
    this->end_later(this->draw_time(1000, 6000),
                    [this, number]
                    {
                        this->tell("u" + std::to_string(number) + " comes back");
                        this->fleet.set_leaving(number, false);
                        this->leaving.erase(number);
                    });
}

auto fault_schedule::switch_zone() -> void
{
    if (std::exchange(this->zone_is_out, true))
    {
        return;
    }
    const std::string zone = this->draw(2) == 0 ? "z-a" : "z-b";
    this->tell(zone + " is taken out");
    this->fleet.set_zone_out(zone, true);
    this->end_later(this->draw_time(1000, 9000),
                    [this, zone]
                    {
                        this->tell(zone + " is taken back");
                        this->fleet.set_zone_out(zone, false);
                        this->zone_is_out = false;
                    });
}

} // namespace poplardrift::soak
