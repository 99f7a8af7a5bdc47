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
/// After grants of a former owner have expired.
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

TEST_CASE("while grants may not increase, a holder keeps at most its grant from a former owner")
{
    slot_ledger ledger({}, start);
    ledger.on_report(host_a, report(2, 1, 3), sequence(1), sequence(0), start);
    ledger.on_report(host_b, report(0, 2), sequence(1), sequence(0), start);
    CHECK_FALSE(ledger.former_grants_expired(start + 6s));
    CHECK(ledger.grant(host_a, 10, false, sequence(1), start).slots == 3);
    CHECK(ledger.grant(host_b, 10, false, sequence(1), start).slots == 0);
    CHECK(ledger.former_grants_expired(start + 7s));
}

TEST_CASE("the sum of the grants to all holders stays within the limit")
{
    slot_ledger ledger({}, start);
    ledger.on_report(host_a, report(0, 5), sequence(1), sequence(0), settled);
    const auto first = ledger.grant(host_a, 6, true, sequence(1), settled);
    ledger.on_report(host_b, report(0, 5), sequence(1), sequence(0), settled);
    const auto second = ledger.grant(host_b, 6, true, sequence(1), settled);
    CHECK(first.slots + second.slots <= 6);
    CHECK(ledger.granted_slots(settled) <= 6);
}

TEST_CASE("a lowered grant counts at its old value until the holder acknowledges the new one")
{
    slot_settings settings;
    settings.prefetch = 0;
    slot_ledger ledger(settings, start);
    ledger.on_report(host_a, report(0, 5), sequence(1), sequence(0), settled);
    REQUIRE(ledger.grant(host_a, 5, true, sequence(1), settled).slots == 5);
    // The idle holder's grant is lowered in message 2, which it has not acknowledged yet.
    ledger.on_report(host_a, report(0, 0), sequence(2), sequence(1), settled + 100ms);
    REQUIRE(ledger.grant(host_a, 5, true, sequence(2), settled + 100ms).slots == 0);
    ledger.on_report(host_b, report(0, 5), sequence(1), sequence(0), settled + 200ms);
    CHECK(ledger.grant(host_b, 5, true, sequence(1), settled + 200ms).slots == 0);
    // After the acknowledgment, the slots are available to the other host.
    ledger.on_report(host_a, report(0, 0), sequence(3), sequence(2), settled + 300ms);
    ledger.on_report(host_b, report(0, 5), sequence(2), sequence(1), settled + 300ms);
    CHECK(ledger.grant(host_b, 5, true, sequence(2), settled + 300ms).slots == 5);
}

TEST_CASE(
    "after its lease expires, a silent holder's requests still count but its idle slots do not")
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
