// Plays roll-outs of several kinds against the core, without a network, and prints wrong ends and
// exposure against the bound.
//
// Usage: rollout_verdict_benchmark [ROLLOUTS]

#include "rollout/rollout.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string_view>
#include <vector>

using namespace poplardrift;
using namespace poplardrift::rollout;
using namespace std::chrono_literals;

namespace
{

enum class version_kind
{
    good,
    bad_at_once,
    bad_later,
    bad_under_load,
    bad_on_one_route,
    slow,
    cold_start_noise,
    innocent_crash,
};

struct kind_name
{
    version_kind kind;
    std::string_view name;
    bool is_good;
};
constexpr std::array kinds = {kind_name{version_kind::good, "good", true},
                              kind_name{version_kind::bad_at_once, "bad at once", false},
                              kind_name{version_kind::bad_later, "bad later", false},
                              kind_name{version_kind::bad_under_load, "bad under load", false},
                              kind_name{version_kind::bad_on_one_route, "bad on one route", false},
                              kind_name{version_kind::slow, "slow", false},
                              kind_name{version_kind::cold_start_noise, "cold start noise", true},
                              kind_name{version_kind::innocent_crash, "innocent crash", true}};

constexpr std::size_t host_count = 8;
constexpr duration step = 50ms;
constexpr duration report_interval = 500ms;
constexpr int routes = 4;
constexpr double share_of_last_route = 0.05;
constexpr double usual_bad_share = 0.002;
constexpr double usual_slow_share = 0.05;

/// One roll-out with all its hosts.
class game final
{
public:
    game(version_kind kind, unsigned seed, duration length, double requests_per_second)
        : kind(kind), random(seed), length(length),
          per_step(requests_per_second * to_seconds(step)),
          bad_share(std::uniform_real_distribution(0.2, 1.0)(this->random)),
          event_at(from_seconds(to_seconds(length) *
                                std::uniform_real_distribution(0.2, 0.8)(this->random)))
    {
        const rollout_order order{"chat", "v2", length, order_position(seed), start, true};
        for (std::size_t host = 0; host < host_count; ++host)
        {
            this->hosts.emplace_back(order, rollout_bounds{0.1, 50.0, 5s}, start);
            this->hosts.back().set_hosts({{host_count, host, true}, false});
        }
    }

    auto play() -> void
    {
        for (duration age = 0ns; age < this->length; age += step)
        {
            this->requests_of_step(age);
            this->tick(age);
        }
    }

    [[nodiscard]] auto end() const -> std::optional<rollout_phase> { return this->stored; }
    /// Requests sent to the new version before the deadline, over the bound.
    [[nodiscard]] auto exposure() const -> double
    {
        return static_cast<double>(this->sent_to_new) /
               (0.1 * static_cast<double>(this->requests) + 50.0);
    }
    /// Time between the 50th bad response and the last request to the new version.
    [[nodiscard]] auto late() const -> duration
    {
        return this->fiftieth_bad_at ? std::max(0ns, this->last_sent_at - *this->fiftieth_bad_at)
                                     : 0ns;
    }

private:
    auto requests_of_step(duration age) -> void
    {
        const auto count = std::poisson_distribution<int>(this->per_step)(this->random);
        int sent_now = 0;
        for (int number = 0; number < count; ++number)
        {
            auto& host = this->hosts[this->random() % host_count];
            const auto is_last = this->chance(share_of_last_route);
            const route_key route(is_last ? routes - 1 : this->random() % (routes - 1));
            host.on_request(route);
            ++this->requests;
            const auto is_new = host.choose(route, false) != version_choice::old_version;
            if (is_new)
            {
                host.on_sent_to_new(route);
                ++this->sent_to_new;
                ++sent_now;
                this->last_sent_at = age;
            }
            this->respond(host, route, is_new, age, sent_now);
        }
    }

    auto respond(rollout::service_rollout& host, route_key route, bool is_new, duration age,
                 int sent_now) -> void
    {
        judged_response response{route, is_new, this->random() % 2 == 0 ? 1U : 2U,
                                 response_quality::good, std::nullopt};
        auto bad = usual_bad_share;
        auto slow = usual_slow_share;
        auto crashed = false;
        if (is_new)
        {
            // Load of an old upstream: 6 of them share the requests.
            const auto is_loaded = sent_now > std::max(1.0, this->per_step / 12.0);
            const auto is_last = route == route_key(routes - 1);
            const auto is_bad = this->kind == version_kind::bad_at_once ||
                                (this->kind == version_kind::bad_later && age > this->event_at) ||
                                (this->kind == version_kind::bad_under_load && is_loaded) ||
                                (this->kind == version_kind::bad_on_one_route && is_last);
            bad = is_bad ? this->bad_share : bad;
            slow = this->kind == version_kind::slow ? 0.9 : slow;
            if (this->kind == version_kind::cold_start_noise && age < this->length / 4)
            {
                slow = 0.1;
                bad = 0.01;
            }
            crashed = this->kind == version_kind::innocent_crash && age > this->event_at &&
                      age < this->event_at + 300ms && response.upstream == 1;
        }
        const auto is_bad = this->chance(bad);
        response.quality = crashed  ? response_quality::interrupted
                           : is_bad ? response_quality::failed
                                    : response_quality::good;
        response.slow = this->chance(slow);
        const auto counts_as_bad = is_bad || (this->kind == version_kind::slow && *response.slow);
        if (is_new && counts_as_bad && ++this->bad_responses == certain_bad_responses)
        {
            this->fiftieth_bad_at = age;
        }
        host.on_response(response, start + age);
    }

    auto tick(duration age) -> void
    {
        for (auto& host : this->hosts)
        {
            host.tick(start + age);
            const auto write = host.take_due_write(start + age);
            if (write)
            {
                this->stored = this->stored && is_final(*this->stored) ? *this->stored : *write;
                host.on_recorded(*this->stored, start + age);
            }
        }
        const auto has_ended = this->stored && is_final(*this->stored);
        if (age % report_interval != 0ns && !has_ended)
        {
            return;
        }
        for (std::size_t from = 0; from < host_count; ++from)
        {
            const auto report = this->hosts[from].report();
            for (std::size_t to = 0; to < host_count; ++to)
            {
                if (from != to)
                {
                    this->hosts[to].on_report({static_cast<std::uint32_t>(from), 1}, report,
                                              start + age);
                }
            }
        }
    }

    auto chance(double share) -> bool { return std::bernoulli_distribution(share)(this->random); }

    static constexpr time_point start{1h};
    version_kind kind;
    std::mt19937 random;
    duration length;
    double per_step;
    double bad_share;
    duration event_at;
    std::vector<rollout::service_rollout> hosts;
    std::optional<rollout_phase> stored;
    std::uint64_t requests = 0;
    std::uint64_t sent_to_new = 0;
    std::uint64_t bad_responses = 0;
    std::optional<duration> fiftieth_bad_at;
    duration last_sent_at{};
};

auto play_kind(const kind_name& kind, unsigned rollouts, duration length, double rate) -> void
{
    unsigned complete = 0;
    unsigned rolled_back = 0;
    unsigned over = 0;
    unsigned late = 0;
    double highest = 0.0;
    duration longest{};
    for (unsigned seed = 1; seed <= rollouts; ++seed)
    {
        game one(kind.kind, seed, length, rate);
        one.play();
        complete += one.end() == rollout_phase::complete ? 1 : 0;
        rolled_back += one.end() == rollout_phase::rolled_back ? 1 : 0;
        // The bound is on bad versions, and a good one passes it when it is complete.
        if (!kind.is_good)
        {
            over += one.exposure() > 1.0 ? 1 : 0;
            highest = std::max(highest, one.exposure());
            late += one.late() > 5s ? 1 : 0;
            longest = std::max(longest, one.late());
        }
    }
    std::printf("%-17s %4.0f s %4.0f/s: %4u complete, %4u rolled back, wrong %4u, over the bound "
                "%u (highest %.2f), late %u (longest %.2f s)\n",
                kind.name.data(), to_seconds(length), rate, complete, rolled_back,
                rollouts - (kind.is_good ? complete : rolled_back), over, highest, late,
                to_seconds(longest));
    std::fflush(stdout);
}

} // namespace

auto main(int count, char** arguments) -> int
{
    const auto rollouts =
        count > 1 ? static_cast<unsigned>(std::strtoul(arguments[1], nullptr, 10)) : 1000U;
    for (const auto& kind : kinds)
    {
        play_kind(kind, rollouts, 30s, 200.0);
    }
    return 0;
}
