#include "poplardrift/leases/order_core.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

const host_id host_a{1};
const host_id host_b{2};
const upstream_id engine_id{7};
const time_point start{};

auto make_engine(const std::string& declared, const std::string& reported, std::uint32_t in_use)
    -> managed_engine
{
    return {engine_id, "/assist/upstreams/e1", "127.0.0.1", 80, declared, reported, in_use};
}

/// Simulates the log's lease stream and passes appended records to the readers.
struct lease_log
{
    std::uint64_t offset = 0;
    std::vector<std::pair<log_time, lease_record>> records;

    auto append(const lease_record& record, time_point now, std::vector<order_core*> readers)
        -> void
    {
        const auto time = std::chrono::duration_cast<log_time>(now.time_since_epoch());
        ++this->offset;
        for (auto* reader : readers)
        {
            reader->on_record(log_offset{this->offset}, time, record);
        }
    }
};

/// Executes append actions and returns the orders to be sent.
auto execute_actions(order_core& core, lease_log& log, time_point now,
                     std::vector<order_core*> readers) -> std::vector<send_order>
{
    std::vector<send_order> orders;
    for (const auto& action : core.take_actions())
    {
        if (const auto* append = std::get_if<append_lease_record>(&action))
        {
            log.append(append->record, now, readers);
        }
        if (const auto* order = std::get_if<send_order>(&action))
        {
            orders.push_back(*order);
        }
    }
    return orders;
}

/// Ticks until an order is to be sent, for at most 10 s.
auto run_until_order(order_core& core, lease_log& log, const managed_engine& engine,
                     time_point& now, std::vector<order_core*> readers) -> std::vector<send_order>
{
    for (int step = 0; step < 40; ++step)
    {
        core.on_tick({engine}, now);
        auto orders = execute_actions(core, log, now, readers);
        if (!orders.empty())
        {
            return orders;
        }
        now += 250ms;
    }
    return {};
}

} // namespace

TEST_CASE("an order is sent only with a lease, a load permit and a drained engine")
{
    order_core core({}, host_a, incarnation_id{1});
    lease_log log;
    auto now = start;
    CHECK(run_until_order(core, log, make_engine("big", "base", 3), now, {&core}).empty());
    const auto orders = run_until_order(core, log, make_engine("big", "base", 0), now, {&core});
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].fencing > log_offset{});
    CHECK(orders[0].valid_until > now);
    // The engine reports its new model, which ends the change.
    core.on_tick({make_engine("big", "big", 0)}, now);
    CHECK_FALSE(core.is_busy());
}

TEST_CASE("when two hosts both manage an engine, only one gets the lease and sends an order")
{
    order_core first({}, host_a, incarnation_id{1});
    order_core second({}, host_b, incarnation_id{1});
    lease_log log;
    auto now = start;
    const auto engine = make_engine("big", "base", 0);
    CHECK(run_until_order(first, log, engine, now, {&first, &second}).size() == 1);
    auto later = now;
    for (; later < now + 5s; later += 250ms)
    {
        second.on_tick({engine}, later);
        CHECK(execute_actions(second, log, later, {&first, &second}).empty());
    }
}

TEST_CASE("a holder that was paused past the end of its lease sends no order")
{
    order_core core({}, host_a, incarnation_id{1});
    lease_log log;
    auto now = start;
    // The host holds the lease and waits for the engine to drain.
    CHECK(run_until_order(core, log, make_engine("big", "base", 1), now, {&core}).empty());
    const auto before = log.offset;
    now += 60s;
    core.on_tick({make_engine("big", "base", 0)}, now);
    const auto orders = execute_actions(core, log, now, {&core});
    CHECK(orders.empty());
    CHECK(log.offset > before);
}

TEST_CASE("a later holder has a higher fencing number")
{
    order_core first({}, host_a, incarnation_id{1});
    order_core second({}, host_b, incarnation_id{1});
    lease_log log;
    auto now = start;
    const auto engine = make_engine("big", "base", 0);
    const auto former = run_until_order(first, log, engine, now, {&first, &second});
    REQUIRE(former.size() == 1);
    now += 30s;
    const auto present = run_until_order(second, log, engine, now, {&first, &second});
    REQUIRE(present.size() == 1);
    CHECK(present[0].fencing > former[0].fencing);
    CHECK(former[0].valid_until < now);
}

TEST_CASE("the fleet does not exceed the limit of concurrent model loads")
{
    order_core first({}, host_a, incarnation_id{1});
    order_core second({}, host_b, incarnation_id{1});
    lease_log log;
    auto now = start;
    const auto engine = make_engine("big", "base", 0);
    auto other = engine;
    other.id = upstream_id{8};
    other.path = "/assist/upstreams/e2";
    CHECK(run_until_order(first, log, engine, now, {&first, &second}).size() == 1);
    auto later = now;
    for (; later < now + 5s; later += 250ms)
    {
        second.on_tick({other}, later);
        CHECK(execute_actions(second, log, later, {&first, &second}).empty());
    }
}

TEST_CASE("a refused order is retried only after the backoff and with a new lease")
{
    order_core core({}, host_a, incarnation_id{1});
    lease_log log;
    auto now = start;
    const auto engine = make_engine("big", "base", 0);
    const auto first = run_until_order(core, log, engine, now, {&core});
    REQUIRE(first.size() == 1);
    core.on_order_result(engine_id, order_result::refused, now);
    core.on_tick({engine}, now + 1s);
    CHECK(execute_actions(core, log, now + 1s, {&core}).empty());
    now += 3s;
    const auto second = run_until_order(core, log, engine, now, {&core});
    REQUIRE(second.size() == 1);
    CHECK(second[0].fencing > first[0].fencing);
}
