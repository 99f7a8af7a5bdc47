// Roll-outs on the data path, played over sockets.

#include "net/clock.hpp"
#include "router_fixture.hpp"

#include <catch2/catch.hpp>

#include <atomic>

using namespace poplardrift;
using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

struct counted_upstream
{
    explicit counted_upstream(std::string response)
        : server(
              [this, response = std::move(response)](peer_connection& peer)
              {
                  while (!peer.read_request().empty())
                  {
                      ++this->requests;
                      peer.send(response);
                  }
              })
    {
    }
    std::atomic<int> requests{0};
    scripted_server server;
};

/// One upstream of v1 and one of v2.
struct rollout_fixture
{
    explicit rollout_fixture(std::string new_response) : fresh(std::move(new_response)) {}

    auto make_view(bool has_bounds, bool has_order) const
        -> std::shared_ptr<const routing::fleet_view>
    {
        return router::make_view(
            {this->old.server.address(), this->fresh.server.address()},
            [&](routing::routing_configuration&, routing::fleet_view& view)
            {
                view.upstreams[0].entry.version = "v1";
                view.upstreams[0].entry.start_number = 1;
                view.upstreams[1].entry.version = "v2";
                view.upstreams[1].entry.start_number = 2;
                if (has_bounds)
                {
                    view.bounds.rollouts = rollout::rollout_bounds{0.5, 50.0, 5s};
                }
                if (has_order)
                {
                    view.rollouts.push_back(
                        {"s", "v2", 4s, rollout::order_position(3), boot_clock_now(), true});
                }
            });
    }
    /// The host's decision is this one.
    static auto is_in(rollout::rollout_phase phase, router& host) -> bool
    {
        const auto local = host.mailbox.get_rollouts().get_local();
        return !local.reports.empty() && local.reports.front().phase == phase;
    }
    /// Stores the states that the host writes, as the platform's store does.
    auto serve_store(router& host) -> void
    {
        for (const auto& task : host.mailbox.get_rollouts().take_tasks())
        {
            if (task.write)
            {
                this->stored = *task.write;
                host.mailbox.get_rollouts().add_recorded({task.service, task.to, *task.write});
            }
        }
    }

    counted_upstream old{ok_response("old")};
    counted_upstream fresh;
    std::optional<rollout::rollout_phase> stored;
};

} // namespace

TEST_CASE("without an exposure share versions and orders change nothing")
{
    // Guards against roll-outs in deployments that don't use them.
    rollout_fixture fixture(ok_response("new"));
    router host({fixture.old.server.address()});
    host.service.set_view(fixture.make_view(false, true));
    for (int number = 0; number < 40; ++number)
    {
        REQUIRE(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
    }
    CHECK(fixture.old.requests + fixture.fresh.requests == 40);
    router plain({fixture.old.server.address(), fixture.fresh.server.address()});
    const auto old_before = fixture.old.requests.load();
    for (int number = 0; number < 40; ++number)
    {
        REQUIRE(status_line_of(plain.fetch("/safe/x")) == "HTTP/1.1 200");
    }
    CHECK(fixture.old.requests - old_before == old_before);
    CHECK(host.mailbox.get_rollouts().get_local().reports.empty());
}

TEST_CASE("a version that nobody has ordered gets nothing, a good one all after its roll-out")
{
    // Guards against a gap between the decisions and the data path.
    rollout_fixture fixture(ok_response("new"));
    router host({});
    host.service.set_view(fixture.make_view(true, false));
    std::this_thread::sleep_for(20ms);
    for (int number = 0; number < 20; ++number)
    {
        REQUIRE(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
    }
    CHECK(fixture.fresh.requests == 0);
    host.service.set_view(fixture.make_view(true, true));
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (fixture.stored != rollout::rollout_phase::complete &&
           std::chrono::steady_clock::now() < end)
    {
        REQUIRE(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
        fixture.serve_store(host);
    }
    REQUIRE(fixture.stored == rollout::rollout_phase::complete);
    // The host takes the stored state in on its next tick.
    while (!fixture.is_in(rollout::rollout_phase::complete, host) &&
           std::chrono::steady_clock::now() < end)
    {
        std::this_thread::sleep_for(5ms);
    }
    const auto old_before = fixture.old.requests.load();
    for (int number = 0; number < 20; ++number)
    {
        REQUIRE(host.fetch("/safe/x").find("new") != std::string::npos);
    }
    CHECK(fixture.old.requests == old_before);
}

TEST_CASE("a bad version is rolled back, and callers get their answers from the old one")
{
    // Guards against a bad version that callers notice although their requests may be repeated.
    rollout_fixture fixture(error_response);
    router host({});
    host.service.set_view(fixture.make_view(true, true));
    std::this_thread::sleep_for(20ms);
    int sent = 0;
    std::optional<int> bad_at_decision;
    for (; sent < 600 && fixture.stored != rollout::rollout_phase::rolled_back; ++sent)
    {
        REQUIRE(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
        // The exposure bound of the view: half of the requests and 50 more.
        REQUIRE(fixture.fresh.requests <= 0.5 * (sent + 1) + 50.0);
        if (!bad_at_decision && fixture.is_in(rollout::rollout_phase::rolled_back, host))
        {
            bad_at_decision = fixture.fresh.requests.load();
        }
        fixture.serve_store(host);
    }
    REQUIRE(fixture.stored == rollout::rollout_phase::rolled_back);
    REQUIRE(bad_at_decision);
    // The evidence decides, not the tick: the number depends on no speed.
    CHECK(fixture.fresh.requests < 50);
    for (int number = 0; number < 50; ++number)
    {
        REQUIRE(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
    }
    CHECK(fixture.fresh.requests == *bad_at_decision);
    auto operators = connect_to(host.status_address);
    operators.send("GET /status HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto page = operators.read_to_end(1s);
    CHECK(page.find("\"rolled_back\"") != std::string::npos);
    CHECK(page.find("bad responses") != std::string::npos);
}
