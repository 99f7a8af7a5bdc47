#include "poplardrift/slots/slot_ledger.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

const host_id host_a{1};
const host_id host_b{2};
const upstream_id engine{7};
const time_point start{};
/// Past the wait of a new owner.
const time_point settled = start + 10s;

auto report(std::uint32_t in_use, std::uint32_t wanted, std::uint32_t held = 0) -> slot_report
{
    return {engine, in_use, wanted, held};
}

auto sequence(std::uint64_t value) -> message_sequence
{
    return message_sequence{value};
}

} // namespace

TEST_CASE("without leave to add, a holder keeps what a former owner promised and no more")
{
    slot_ledger ledger({}, start);
    ledger.on_report(host_a, report(2, 1, 3), sequence(1), sequence(0), start);
    ledger.on_report(host_b, report(0, 2), sequence(1), sequence(0), start);
    CHECK_FALSE(ledger.former_grants_expired(start + 6s));
    CHECK(ledger.grant(host_a, 10, false, sequence(1), start).slots == 3);
    CHECK(ledger.grant(host_b, 10, false, sequence(1), start).slots == 0);
    CHECK(ledger.former_grants_expired(start + 7s));
}

TEST_CASE("promises of all holders together stay within the limit")
{
    slot_ledger ledger({}, start);
    ledger.on_report(host_a, report(0, 5), sequence(1), sequence(0), settled);
    const auto first = ledger.grant(host_a, 6, true, sequence(1), settled);
    ledger.on_report(host_b, report(0, 5), sequence(1), sequence(0), settled);
    const auto second = ledger.grant(host_b, 6, true, sequence(1), settled);
    CHECK(first.slots + second.slots <= 6);
    CHECK(ledger.granted_slots(settled) <= 6);
}

TEST_CASE("a lowered grant counts in full until the holder acknowledges it")
{
    slot_settings settings;
    settings.prefetch = 0;
    slot_ledger ledger(settings, start);
    ledger.on_report(host_a, report(0, 5), sequence(1), sequence(0), settled);
    REQUIRE(ledger.grant(host_a, 5, true, sequence(1), settled).slots == 5);
    // The holder is idle now, and is told so in message 2, which it has not seen.
    ledger.on_report(host_a, report(0, 0), sequence(2), sequence(1), settled + 100ms);
    REQUIRE(ledger.grant(host_a, 5, true, sequence(2), settled + 100ms).slots == 0);
    ledger.on_report(host_b, report(0, 5), sequence(1), sequence(0), settled + 200ms);
    CHECK(ledger.grant(host_b, 5, true, sequence(1), settled + 200ms).slots == 0);
    // Once acknowledged, the slots are free for the other host.
    ledger.on_report(host_a, report(0, 0), sequence(3), sequence(2), settled + 300ms);
    ledger.on_report(host_b, report(0, 5), sequence(2), sequence(1), settled + 300ms);
    CHECK(ledger.grant(host_b, 5, true, sequence(2), settled + 300ms).slots == 5);
}

TEST_CASE("requests of a silent holder count after its lease, its idle slots do not")
{
    slot_settings settings;
    settings.prefetch = 0;
    slot_ledger ledger(settings, start);
    ledger.on_report(host_a, report(2, 3), sequence(1), sequence(0), settled);
    REQUIRE(ledger.grant(host_a, 5, true, sequence(1), settled).slots == 5);
    CHECK(ledger.granted_slots(settled + 3s) == 5);
    CHECK(ledger.granted_slots(settled + 4s) == 2);
    CHECK(ledger.granted_slots(settled + 30s) == 0);
}
