#include "fleet/peer_messages.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace poplardrift::fleet;
using namespace std::chrono_literals;

namespace
{

const time_point now(1h);

auto make_message(std::uint32_t routes) -> rollout_message
{
    rollout_message message;
    message.incarnation = 5;
    message.report.service = "chat";
    message.report.position = rollout::order_position(7);
    message.report.ordered_at = now - 3s;
    message.report.phase = rollout::rollout_phase::shifting;
    message.report.counts.sent_to_new = 1'000'000;
    for (std::uint32_t route = 0; route < routes; ++route)
    {
        const rollout::response_counts counts{60'000, 2'000, 500, 60'000, 2'000};
        message.report.counts.routes[rollout::route_key(0x9000'0000U + route)] = {1'000'000, counts,
                                                                                  counts};
        message.report.counts.interrupted_by_upstream[0x9000'0000U + route] = 500;
    }
    return message;
}

} // namespace

TEST_CASE("a report on a roll-out is decoded as it was encoded, with ages instead of times")
{
    // Guards against comparing the clocks of two hosts.
    const auto message = make_message(3);
    const auto later = now + 10min;
    const auto decoded = decode_datagram(encode_rollout(message, 0, false, now), later);
    REQUIRE(decoded);
    const auto& received = std::get<rollout_message>(*decoded);
    CHECK(received.incarnation == 5);
    CHECK(received.report.counts == message.report.counts);
    CHECK(received.report.phase == message.report.phase);
    CHECK(received.report.ordered_at == later - 3s);
}

TEST_CASE("reports on many routes fit into one packet and all routes get their turn")
{
    // Guards against datagrams that networks drop, and routes that are never reported.
    const auto message = make_message(40);
    rollout::host_counts merged;
    for (std::size_t first = 0; first < 40; ++first)
    {
        const auto bytes = encode_rollout(message, first, false, now);
        CHECK(bytes.size() <= 1200);
        const auto decoded = decode_rollout_message(bytes, now);
        REQUIRE(decoded);
        merged.merge(decoded->report.counts);
    }
    CHECK(merged.routes == message.report.counts.routes);
}

TEST_CASE("malformed reports on roll-outs are rejected")
{
    // Guards against a datagram that ends the process or distorts the verdict.
    const auto bytes = encode_rollout(make_message(2), 0, false, now);
    for (std::size_t size = 2; size < bytes.size(); ++size)
    {
        CHECK_FALSE(decode_datagram(std::string_view(bytes).substr(0, size), now));
    }
    auto absurd = make_message(1);
    absurd.report.phase = static_cast<rollout::rollout_phase>(9);
    CHECK_FALSE(decode_datagram(encode_rollout(absurd, 0, false, now), now));
}
