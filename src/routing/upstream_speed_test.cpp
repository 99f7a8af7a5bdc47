#include "routing/upstream_speed.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace poplardrift;
using namespace poplardrift::routing;
using namespace std::chrono_literals;

namespace
{

const time_point start(1h);

auto make_report(std::vector<std::int64_t> figures) -> std::optional<load_report>
{
    return make_load_report(figures);
}

auto report_of(int percent) -> load_report
{
    return {0, 0, 16, percent};
}

/// Mean errors of three guesses of a speed from reports that arrive late.
struct guess_errors
{
    double filtered = 0.0;
    double last_report = 0.0;
    double constant = 0.0;
};

/// A speed that changes at random about ten times a second, reported every 20 ms for `delay` ago.
auto measure_guesses(duration delay) -> guess_errors
{
    std::mt19937_64 random(7);
    std::vector<double> history;
    upstream_speed speed;
    guess_errors errors;
    double current = 1.0;
    double last = 1.0;
    constexpr int steps = 20'000;
    const auto lag = static_cast<std::size_t>(delay / 20ms);
    for (int step = 0; step < steps; ++step)
    {
        const auto now = start + step * 20ms;
        current = random() % 5 == 0 ? (random() % 2 == 0 ? 0.6 : 1.8) : current;
        history.push_back(current);
        // Reports come in bursts of half a second, so their age varies by as much.
        if (history.size() > lag && step % 25 == 0)
        {
            last = history[history.size() - 1 - lag];
            speed.on_load_report(report_of(static_cast<int>(last * 100)), now - delay);
        }
        errors.filtered += std::abs(speed.slowness(now) - current) / steps;
        errors.last_report += std::abs(last - current) / steps;
        errors.constant += std::abs(1.2 - current) / steps;
    }
    return errors;
}

} // namespace

TEST_CASE("absurd load reports count as absent")
{
    // Guards against a figure that no upstream can mean deciding where requests go.
    CHECK(make_report({3, 1, 16}) == load_report{3, 1, 16, std::nullopt});
    CHECK(make_report({64, 100'000, 16, 5}) == load_report{64, 100'000, 16, 5});
    CHECK(make_report({0, 0, 0, 10'000}) == load_report{0, 0, 0, 10'000});
    const std::vector<std::vector<std::int64_t>> absurd = {
        {},          {3},        {3, 1},         {3, 1, 16, 100, 1},   {-1, 0, 16},
        {0, -1, 16}, {0, 0, -1}, {0, 0, 16, -5}, {100'001, 0, 50'000}, {0, 100'001, 16},
        {65, 0, 16}, {1, 0, 0},  {0, 0, 16, 4},  {0, 0, 16, 10'001},   {0, 0, 100'001}};
    for (const auto& figures : absurd)
    {
        CAPTURE(figures);
        CHECK_FALSE(make_report(figures));
    }
}

TEST_CASE("slowness is bounded whatever an upstream reports")
{
    // Guards against one lying report starving an upstream or sending all requests to it.
    upstream_speed fast;
    upstream_speed slow;
    for (int step = 0; step < 50; ++step)
    {
        fast.on_load_report(report_of(5), start + step * 10ms);
        slow.on_load_report(report_of(10'000), start + step * 10ms);
    }
    CHECK(fast.slowness(start + 500ms) >= 0.25);
    CHECK(slow.slowness(start + 500ms) <= 8.0);
}

TEST_CASE("an old report tells nothing; the mean of the reports holds")
{
    // Guards against an upstream being avoided long after a moment of slowness.
    upstream_speed speed;
    CHECK(speed.slowness(start) == 1.0);
    for (int second = 0; second < 60; ++second)
    {
        speed.on_load_report(report_of(100), start + second * 1s);
    }
    const auto last = start + 60s;
    speed.on_load_report(report_of(400), last);
    CHECK(speed.slowness(last) > 3.0);
    CHECK(speed.slowness(last + 500ms) < speed.slowness(last + 100ms));
    CHECK(speed.slowness(last + 1s) < 1.7);
    CHECK(speed.slowness(last + 10s) == speed.slowness(last + 1s));
}

TEST_CASE("with speeds that change many times a second the estimate is better than either guess")
{
    // Guards against trusting the last report when it is too old, or ignoring it when it is fresh.
    for (const auto delay : {0ms, 40ms, 100ms, 300ms, 1000ms, 2000ms})
    {
        CAPTURE(delay.count());
        const auto errors = measure_guesses(delay);
        CHECK(errors.filtered <= 1.1 * std::min(errors.last_report, errors.constant));
    }
}

TEST_CASE("the time per token is learnt for each upstream, beginning with the service's mean")
{
    // Guards against a new upstream being preferred or avoided before anything is known of it.
    service_speed service;
    upstream_speed usual;
    upstream_speed slow;
    upstream_speed fresh;
    CHECK(fresh.token_ms(service, start) == Approx(1.0 / 101.0));
    time_point now = start;
    for (int round = 0; round < 200; ++round)
    {
        now += 50ms;
        usual.on_prompt_read(5'000, 0, {}, 50ms, service, now);
        slow.on_prompt_read(5'000, 0, {}, 75ms, service, now);
    }
    CHECK(fresh.token_ms(service, now) == Approx(0.0125).epsilon(0.05));
    CHECK(usual.token_ms(service, now) == Approx(0.0100).epsilon(0.05));
    CHECK(slow.token_ms(service, now) == Approx(0.0150).epsilon(0.05));
    CHECK(usual.get_learnt_token_ms().get_variance() < 1e-12);
    // Nothing new for minutes: it may be as fast as the others again.
    CHECK(slow.token_ms(service, now + 5min) == Approx(0.0125).epsilon(0.05));
}

TEST_CASE("reported slowness isn't learnt a second time")
{
    // Guards against counting an upstream's slow moment twice: in its report and in its times.
    service_speed service;
    upstream_speed speed;
    for (int round = 0; round < 100; ++round)
    {
        speed.on_response(placement_estimate{0.0, 4.0}, 120ms, service, start + round * 10ms);
    }
    CHECK(speed.response_ms(service, start + 1s) == Approx(30.0));
}

TEST_CASE("one absurdly long response changes an estimate little")
{
    // Guards against a response that waited for another cause ending the use of its upstream.
    service_speed service;
    upstream_speed speed;
    for (int round = 0; round < 100; ++round)
    {
        speed.on_response({}, 30ms, service, start + round * 10ms);
    }
    speed.on_response({}, 1h, service, start + 1s);
    CHECK(speed.response_ms(service, start + 1s) < 60.0);
    speed.on_response({}, 0ms, service, start + 1s);
    speed.on_response({}, -5ms, service, start + 1s);
    CHECK(std::isfinite(speed.response_ms(service, start + 1s)));
}
