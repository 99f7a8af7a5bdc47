#include "overload/return_schedule.hpp"
#include "overload/wait_policy.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <queue>
#include <random>
#include <vector>

using namespace poplardrift;
using namespace poplardrift::overload;
using namespace std::chrono_literals;

namespace
{

constexpr double places_per_second = 100.0;  ///< capacity of the simulated service
constexpr duration caller_patience = 3300ms; ///< a third of a deadline of 10 s

/// What the callers of one simulated run got.
struct play_result
{
    int asked = 0;
    int served = 0;
    int refused_twice = 0;
    int served_in_burst = 0;
};

using wait_rule = std::function<duration(return_schedule&, time_point, std::uint64_t)>;

/// Plays callers that return once after a refusal, at a service that serves 100 requests a second.
/// Between 2 s and 3 s they ask `burst` times as often as the usual 40 times a second.
auto play(double burst, const wait_rule& wait_of) -> play_result
{
    struct arrival
    {
        time_point at;
        bool is_return = false;
        auto operator>(const arrival& other) const -> bool { return this->at > other.at; }
    };
    const time_point start(1h);
    std::mt19937_64 random(11);
    std::priority_queue<arrival, std::vector<arrival>, std::greater<>> arrivals;
    for (auto at = start; at < start + 10s;)
    {
        const auto in_burst = at >= start + 2s && at < start + 3s;
        std::exponential_distribution<double> gap(40.0 * (in_burst ? burst : 1.0));
        at += from_seconds(gap(random));
        arrivals.push({at});
    }
    return_schedule schedule;
    play_result result;
    auto places = 10.0;
    auto last = start;
    while (!arrivals.empty())
    {
        const auto next = arrivals.top();
        arrivals.pop();
        places = std::min(10.0, places + places_per_second * to_seconds(next.at - last));
        last = next.at;
        result.asked += next.is_return ? 0 : 1;
        if (places >= 1.0)
        {
            places -= 1.0;
            ++result.served;
            result.served_in_burst += next.at >= start + 2s && next.at < start + 3s ? 1 : 0;
            schedule.on_completion(next.at);
        }
        else if (next.is_return)
        {
            ++result.refused_twice;
        }
        else
        {
            arrivals.push({next.at + wait_of(schedule, next.at, random()), true});
        }
    }
    return result;
}

} // namespace

TEST_CASE("refused callers that return by the schedule are served, and do not displace new ones")
{
    const auto burst = GENERATE(3.0, 5.0, 8.0);
    const auto scheduled = play(burst, [](return_schedule& schedule, time_point now, auto seed)
                                { return schedule.book(now, caller_patience, seed); });
    const auto at_once =
        play(burst, [](return_schedule&, time_point, auto) { return duration(150ms); });
    CAPTURE(burst, scheduled.asked, scheduled.refused_twice, at_once.refused_twice);
    CHECK(scheduled.asked == at_once.asked);
    // Nothing is lost in the burst itself: the service is as busy as it can be.
    CHECK(scheduled.served_in_burst >= 0.9 * places_per_second);
    CHECK(scheduled.refused_twice < at_once.refused_twice / 2);
    CHECK(scheduled.served > at_once.served);
    if (burst <= 5.0)
    {
        // There is room for all of them within the callers' patience.
        CHECK(scheduled.served >= 0.95 * scheduled.asked);
    }
}

TEST_CASE("callers return in the order of their refusals, spread, and never later than they wait")
{
    const time_point now(1h);
    return_schedule schedule;
    for (int count = 0; count < 200; ++count)
    {
        schedule.on_completion(now);
    }
    std::vector<duration> waits;
    for (int count = 0; count < 100; ++count)
    {
        waits.push_back(schedule.book(now, 10s, 512)); // the seed of no deviation
    }
    CHECK(std::is_sorted(waits.begin(), waits.end()));
    CHECK(waits.front() == 150ms);
    // 100 complete in a second, half of the places go to those that return.
    CHECK(to_seconds(waits.back()) == Approx(0.15 + 99 * 0.02).epsilon(0.01));
    CHECK(schedule.book(now, 500ms, 1023) <= 500ms);
    CHECK(schedule.book(now, 500ms, 0) >= 400ms);
    CHECK(schedule.book(now, 0ms, 0) == 0ms);
    // Bookings lapse: later callers start anew.
    CHECK(schedule.book(now + 30s, 10s, 512) == 150ms);
}

TEST_CASE("a request waits only for an upstream that may become eligible soon enough to answer it")
{
    routing::placement_failure at_limit;
    at_limit.may_clear_soon = true;
    const waiting_request fresh{1ms, 160ms, 1s, 0};
    CHECK(may_wait(fresh, at_limit));
    CHECK(!may_wait(fresh, routing::placement_failure{}));
    CHECK(!may_wait({21ms, 160ms, 1s, 0}, at_limit));
    CHECK(!may_wait({1ms, 160ms, 30ms, 0}, at_limit));
    CHECK(!may_wait({1ms, 160ms, 1s, 1}, at_limit));
    CHECK(!has_time_for_send(20ms));
}
