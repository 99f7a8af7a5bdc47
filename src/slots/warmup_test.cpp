#include "poplardrift/slots/slot_owner.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

auto make_report(std::uint64_t served, bool cold = false, std::uint32_t incarnation = 1)
    -> upstream_report
{
    upstream_report report;
    report.incarnation = incarnation;
    report.served = served;
    report.cold = cold;
    return report;
}

/// An engine that has warmed up to its capacity of 16.
auto make_warm(time_point& now) -> warmup
{
    warmup engine({}, 2, 16, true);
    std::uint64_t served = 0;
    for (int count = 0; count < 10; ++count)
    {
        now += 1s;
        served += 20;
        engine.on_report(make_report(served), now);
        engine.on_tick(2, 16, now);
    }
    return engine;
}

} // namespace

TEST_CASE("a cold engine's limit grows only by steps that its own reports confirm")
{
    warmup engine({}, 2, 16, true);
    auto now = time_point(10s);
    CHECK(engine.limit() == 2);
    engine.on_report(make_report(0, true), now);
    // Neither elapsed time nor requests served while it reports cold start raise the limit.
    now += 5s;
    engine.on_report(make_report(50, true), now);
    engine.on_tick(2, 16, now);
    CHECK(engine.limit() == 2);
    now += 1s;
    engine.on_report(make_report(60, false), now);
    engine.on_tick(2, 16, now);
    CHECK(engine.limit() == 4);
    // The next step requires as many finished requests as its limit.
    now += 2s;
    engine.on_report(make_report(61, false), now);
    engine.on_tick(2, 16, now);
    CHECK(engine.limit() == 4);
    CHECK(engine.state() == upstream_state::cold);
}

TEST_CASE("a step that reaches the engine's full share of the current load ends the cold start")
{
    auto now = time_point(10s);
    auto engine = make_warm(now);
    CHECK(engine.state() == upstream_state::warm);
    CHECK(engine.limit() == 16);
}

TEST_CASE("a report with a new incarnation resets an engine to its cold limit")
{
    auto now = time_point(10s);
    auto engine = make_warm(now);
    engine.on_report(make_report(0, true, 2), now + 1s);
    CHECK(engine.state() == upstream_state::cold);
    CHECK(engine.limit() == 2);
}

TEST_CASE("a fault report limits an engine to its cold limit until its next report clears it")
{
    auto now = time_point(10s);
    auto engine = make_warm(now);
    engine.on_fault_report(upstream_state::cold, now);
    CHECK(engine.limit() == 2);
    engine.on_report(make_report(500), now + 100ms);
    CHECK(engine.limit() == 16);
    // Without a report, the fault is confirmed after the timeout.
    engine.on_fault_report(upstream_state::cold, now + 1s);
    engine.on_tick(2, 16, now + 4s);
    CHECK(engine.state() == upstream_state::cold);
}

TEST_CASE("a service without reports is ejected for longer each time and returns cold")
{
    warmup service({}, 2, 16, false);
    auto now = time_point(10s);
    service.on_fault_report(upstream_state::ejected, now);
    CHECK(service.limit() == 0);
    service.on_tick(0, 16, now + 2100ms);
    CHECK(service.state() == upstream_state::cold);
    service.on_fault_report(upstream_state::ejected, now + 3s);
    service.on_tick(0, 16, now + 6s);
    CHECK(service.state() == upstream_state::ejected);
}

TEST_CASE("a queue at the engine lowers its limit, which then grows by one per report")
{
    auto now = time_point(10s);
    auto engine = make_warm(now);
    auto report = make_report(1000);
    report.waiting = 3;
    report.in_flight = 10;
    engine.on_report(report, now + 1s);
    CHECK(engine.limit() == 8);
    engine.on_report(make_report(1001), now + 2s);
    CHECK(engine.limit() == 9);
}

TEST_CASE("the limit of a leaving engine is zero")
{
    auto now = time_point(10s);
    auto engine = make_warm(now);
    auto report = make_report(1000);
    report.leaving = true;
    engine.on_report(report, now + 1s);
    CHECK(engine.limit() == 0);
}

TEST_CASE("a new owner applies the published status only if the incarnation is the same")
{
    warmup same({}, 2, 16, true);
    same.inherit({upstream_id{1}, upstream_state::warm, 16, 0, 7});
    same.on_report(make_report(100, false, 7), time_point(10s));
    CHECK(same.state() == upstream_state::warm);
    warmup other({}, 2, 16, true);
    other.inherit({upstream_id{1}, upstream_state::warm, 16, 0, 7});
    other.on_report(make_report(100, false, 8), time_point(10s));
    CHECK(other.state() == upstream_state::cold);
}

TEST_CASE("the load bound is a multiple of the mean including the new request, rounded up")
{
    CHECK(bound_by_mean(1.25, 0, 0.1) == 1);
    CHECK(bound_by_mean(1.25, 7, 0.1) == 1);
    CHECK(bound_by_mean(1.25, 8, 0.1) == 2);
    CHECK(bound_by_mean(1.25, 99, 0.1) == 13);
    CHECK(bound_by_mean(1.0, 9, 0.5) == 5);
}
