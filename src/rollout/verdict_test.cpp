#include "rollout/verdict.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace poplardrift;
using namespace poplardrift::rollout;
using namespace std::chrono_literals;

namespace
{

const time_point start(1h);
const route_key route_a(1);
const route_key route_b(2);

/// Feeds responses to a judge, an observation every 100 ms.
struct judge_fixture
{
    auto respond(route_key route, bool is_new, int count, double bad_share) -> void
    {
        auto& counts =
            is_new ? this->sums.routes[route].new_version : this->sums.routes[route].old_version;
        for (int index = 0; index < count; ++index)
        {
            ++counts.finished;
            counts.failed += std::bernoulli_distribution(bad_share)(this->random) ? 1 : 0;
        }
    }
    auto observe() -> bool
    {
        this->now += 100ms;
        if (!this->verdict)
        {
            this->verdict = this->judge.observe(this->sums, this->now);
        }
        return this->verdict.has_value();
    }

    std::mt19937 random{1};
    version_judge judge{1s};
    host_counts sums;
    time_point now = start;
    std::optional<bad_verdict> verdict;
};

} // namespace

TEST_CASE("at most one in a hundred good versions is judged bad")
{
    // Guards against repeated looks at the counters that raise the error rate.
    int wrong = 0;
    for (unsigned seed = 0; seed < 300; ++seed)
    {
        judge_fixture fixture;
        fixture.random.seed(seed);
        const auto share = 0.02 * (seed % 4);
        for (int step = 0; step < 600 && !fixture.observe(); ++step)
        {
            fixture.respond(route_a, false, 20, share);
            fixture.respond(route_b, false, 5, share);
            fixture.respond(route_a, true, 1, share);
            fixture.respond(route_b, true, step % 4 == 0 ? 1 : 0, share);
        }
        wrong += fixture.verdict ? 1 : 0;
    }
    CHECK(wrong <= 3);
}

TEST_CASE("a version whose responses fail is bad before 50 of them have failed")
{
    // Guards against a test that is slower than the bound, also after many good responses.
    for (const auto good_steps : {0, 1000})
    {
        judge_fixture fixture;
        for (int step = 0; step < good_steps; ++step)
        {
            fixture.respond(route_a, false, 20, 0.002);
            fixture.respond(route_a, true, 1, 0.0);
            REQUIRE_FALSE(fixture.observe());
        }
        for (int step = 0; step < 1000 && !fixture.observe(); ++step)
        {
            fixture.respond(route_a, false, 20, 0.002);
            fixture.respond(route_a, true, 1, 0.3);
        }
        REQUIRE(fixture.verdict);
        CHECK(fixture.sums.total().new_version.failed < certain_bad_responses);
    }
}

TEST_CASE("a version that is bad on one route only is bad")
{
    // Guards against a rare route whose failures vanish among the good responses of the others.
    judge_fixture fixture;
    for (int step = 0; step < 2000 && !fixture.observe(); ++step)
    {
        fixture.respond(route_a, false, 40, 0.001);
        fixture.respond(route_a, true, 2, 0.001);
        fixture.respond(route_b, false, 2, 0.001);
        fixture.respond(route_b, true, step % 10 == 0 ? 1 : 0, 0.8);
    }
    REQUIRE(fixture.verdict);
    CHECK(fixture.verdict->route == route_b);
    CHECK(fixture.sums.total().new_version.failed < certain_bad_responses);
}

TEST_CASE("what both versions suffer at the same time is no sign of a bad version")
{
    // Guards against a roll-back because of a common cause, such as a slow zone.
    judge_fixture fixture;
    for (int step = 0; step < 600; ++step)
    {
        const auto share = step > 300 ? 0.3 : 0.001;
        fixture.respond(route_a, false, 20, share);
        fixture.respond(route_a, true, 1, share);
        REQUIRE_FALSE(fixture.observe());
    }
}

TEST_CASE("one crash that interrupts many responses is no sign of a bad version")
{
    // Guards against a roll-back because of one innocent crash of a busy upstream.
    judge_fixture fixture;
    for (int step = 0; step < 600; ++step)
    {
        fixture.respond(route_a, false, 20, 0.001);
        fixture.respond(route_a, true, 1, 0.001);
        if (step >= 200 && step < 206)
        {
            auto& counts = fixture.sums.routes[route_a].new_version;
            counts.finished += 5;
            counts.interrupted += 5;
            fixture.sums.interrupted_by_upstream[9] += 5;
        }
        REQUIRE_FALSE(fixture.observe());
    }
}

TEST_CASE("a version that interrupts all its responses is bad although one upstream has them all")
{
    // Guards against taking a version that always breaks off for a single crash.
    judge_fixture fixture;
    int step = 0;
    for (; step < 600 && !fixture.observe(); ++step)
    {
        fixture.respond(route_a, false, 20, 0.001);
        auto& counts = fixture.sums.routes[route_a].new_version;
        ++counts.finished;
        ++counts.interrupted;
        ++fixture.sums.interrupted_by_upstream[9];
    }
    REQUIRE(fixture.verdict);
    CHECK(step < 70);
}
