// Parts in quarantine whose marks another part, or requests, may explain.

#include "quarantine/quarantine_fixture.hpp"

#include "thread_cpu_time.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace poplardrift;
using namespace poplardrift::quarantine;
using namespace poplardrift::quarantine::tests;
using namespace std::chrono_literals;

TEST_CASE("a part that was always beside the cause is released when the cause has more marks")
{
    one_host host;
    // The other part was harmless before, so this one is taken for the cause first.
    host.answer({common, fatal});
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        host.interrupt({common, fatal, session}, number, number);
        host.pass(200ms);
        host.answer({common, 500U + number});
    }
    REQUIRE(host.is_refused({session}));
    for (std::uint32_t number = 4; number <= 9; ++number)
    {
        host.interrupt({common, fatal}, number, number);
        host.pass(400ms);
        host.answer({common, 500U + number});
    }
    CHECK(host.is_refused({fatal}));
    CHECK_FALSE(host.is_refused({session}));
}

TEST_CASE("a part stays in quarantine when a sound request was at all ends of engines beside it")
{
    // Guards against the release of a part for requests that end because of it (review/6).
    constexpr std::uint64_t sound = 81;
    one_host first;
    one_host second;
    const auto pass = [&](duration time)
    {
        first.pass(time);
        second.pass(time);
    };
    first.answer({common, session});
    // A request with the part and a sound one are both sent from the first engine to the second.
    for (std::uint32_t upstream = 1; upstream <= 2; ++upstream)
    {
        first.interrupt_request({common, fatal}, 71, upstream);
        first.interrupt_request({common, session}, sound, upstream);
        pass(50ms);
        second.merge_from(first);
        pass(200ms);
    }
    // The caller of the sound one repeats it, beside another request with the part.
    first.interrupt_request({common, session}, sound, 3);
    second.interrupt_request({common, fatal}, 72, 3);
    REQUIRE(first.is_request_refused({common, session}, sound));
    REQUIRE(second.is_refused({fatal}));
    pass(50ms);
    const auto evidence_of_first = first.decisions.evidence_to_share(first.now).parts;
    first.merge_from(second);
    second.decisions.merge(evidence_of_first, second.now);
    CHECK(first.is_refused({fatal}));
    CHECK(second.is_refused({fatal}));
    CHECK_FALSE(first.is_refused({common, session}));
}

TEST_CASE("of two requests that were at the same ends of engines one is refused")
{
    // Guards against refusing all sound requests beside one that ends engines.
    one_host host;
    for (std::uint32_t upstream = 1; upstream <= 3; ++upstream)
    {
        host.interrupt_request({common}, 77, upstream);
        host.interrupt_request({common, session}, 78, upstream);
        host.pass(200ms);
        host.answer({common, 500U + upstream});
    }
    CHECK(host.is_request_refused({common}, 77));
    CHECK_FALSE(host.is_request_refused({common, session}, 78));
}

TEST_CASE("a sound part beside requests that end engines without it, too, is served")
{
    // Guards against holding what all callers share for what two requests did.
    one_host first;
    one_host second;
    for (std::uint32_t upstream = 1; upstream <= 6; ++upstream)
    {
        first.interrupt_request({common}, upstream <= 3 ? 77 : 78, upstream);
        if (upstream == 1 || upstream == 4 || upstream == 5)
        {
            second.interrupt_request({common, session}, 80 + upstream / 2, upstream);
        }
        first.pass(200ms);
        second.pass(200ms);
        second.answer({common, 500U + upstream});
        first.answer({common, 500U + upstream});
    }
    REQUIRE(first.is_request_refused({common}, 77));
    REQUIRE(first.is_request_refused({common}, 78));
    REQUIRE(second.is_refused({session}));
    second.merge_from(first);
    first.merge_from(second);
    CHECK_FALSE(second.is_refused({session}));
    CHECK_FALSE(first.is_refused({session}));
}

TEST_CASE("a part that a request explains is refused again after an end without that request")
{
    // Guards against taking an explanation for a proof that the part is harmless (review/6).
    constexpr std::uint64_t whole = 77;
    one_host first;
    one_host second;
    const auto pass = [&](duration time)
    {
        first.pass(time);
        second.pass(time);
    };
    first.interrupt_request({common, fatal}, whole, 1);
    second.interrupt_request({common, fatal}, 78, 1);
    pass(200ms);
    first.interrupt_request({common, fatal}, whole, 2);
    first.answer({common, 500});
    pass(200ms);
    first.interrupt_request({common, fatal}, whole, 3);
    REQUIRE(first.is_request_refused({common, fatal}, whole));
    auto evidence = first.decisions.evidence_to_share(first.now).parts;
    std::erase_if(evidence, [](const part_evidence& item)
                  { return item.part != routing::prompt_part_id(fatal); });
    second.decisions.merge(evidence, second.now);
    REQUIRE(second.is_refused({fatal}));
    second.merge_from(first);
    first.merge_from(second);
    REQUIRE(second.recorded.release_reasons ==
            std::vector<release_reason>{release_reason::requests});
    CHECK_FALSE(second.is_refused({fatal}));
    SECTION("an end without the request")
    {
        pass(100ms);
        second.interrupt_request({common, fatal}, 79, 4);
        CHECK(second.is_refused({fatal}));
        first.merge_from(second);
        CHECK(first.is_refused({fatal}));
    }
    SECTION("an answer with the part")
    {
        pass(100ms);
        second.answer({common, fatal});
        second.interrupt_request({common, fatal}, 79, 4);
        CHECK_FALSE(second.is_refused({fatal}));
    }
}

TEST_CASE("a part that is itself explained explains no other")
{
    // Guards against serving a part for one that is served, too.
    constexpr std::uint64_t whole = 77;
    one_host host;
    const auto evidence_on = [&](std::uint64_t part, std::size_t depth)
    {
        part_evidence evidence;
        evidence.part = routing::prompt_part_id(part);
        evidence.depth = depth;
        evidence.level = 1;
        evidence.quarantined_until = host.now + 60s;
        return evidence;
    };
    const auto mark_of = [&](std::uint32_t upstream, std::uint32_t request) {
        return crash_mark{upstream_instance(upstream), request_key(request), host.now};
    };
    auto request = evidence_on(whole, part_evidence::request_depth);
    auto of_request = evidence_on(fatal, 2);
    auto beside = evidence_on(session, 1);
    for (std::uint32_t upstream = 1; upstream <= 3; ++upstream)
    {
        request.marks.push_back(mark_of(upstream, 900 + upstream));
        of_request.marks.push_back(mark_of(upstream, whole));
        beside.marks.push_back(mark_of(upstream, 80 + upstream / 2));
    }
    host.decisions.merge({request, of_request, beside}, host.now);
    REQUIRE(host.is_request_refused({common}, whole));
    CHECK_FALSE(host.is_refused({fatal}));
    CHECK(host.is_refused({session}));
}

TEST_CASE("a part that another part explains is refused again when that one proves harmless")
{
    // Guards against losing the evidence on the cause to a part that was only beside it.
    one_host host;
    host.answer({common, fatal}); // so the other part is taken for the cause first
    for (std::uint32_t number = 1; number <= 3; ++number)
    {
        host.interrupt({common, fatal, session}, number, number);
        host.pass(200ms);
        host.answer({common, 500U + number});
    }
    REQUIRE(host.is_refused({session}));
    for (std::uint32_t number = 4; number <= 9; ++number)
    {
        host.interrupt({common, fatal}, number, number);
        host.pass(400ms);
        host.answer({common, 500U + number});
    }
    REQUIRE(host.is_refused({fatal}));
    REQUIRE_FALSE(host.is_refused({session}));
    host.answer({common, fatal});
    CHECK_FALSE(host.is_refused({fatal}));
    CHECK(host.is_refused({session}));
}

TEST_CASE(
    "the end of an engine is taken in within the lag that callers accept, though many requests "
    "are in quarantine")
{
    // Guards against weighing all requests in quarantine for each part that is judged.
    one_host host;
    constexpr std::uint64_t held = 100;
    for (std::uint32_t upstream = 1; upstream <= 3; ++upstream)
    {
        for (std::uint64_t request = 0; request < held; ++request)
        {
            const auto own = static_cast<std::uint32_t>(1000 + 10 * request) + upstream;
            host.interrupt_request({common}, 100'000 + request, own);
            for (int answer = 0; answer < 5; ++answer)
            {
                host.answer({common, 500U});
            }
        }
        host.pass(300ms);
    }
    REQUIRE(host.is_request_refused({common}, 100'000));
    REQUIRE(host.is_request_refused({common}, 100'000 + held - 1));
    constexpr std::uint64_t parts = 400;
    part_list shared;
    for (std::uint64_t number = 0; number < parts; ++number)
    {
        shared.push_back({number, 10, routing::prompt_part_id(10'000 + number)});
    }
    for (std::uint32_t upstream = 1; upstream <= 4; ++upstream)
    {
        const auto take_in = [&]
        {
            for (std::uint32_t request = 0; request < 64; ++request)
            {
                host.decisions.on_interrupted(
                    {shared, routing::prompt_part_id(200'000 + 100 * upstream + request)},
                    upstream_instance(upstream), request_key(1000 * upstream + request), host.now);
            }
        };
        CAPTURE(upstream);
        CHECK(poplardrift::tests::cpu_time_of(take_in) <=
              poplardrift::tests::max_time_for_one_read);
        host.pass(300ms);
        host.answer({common, 500U});
    }
}
