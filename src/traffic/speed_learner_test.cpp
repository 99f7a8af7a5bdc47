#include "traffic/speed_learner.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace poplardrift::traffic;
using namespace std::chrono_literals;

namespace
{

const time_point now(1h);

/// One upstream of the service "s" and the ends of sends to it.
struct learner_fixture
{
    auto report(std::optional<routing::load_report> load) -> void
    {
        response_metadata response;
        response.load = load;
        response.has_malformed_load = !load;
        this->learner.on_response_head(this->state, "s", response, now);
    }
    auto finish(send_result result, duration took, bool was_warm = true) -> void
    {
        finished_send send{"s", this->route, nullptr, 0, "", this->state, result};
        send.was_warm = was_warm;
        send.first_output = took;
        send.estimate.expected_ms = 50.0;
        send.ended_at = now;
        this->learner.on_send_finished(send);
    }
    [[nodiscard]] auto response_ms() const -> double
    {
        return this->state.speed.response_ms(*this->learner.find("s", true), now);
    }

    traffic_metrics metrics;
    speed_learner learner{this->metrics};
    routing::route_rules route;
    routing::upstream_state state{0};
};

} // namespace

TEST_CASE("learnt speeds are used only where upstreams report speeds or the settings enable them")
{
    // Guards against deployments without either being served differently.
    learner_fixture fixture;
    CHECK(fixture.learner.find("s", false) == nullptr);
    CHECK(fixture.learner.find("s", true) != nullptr);
    fixture.report(routing::load_report{3, 0, 16, std::nullopt});
    fixture.finish(send_result::succeeded, 30ms);
    CHECK(fixture.learner.find("s", false) == nullptr);
    fixture.report(routing::load_report{3, 0, 16, 120});
    CHECK(fixture.learner.find("s", false) != nullptr);
    CHECK(fixture.learner.find("other", false) == nullptr);
}

TEST_CASE("only complete responses of warm upstreams are learnt from")
{
    // Guards against an upstream that fails fast being taken for a fast one.
    learner_fixture fixture;
    for (const auto result :
         {send_result::rejected, send_result::failed, send_result::broken, send_result::silent,
          send_result::declined, send_result::not_connected, send_result::cancelled})
    {
        fixture.finish(result, 1ms);
    }
    fixture.finish(send_result::succeeded, 1ms, false);
    CHECK(fixture.response_ms() == Approx(50.0)); // the default
    fixture.finish(send_result::succeeded, 30ms);
    CHECK(fixture.response_ms() == Approx(30.0));
}

TEST_CASE("malformed load reports are counted and change nothing")
{
    // Guards against an upstream's faulty reports going unnoticed.
    learner_fixture fixture;
    fixture.report(std::nullopt);
    CHECK_FALSE(fixture.state.speed.get_report());
    CHECK(fixture.metrics.to_text().find(
              R"(poplardrift_load_reports_total{service="s",valid="false"} 1)") !=
          std::string::npos);
}
