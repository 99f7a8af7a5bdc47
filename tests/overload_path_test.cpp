// Admission under overload on the whole path of a request.

#include "router_fixture.hpp"

#include "poplardrift/base/ids.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

/// Figures of other hosts for the fixture's service, whose queues are full.
auto congested_figures() -> overload::remote_figures
{
    const overload::service_key key(static_cast<std::uint32_t>(hash_bytes_64("s")));
    return {{{key, 500.0, 0.5, 1.0}}, 0ms};
}

auto with_control(bool enabled) -> router::adjustment
{
    return [enabled](routing::routing_configuration&, routing::fleet_view& view)
    { view.bounds.overload_control = enabled; };
}

} // namespace

TEST_CASE("under congestion a request is refused with Retry-After and reaches no upstream")
{
    scripted_server upstream(respond_always(ok_response("hello")));
    router host({upstream.address()}, with_control(true));
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200"); // no figures yet
    const auto connections = upstream.connections();
    host.mailbox.set_remote_figures(congested_figures());
    std::this_thread::sleep_for(300ms);
    const auto refused = host.fetch("/safe/x");
    CHECK(status_line_of(refused) == "HTTP/1.1 503");
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    CHECK(refused.find("overload") != std::string::npos);
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 503"); // an early repeat
    CHECK(upstream.connections() == connections);
    // The load goes: after the figures of others have lapsed, requests pass.
    host.mailbox.set_remote_figures({});
    std::this_thread::sleep_for(1500ms);
    CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
}

TEST_CASE("without overload control every request passes, whatever other hosts report")
{
    scripted_server upstream(respond_always(ok_response("hello")));
    router host({upstream.address()}, with_control(false));
    host.mailbox.set_remote_figures(congested_figures());
    for (int round = 0; round < 4; ++round)
    {
        CHECK(status_line_of(host.fetch("/safe/x")) == "HTTP/1.1 200");
        std::this_thread::sleep_for(80ms);
    }
    CHECK(host.mailbox.get_local_figures().empty());
}
