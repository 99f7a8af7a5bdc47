#include "routing/resend_policy.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift::routing;

namespace
{

auto step_after(route_kind kind, bool resumable, send_outcome outcome, int sends) -> next_step
{
    resend_context context;
    context.kind = kind;
    context.resumable = resumable;
    context.max_attempts = 2;
    context.sends = sends;
    context.last = outcome;
    context.worst = outcome;
    return decide_next_step(context);
}

} // namespace

TEST_CASE("a request that may execute at most once is not resent after it may have executed")
{
    for (const auto kind : {route_kind::non_idempotent, route_kind::streaming})
    {
        for (const auto outcome :
             {send_outcome::unknown, send_outcome::failed, send_outcome::broken_midway})
        {
            CHECK(step_after(kind, false, outcome, 1) != next_step::send_again);
        }
    }
}

TEST_CASE("a request is refused only if it was not executed")
{
    for (const auto kind :
         {route_kind::idempotent, route_kind::non_idempotent, route_kind::streaming})
    {
        for (const auto resumable : {false, true})
        {
            for (const auto outcome :
                 {send_outcome::unknown, send_outcome::failed, send_outcome::broken_midway})
            {
                for (int sends = 1; sends <= 3; ++sends)
                {
                    CHECK(step_after(kind, resumable, outcome, sends) != next_step::refuse);
                }
            }
        }
    }
    CHECK(step_after(route_kind::non_idempotent, false, send_outcome::declined, 2) ==
          next_step::refuse);
}

TEST_CASE("a request that may have executed is not refused after a later send was declined")
{
    resend_context context;
    context.kind = route_kind::idempotent;
    context.max_attempts = 2;
    context.sends = 2;
    context.last = send_outcome::declined;
    context.worst = send_outcome::unknown;
    CHECK(decide_next_step(context) == next_step::fail);
}

TEST_CASE("the number of sends does not exceed max_attempts")
{
    CHECK(step_after(route_kind::idempotent, false, send_outcome::failed, 1) ==
          next_step::send_again);
    CHECK(step_after(route_kind::idempotent, false, send_outcome::failed, 2) ==
          next_step::forward_failure);
    CHECK(step_after(route_kind::streaming, true, send_outcome::broken_midway, 1) ==
          next_step::send_again);
    CHECK(step_after(route_kind::streaming, true, send_outcome::broken_midway, 2) ==
          next_step::abort_response);
    CHECK(step_after(route_kind::non_idempotent, false, send_outcome::declined, 1) ==
          next_step::send_again);
}

TEST_CASE("a request without time left is not resent")
{
    resend_context context;
    context.kind = route_kind::idempotent;
    context.max_attempts = 2;
    context.sends = 1;
    context.last = send_outcome::unknown;
    context.worst = send_outcome::unknown;
    context.time_left = false;
    CHECK(decide_next_step(context) == next_step::fail);
}

TEST_CASE("only sends that provably did not execute a request prove that it has not run")
{
    CHECK(not_run_proof::from(send_outcome::not_sent));
    CHECK(not_run_proof::from(send_outcome::declined));
    for (const auto outcome :
         {send_outcome::unknown, send_outcome::failed, send_outcome::broken_midway})
    {
        CHECK(!not_run_proof::from(outcome));
    }
    for (const auto status : {408, 421, 429, 503})
    {
        CHECK(is_promise(status));
    }
    for (const auto status : {200, 400, 401, 404, 409, 413, 431, 500, 501, 502, 504})
    {
        CHECK(!is_promise(status));
    }
}
