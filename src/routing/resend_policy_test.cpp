#include "routing/resend_policy.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift::routing;

namespace
{

auto after(route_kind kind, bool resumable, send_fate fate, int sends) -> next_step
{
    resend_facts facts;
    facts.kind = kind;
    facts.resumable = resumable;
    facts.max_attempts = 2;
    facts.sends = sends;
    facts.last = fate;
    facts.worst = fate;
    return decide_next_step(facts);
}

} // namespace

TEST_CASE("a request that may run once is never sent again after it may have run")
{
    for (const auto kind : {route_kind::non_idempotent, route_kind::streaming})
    {
        for (const auto fate : {send_fate::unknown, send_fate::failed, send_fate::broken_midway})
        {
            CHECK(after(kind, false, fate, 1) != next_step::send_again);
        }
    }
}

TEST_CASE("a refusal is given only for what has not run")
{
    for (const auto kind :
         {route_kind::idempotent, route_kind::non_idempotent, route_kind::streaming})
    {
        for (const auto resumable : {false, true})
        {
            for (const auto fate :
                 {send_fate::unknown, send_fate::failed, send_fate::broken_midway})
            {
                for (int sends = 1; sends <= 3; ++sends)
                {
                    CHECK(after(kind, resumable, fate, sends) != next_step::refuse);
                }
            }
        }
    }
    CHECK(after(route_kind::non_idempotent, false, send_fate::declined, 2) == next_step::refuse);
}

TEST_CASE("a send that may have run outweighs a later one that was declined")
{
    resend_facts facts;
    facts.kind = route_kind::idempotent;
    facts.max_attempts = 2;
    facts.sends = 2;
    facts.last = send_fate::declined;
    facts.worst = send_fate::unknown;
    CHECK(decide_next_step(facts) == next_step::fail);
}

TEST_CASE("attempts are bounded whatever may be repeated")
{
    CHECK(after(route_kind::idempotent, false, send_fate::failed, 1) == next_step::send_again);
    CHECK(after(route_kind::idempotent, false, send_fate::failed, 2) == next_step::pass_on);
    CHECK(after(route_kind::streaming, true, send_fate::broken_midway, 1) == next_step::send_again);
    CHECK(after(route_kind::streaming, true, send_fate::broken_midway, 2) == next_step::cut);
    CHECK(after(route_kind::non_idempotent, false, send_fate::declined, 1) ==
          next_step::send_again);
}

TEST_CASE("without time left nothing is sent")
{
    resend_facts facts;
    facts.kind = route_kind::idempotent;
    facts.max_attempts = 2;
    facts.sends = 1;
    facts.last = send_fate::unknown;
    facts.worst = send_fate::unknown;
    facts.time_left = false;
    CHECK(decide_next_step(facts) == next_step::fail);
}
