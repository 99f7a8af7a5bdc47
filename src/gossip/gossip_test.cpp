#include "poplardrift/gossip/ack_tracker.hpp"
#include "poplardrift/gossip/byte_budget.hpp"
#include "poplardrift/gossip/codec.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

const std::string secret = "a secret of the hosts";

auto make_message() -> peer_message
{
    peer_message message;
    message.sender = host_id{1};
    message.incarnation = incarnation_id{2};
    message.sequence = message_sequence{3};
    message.configuration = log_offset{4};
    message.leaving = true;
    message.reports = {{upstream_id{5}, 6, 7, 8}};
    message.grants = {{upstream_id{9}, 10, message_sequence{11}}};
    message.statuses = {{upstream_id{12}, upstream_state::warm, 13, 14, 15}};
    message.fault_reports = {{upstream_id{16}, upstream_state::ejected, 17}};
    message.loads = {{pool_id{18}, 19, 20}};
    message.exceptions = {{conversation_id{21}, upstream_id{22}}};
    message.configuration_update = "{}";
    return message;
}

} // namespace

TEST_CASE("a message round-trips through the codec; changed and truncated bytes are rejected")
{
    const auto bytes = encode_message(make_message(), secret);
    const auto read = decode_message(bytes, secret);
    REQUIRE(read);
    CHECK(read->leaving);
    CHECK(read->reports[0].held == 8);
    CHECK(read->statuses[0] == make_message().statuses[0]);
    CHECK(read->loads[0].all == 20);
    CHECK(encode_message(*read, secret) == bytes);
    CHECK_FALSE(decode_message(bytes, "another secret"));
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        auto changed = bytes;
        changed[at] = static_cast<char>(changed[at] ^ 1);
        CHECK_FALSE(decode_message(changed, secret));
        CHECK_FALSE(decode_message(bytes.substr(0, at), secret));
    }
}

TEST_CASE(
    "the byte budget rejects messages above the balance, and claims do not reduce the balance")
{
    byte_budget budget({1000.0, 2000.0, 100}, time_point{});
    CHECK(budget.fits(1900, time_point{}));
    budget.spend(1900, control_traffic::urgent, time_point{});
    CHECK_FALSE(budget.fits(1, time_point{}));
    CHECK(budget.fits(800, time_point(1s)));
    budget.spend_raw(1'000'000, control_traffic::transactions, time_point(1s));
    CHECK(budget.fits(800, time_point(1s)));
    CHECK(budget.total() == 1'002'000);
}

TEST_CASE(
    "duplicate messages are dropped, and a one-way link is detected by missing acknowledgments")
{
    ack_tracker link(time_point{});
    bool restarted = false;
    auto message = make_message();
    const incarnation_id own{7};
    message.acknowledged_incarnation = own;
    CHECK(link.accept(message, own, time_point(1s), restarted));
    CHECK(restarted);
    CHECK_FALSE(link.accept(message, own, time_point(1s), restarted));
    peer_message outgoing;
    link.stamp(outgoing, time_point(1s));
    // The peer's messages arrive, but it acknowledges none of ours.
    message.sequence = message_sequence{9};
    CHECK(link.accept(message, own, time_point(5s), restarted));
    CHECK(link.is_one_way(3s, time_point(5s)));
    message.sequence = message_sequence{10};
    message.acknowledged = message_sequence{1};
    CHECK(link.accept(message, own, time_point(5s), restarted));
    CHECK_FALSE(link.is_one_way(3s, time_point(5s)));
    CHECK(link.sent_at(message_sequence{1}) == time_point(1s));
    CHECK_FALSE(link.sent_at(message_sequence{2}));
}
