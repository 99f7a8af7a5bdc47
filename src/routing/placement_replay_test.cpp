#include "routing/placement.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace poplardrift;
using namespace poplardrift::routing;
using namespace std::chrono_literals;

namespace
{

const time_point start(1h);

/// A fleet in a random state, and random requests to it. The same for the same seed.
class replayed_fleet final
{
public:
    explicit replayed_fleet(std::uint64_t seed) : random(seed)
    {
        this->rules.engine = engine_rules{600'000, 327'680.0, 550'000.0};
        this->rules.cold_requests_per_second = 5.0;
        this->group.count = 1 + this->below(5);
        const auto count = 3 + this->below(20);
        for (std::uint64_t number = 0; number < count; ++number)
        {
            this->upstreams.push_back(this->make_upstream(number));
        }
    }

    /// Adds learnt speeds and reports, which must not matter while they aren't used.
    auto fill_speeds() -> void
    {
        service_speed unused;
        for (auto& upstream : this->upstreams)
        {
            auto& state = *upstream.state;
            state.speed.set_registered_slots(static_cast<int>(upstream.key % 20));
            state.speed.on_load_report({3, 2, 8, static_cast<int>(50 + upstream.key % 400)}, start);
            state.speed.on_response({}, 20ms, unused, start);
            state.speed.on_prompt_read(4'000, 2, {}, 90ms, unused, start);
            state.loads_received_at = start;
        }
    }

    /// Places 40 requests, each counted as in flight, and returns a hash of the choices.
    auto place_requests() -> std::uint64_t
    {
        std::uint64_t choices = 0;
        for (std::uint64_t number = 0; number < 40; ++number)
        {
            placement_query query;
            query.rules = &this->rules;
            query.own_zone = &this->zone;
            query.bounds = &this->bounds;
            query.hosts = &this->group;
            query.now = start + number * 10ms;
            const auto prompt = this->make_prompt();
            if (number % 3 != 0)
            {
                query.prompt = &prompt;
                query.affinity = prompt.parts[0].chain_hash;
            }
            placement_failure why;
            const auto choice = choose_upstream(this->upstreams, query, why);
            const auto code = choice
                                  ? choice->position
                                  : 1'000 + static_cast<std::uint64_t>(why.most_common_exclusion);
            choices = hash_pair_64(choices, code);
            choices =
                hash_pair_64(choices, choice && choice->fetch_from ? *choice->fetch_from : 99);
            if (choice)
            {
                auto& state = *this->upstreams[choice->position].state;
                ++state.in_flight;
                state.last_byte_received_at = query.now;
                if (query.prompt != nullptr)
                {
                    state.cache.on_prefilled(prompt);
                    state.pending_prefill_tokens += prompt.input_tokens - choice->cached_tokens;
                }
            }
        }
        return choices;
    }

private:
    auto below(std::uint64_t bound) -> std::uint64_t { return this->random() % bound; }

    auto make_upstream(std::uint64_t number) -> live_upstream
    {
        live_upstream upstream;
        upstream.known.entry.name = upstream_name("u" + std::to_string(number));
        upstream.known.entry.zone = zone_name(this->below(3) == 0 ? "a" : "b");
        upstream.known.entry.leaving = this->below(12) == 0;
        upstream.known.cold_until = this->below(8) == 0 ? start + 1h : time_point{};
        upstream.known.usable_until = time_point::max();
        upstream.key = upstream_key_of(upstream.known.entry.name);
        upstream.zone_out = this->below(15) == 0;
        upstream.zone_silent = this->below(10) == 0;
        upstream.state = std::make_shared<upstream_state>(400'000);
        auto& state = *upstream.state;
        state.in_flight = static_cast<int>(this->below(6));
        state.in_flight_elsewhere = static_cast<int>(this->below(20));
        state.pending_prefill_tokens = this->below(20'000);
        state.last_byte_received_at = start - this->below(500) * 1ms;
        for (auto faults = this->below(6); faults > 3; --faults)
        {
            state.health.on_fault(upstream_fault::failed, start - 1s, 0.0, true);
        }
        return upstream;
    }

    auto make_prompt() -> prompt_metadata
    {
        prompt_metadata prompt;
        const auto own = static_cast<std::uint32_t>(200 + this->below(3'000));
        prompt.parts = {{1 + this->below(8), 6'000, {}}, {this->random(), own, {}}};
        prompt.input_tokens = 6'000 + own;
        return prompt;
    }

    std::mt19937_64 random;
    zone_name zone{"a"};
    service_rules rules;
    fleet_bounds bounds;
    host_group group;
    std::vector<live_upstream> upstreams;
};

} // namespace

TEST_CASE("where speeds aren't learnt, placement decides as it did before there were any")
{
    // Guards against deployments that don't enable learnt speeds being served differently. The
    // expected hash was computed with the placement of the commit before speeds were learnt.
    std::uint64_t with_speeds = 0;
    std::uint64_t without_speeds = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        replayed_fleet plain(seed);
        without_speeds = hash_pair_64(without_speeds, plain.place_requests());
        replayed_fleet filled(seed);
        filled.fill_speeds();
        with_speeds = hash_pair_64(with_speeds, filled.place_requests());
    }
    CHECK(without_speeds == 12'892'065'828'312'342'469U);
    CHECK(with_speeds == without_speeds);
}
