#pragma once

#include "overload/admission_gate.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace poplardrift::overload
{

/// One run of several hosts in front of a plain service, for tests and the benchmark.
struct simulation_settings
{
    std::size_t hosts = 1;
    double load = 1.0; ///< arrivals as a part of the capacity, during the load phase
    duration figures_age{};
    bool with_gate = true;
    int slots = 18;
    std::size_t queue_size = 72; ///< waiting requests beyond which the service declines
    duration service_time = std::chrono::milliseconds(30);
    duration objective = std::chrono::milliseconds(150);
    duration deadline = std::chrono::milliseconds(2500);
    duration warm_up = std::chrono::seconds(5); ///< at the usual load, 0.7 of the capacity
    duration load_phase = std::chrono::seconds(10);
    duration calm_phase = std::chrono::seconds(4); ///< at half of the capacity
    int classes = 3;
    std::uint64_t workspaces = 20;
    /// Multiple of the usual load of workspace 0 during the load phase, which then replaces `load`.
    double flood = 0.0;
    bool repeats_at_once = false; ///< callers with odd ids return 20 ms after each refusal
    std::uint64_t seed = 1;

    [[nodiscard]] auto capacity() const -> double
    {
        return this->slots / to_seconds(this->service_time);
    }
};

/// What a group of requests got in the load phase.
struct group_result
{
    int asked = 0;
    int served = 0;
    int in_time = 0; ///< within the objective

    [[nodiscard]] auto share_in_time() const -> double
    {
        return this->asked == 0 ? 1.0 : static_cast<double>(this->in_time) / this->asked;
    }
};

struct simulation_result
{
    group_result all;
    group_result calm; ///< from one second after the load phase
    std::map<int, group_result> by_class;
    std::map<std::uint64_t, group_result> by_workspace;
    group_result repeating; ///< callers that return at once
    group_result patient;
    duration longest_wait{}; ///< until a refusal
    int declined = 0;
};

class simulation final
{
public:
    explicit simulation(simulation_settings settings)
        : settings(settings), random(settings.seed), gates(settings.hosts),
          published(settings.hosts), timers(settings.hosts, time_point::max())
    {
    }

    auto run() -> simulation_result
    {
        this->schedule_arrival(this->start);
        for (auto at = this->start; at < this->end(); at += std::chrono::milliseconds(50))
        {
            this->events.push({at, [this, at] { this->exchange_figures(at); }});
        }
        while (!this->events.empty())
        {
            auto next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.action();
        }
        return this->result;
    }

private:
    struct request
    {
        std::uint64_t id = 0;
        std::uint64_t workspace = 0;
        int priority = 0;
        time_point arrived{};
        time_point first_arrived{};
        time_point sent_at{};
        std::size_t host = 0;
        int tries = 0;
    };
    struct event
    {
        time_point at;
        std::function<void()> action;
        auto operator<(const event& other) const -> bool { return this->at > other.at; }
    };

    [[nodiscard]] auto load_start() const -> time_point
    {
        return this->start + this->settings.warm_up;
    }
    [[nodiscard]] auto load_end() const -> time_point
    {
        return this->load_start() + this->settings.load_phase;
    }
    [[nodiscard]] auto end() const -> time_point
    {
        return this->load_end() + this->settings.calm_phase;
    }

    auto schedule_arrival(time_point from) -> void
    {
        constexpr double usual_load = 0.7;
        constexpr double calm_load = 0.5;
        const auto in_load = from >= this->load_start() && from < this->load_end();
        const auto flood_part = 1.0 / static_cast<double>(this->settings.workspaces);
        const auto flooded = 1.0 + (this->settings.flood - 1.0) * flood_part;
        const auto is_flood = in_load && this->settings.flood > 0.0;
        const auto load = is_flood                  ? usual_load * flooded
                          : in_load                 ? this->settings.load
                          : from < this->load_end() ? usual_load
                                                    : calm_load;
        std::exponential_distribution<double> gap(this->settings.capacity() * load);
        const auto at = from + from_seconds(gap(this->random));
        if (at >= this->end())
        {
            return;
        }
        request made;
        made.id = this->next_id++;
        std::uniform_real_distribution<double> part(0.0, 1.0);
        const auto from_flood =
            is_flood && part(this->random) < (this->settings.flood - 1.0) * flood_part / flooded;
        made.workspace = from_flood ? 0 : this->random() % this->settings.workspaces;
        made.priority =
            static_cast<int>(made.workspace % static_cast<std::uint64_t>(this->settings.classes));
        made.first_arrived = at;
        this->events.push({at, [this, made]
                           {
                               this->arrive(made);
                               this->schedule_arrival(this->now);
                           }});
    }

    auto groups_of(const request& it) -> std::vector<group_result*>
    {
        if (it.first_arrived >= this->load_end() + std::chrono::seconds(1))
        {
            return {&this->result.calm};
        }
        if (it.first_arrived < this->load_start() || it.first_arrived >= this->load_end())
        {
            return {};
        }
        return {&this->result.all, &this->result.by_class[it.priority],
                &this->result.by_workspace[it.workspace],
                it.id % 2 == 1 ? &this->result.repeating : &this->result.patient};
    }

    auto arrive(request it) -> void
    {
        if (it.tries == 0)
        {
            for (auto* const group : this->groups_of(it))
            {
                ++group->asked;
            }
        }
        ++it.tries;
        it.arrived = this->now;
        it.host = this->random() % this->settings.hosts;
        if (!this->settings.with_gate)
        {
            this->send(it);
            return;
        }
        auto& gate = this->gates[it.host];
        gate_request asked{it.id,
                           it.workspace,
                           it.priority,
                           it.arrived,
                           this->settings.objective,
                           it.first_arrived + this->settings.deadline,
                           0};
        const auto decision = gate.offer(asked, this->now);
        if (decision.verdict == gate_verdict::waiting)
        {
            this->waiting[it.host][decision.ticket.value()] = it;
        }
        else
        {
            this->apply(it, decision);
        }
        this->release(it.host);
    }

    auto release(std::size_t host) -> void
    {
        std::vector<gate_decision> ended;
        this->gates[host].release(this->now, ended);
        for (const auto& decision : ended)
        {
            const auto found = this->waiting[host].find(decision.ticket.value());
            const auto it = found->second;
            this->waiting[host].erase(found);
            this->apply(it, decision);
        }
        const auto due = this->gates[host].next_release(this->now);
        if (due < this->timers[host])
        {
            this->timers[host] = due;
            const auto at = std::max(due, this->now + std::chrono::microseconds(100));
            this->events.push({at, [this, host]
                               {
                                   this->timers[host] = time_point::max();
                                   this->release(host);
                               }});
        }
    }

    auto apply(const request& it, const gate_decision& decision) -> void
    {
        if (decision.verdict == gate_verdict::admitted)
        {
            this->send(it);
            return;
        }
        this->result.longest_wait = std::max(this->result.longest_wait, this->now - it.arrived);
        if (!this->settings.repeats_at_once || it.tries > 20)
        {
            return;
        }
        const auto told = decision.returns_in.value_or(std::chrono::milliseconds(600));
        if (!decision.returns_in)
        {
            this->gates[it.host].on_return_told(it.id, this->now + told, this->now);
        }
        const auto wait = it.id % 2 == 1 ? duration(std::chrono::milliseconds(20)) : told;
        if (this->now + wait < it.first_arrived + this->settings.deadline)
        {
            this->events.push({this->now + wait, [this, it] { this->arrive(it); }});
        }
    }

    auto send(request it) -> void
    {
        it.sent_at = this->now;
        if (this->busy < this->settings.slots)
        {
            this->begin(it);
        }
        else if (this->upstream_queue.size() < this->settings.queue_size)
        {
            this->upstream_queue.push_back(it);
        }
        else
        {
            this->result.declined += it.first_arrived >= this->load_start() ? 1 : 0;
            this->gates[it.host].capacity().on_declined(this->now);
        }
    }

    auto begin(const request& it) -> void
    {
        ++this->busy;
        std::uniform_real_distribution<double> spread(0.7, 1.3);
        const auto took =
            from_seconds(to_seconds(this->settings.service_time) * spread(this->random));
        this->events.push({this->now + took, [this, it] { this->complete(it); }});
    }

    auto complete(const request& it) -> void
    {
        --this->busy;
        if (!this->upstream_queue.empty())
        {
            const auto next = this->upstream_queue.front();
            this->upstream_queue.pop_front();
            this->begin(next);
        }
        auto& estimate = this->gates[it.host].capacity();
        const auto took = this->now - it.sent_at;
        estimate.on_first_output(to_seconds(took) / to_seconds(this->settings.objective),
                                 this->now);
        estimate.on_completion(took, this->now);
        // A caller that was refused before counts from its last try.
        const auto in_time = this->now - it.arrived <= this->settings.objective;
        for (auto* const group : this->groups_of(it))
        {
            ++group->served;
            group->in_time += in_time ? 1 : 0;
        }
    }

    auto exchange_figures(time_point at) -> void
    {
        service_figures sum;
        std::vector<service_figures> seen(this->settings.hosts);
        for (std::size_t host = 0; host < this->settings.hosts; ++host)
        {
            auto& history = this->published[host];
            history.emplace_back(at, this->gates[host].capacity().get_local(at));
            while (history.size() > 1 && history[1].first <= at - this->settings.figures_age)
            {
                history.pop_front();
            }
            seen[host] = history.front().second;
            sum.arrivals += seen[host].arrivals;
            sum.completions += seen[host].completions;
            sum.delay += seen[host].delay * seen[host].completions;
        }
        for (std::size_t host = 0; host < this->settings.hosts; ++host)
        {
            auto others = sum;
            others.arrivals -= seen[host].arrivals;
            others.completions -= seen[host].completions;
            others.delay -= seen[host].delay * seen[host].completions;
            others.delay = others.completions > 0.0 ? others.delay / others.completions : 0.0;
            this->gates[host].capacity().set_remote(others, this->settings.figures_age);
            this->gates[host].capacity().set_fleet(this->settings.slots, this->settings.hosts);
        }
    }

    simulation_settings settings;
    std::mt19937_64 random;
    time_point start{std::chrono::hours(1)};
    time_point now = this->start;
    std::vector<admission_gate> gates;
    std::vector<std::deque<std::pair<time_point, service_figures>>> published;
    std::vector<time_point> timers;
    std::map<std::size_t, std::map<std::uint64_t, request>> waiting;
    std::priority_queue<event> events;
    std::deque<request> upstream_queue;
    int busy = 0;
    std::uint64_t next_id = 1;
    simulation_result result;
};

} // namespace poplardrift::overload
