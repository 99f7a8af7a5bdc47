#include "routing/upstream_notices.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace poplardrift;
using namespace poplardrift::routing;
using namespace std::chrono_literals;

TEST_CASE("no sequence of notices and times uses an upstream within a pause or after it leaves")
{
    CHECK(rc::check(
        []
        {
            upstream_notices notices;
            time_point now{1000s};
            std::vector<time_point> ends;
            auto has_left = false;
            const auto steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step)
            {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
                switch (*rc::gen::inRange(0, 6))
                {
                case 0:
                    has_left = true;
                    notices.on_leaving();
                    break;
                case 1:
                case 2:
                {
                    const auto length = std::chrono::milliseconds(*rc::gen::inRange(-500, 8000));
                    const auto spread = std::chrono::milliseconds(*rc::gen::inRange(0, 500));
                    notices.on_pause(now, length, spread);
                    ends.push_back(now + length);
                    break;
                }
                case 3:
                    notices.on_success();
                    break;
                default:
                    break;
                }
                RC_ASSERT(notices.is_leaving() == has_left);
                for (const auto end : ends)
                {
                    RC_ASSERT(now >= end || notices.is_paused(now));
                }
            }
            // A pause ends: none outlasts the longest one asked for by more than its spread.
            RC_ASSERT(!notices.is_paused(now + 9s));
        }));
}

TEST_CASE("the longest pause is bounded and an empty one changes nothing")
{
    upstream_notices notices;
    const time_point now{1000s};
    notices.on_pause(now, 0s, 500ms);
    notices.on_pause(now, -5s, 500ms);
    CHECK_FALSE(notices.is_paused(now));
    CHECK_FALSE(notices.is_resuming());
    notices.on_pause(now, 1'000'000s, 0ms);
    CHECK(notices.is_paused(now + upstream_notices::max_pause - 1s));
    CHECK_FALSE(notices.is_paused(now + upstream_notices::max_pause));
}
