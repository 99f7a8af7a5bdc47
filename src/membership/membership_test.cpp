#include "poplardrift/membership/membership.hpp"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

auto make_address(const std::string& name, const std::string& zone) -> host_address
{
    return {name, zone, "127.0.0.1", 1, 2};
}

class listener_mock final : public membership_listener
{
public:
    MAKE_MOCK2(on_member_changed, auto(const member&, member_status)->void, override);
};

/// A host with two alive peers, one of them in its own zone.
auto make_membership() -> membership
{
    membership hosts({}, make_address("a-1", "a"), incarnation_id{1});
    hosts.on_host_list(
        {make_address("a-1", "a"), make_address("a-2", "a"), make_address("b-1", "b")}, {},
        time_point{});
    for (const auto* name : {"a-2", "b-1"})
    {
        hosts.on_heartbeat(make_host_id(name), incarnation_id{5}, false, time_point{});
    }
    return hosts;
}

auto status_of(const membership& hosts, const std::string& name) -> member_status
{
    return hosts.find(make_host_id(name))->status;
}

} // namespace

TEST_CASE("a silent host is suspect while it is listed and absent once it is not")
{
    auto hosts = make_membership();
    CHECK(status_of(hosts, "b-1") == member_status::alive);
    hosts.on_tick(time_point(3s));
    CHECK(status_of(hosts, "b-1") == member_status::suspect);
    hosts.on_host_list({make_address("a-1", "a")}, {}, time_point(4s));
    CHECK(status_of(hosts, "b-1") == member_status::absent);
}

TEST_CASE("a host is suspect sooner after its connection ended than after silence alone")
{
    auto hosts = make_membership();
    hosts.on_connection(make_host_id("b-1"), false, time_point(100ms));
    hosts.on_tick(time_point(500ms));
    CHECK(status_of(hosts, "b-1") == member_status::suspect);
    CHECK(status_of(hosts, "a-2") == member_status::alive);
}

TEST_CASE("a message of a former incarnation of a host is rejected")
{
    auto hosts = make_membership();
    CHECK(hosts.on_heartbeat(make_host_id("b-1"), incarnation_id{6}, false, time_point(1s)));
    CHECK_FALSE(hosts.on_heartbeat(make_host_id("b-1"), incarnation_id{5}, false, time_point(1s)));
}

TEST_CASE("an upstream's owner is in its own zone while that zone has alive hosts")
{
    auto hosts = make_membership();
    for (std::uint32_t id = 1; id < 50; ++id)
    {
        CHECK(hosts.find(*hosts.owner_of(upstream_id{id}, "b"))->where.zone == "b");
        CHECK(hosts.find(*hosts.owner_of(upstream_id{id}, "a"))->where.zone == "a");
    }
    hosts.on_heartbeat(make_host_id("a-2"), incarnation_id{5}, false, time_point(3s));
    hosts.on_tick(time_point(3s));
    CHECK(hosts.owner_of(upstream_id{1}, "b").has_value());
    CHECK_FALSE(hosts.zone_has_no_listed_host("b"));
}

TEST_CASE("a flapping host stays suspect until the damping time has passed")
{
    auto hosts = make_membership();
    time_point now{};
    for (int count = 0; count < 5; ++count)
    {
        now += 3s;
        hosts.on_tick(now);
        hosts.on_heartbeat(make_host_id("b-1"), incarnation_id{5}, false, now);
    }
    CHECK(status_of(hosts, "b-1") == member_status::suspect);
    for (int count = 0; count < 12; ++count)
    {
        now += 1s;
        hosts.on_heartbeat(make_host_id("b-1"), incarnation_id{5}, false, now);
    }
    CHECK(status_of(hosts, "b-1") == member_status::alive);
}

TEST_CASE("a host that starts leaving owns no upstreams, and the listener receives the change")
{
    auto hosts = make_membership();
    listener_mock listener;
    REQUIRE_CALL(listener, on_member_changed(trompeloeil::_, member_status::alive)).TIMES(1);
    hosts.set_listener(&listener);
    hosts.on_heartbeat(make_host_id("a-2"), incarnation_id{5}, true, time_point(1s));
    for (std::uint32_t id = 1; id < 20; ++id)
    {
        CHECK(hosts.owner_of(upstream_id{id}, "a") == make_host_id("a-1"));
    }
}
