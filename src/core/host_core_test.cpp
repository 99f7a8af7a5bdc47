#include "poplardrift/base/crypto.hpp"
#include "poplardrift/core/host_core.hpp"
#include "poplardrift/gossip/codec.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

const std::string fleet_key = std::string(63, '0') + "1";
const std::string secret = "a secret of the hosts";
constexpr auto step = 10ms;
constexpr auto network_delay = 3ms;
constexpr std::uint32_t cold_capacity = 2;

/// Declares a fleet of three zones with two engines each.
auto make_configuration_record() -> nlohmann::json
{
    config_change change;
    change.id = "all";
    change.author = "test";
    change.team = "fleet";
    const auto add = [&](const std::string& path, const nlohmann::json& value) {
        change.sets.push_back({path, log_offset{}, value});
    };
    for (const std::string zone : {"a", "b", "c"})
    {
        add("/fleet/zones/" + zone, {{"in_service", true}});
        for (const std::string number : {"1", "2"})
        {
            add("/assist/upstreams/" + zone + number, {{"address", "127.0.0.1"},
                                                       {"port", 80},
                                                       {"zone", zone},
                                                       {"pool", "chat"},
                                                       {"capacity", 16},
                                                       {"cold_capacity", cold_capacity}});
        }
    }
    add("/assist/routes/chat", {{"prefix", "/v1"}, {"pool", "chat"}});
    add("/assist/workspaces/w", {{"key_hashes", {"00"}}});
    change.signature = *sign_message(fleet_key, change.signed_text());
    return change.to_json();
}

/// A request in flight at an engine.
struct running_request
{
    std::size_t host;
    upstream_id upstream;
    time_point end;
};

/// A message in transit between hosts.
struct message_in_transit
{
    time_point arrival;
    host_id to;
    std::string bytes;
};

/// Simulates hosts in one process, a network with delays and partitions, and engines that count
/// their requests.
class simulated_fleet final
{
public:
    explicit simulated_fleet(std::uint64_t seed) : random(seed) {}

    auto add_host(const std::string& name, const std::string& zone) -> void
    {
        host_address where{name, zone, "127.0.0.1", 1, 2};
        this->addresses.push_back(where);
        this->hosts.push_back(nullptr);
        this->start_host(this->hosts.size() - 1);
    }

    auto start_host(std::size_t index) -> void
    {
        control_settings settings;
        settings.configuration.fleet_public_key = *public_key_of(fleet_key);
        settings.configuration.host_secret = secret;
        const incarnation_id incarnation{++this->incarnations};
        this->hosts[index] = std::make_unique<host_core>(
            settings, admission_settings{}, this->addresses[index], incarnation, this->now);
        this->hosts[index]->handle(log_records_read{{{log_offset{1}, log_time{}, this->record}}},
                                   this->now);
        this->publish_host_list();
    }

    /// Ends the host's process. Its requests end with its connections.
    auto stop_host(std::size_t index) -> void
    {
        this->hosts[index].reset();
        std::erase_if(this->requests, [&](const auto& item) { return item.host == index; });
    }

    auto publish_host_list() -> void
    {
        host_list_read list;
        for (std::size_t index = 0; index < this->hosts.size(); ++index)
        {
            if (this->hosts[index])
            {
                list.live.push_back(this->addresses[index]);
            }
        }
        for (auto& host : this->hosts)
        {
            if (host)
            {
                host->handle(list, this->now);
            }
        }
    }

    /// Advances the simulation by one time step.
    auto run_step(double requests_per_step) -> void
    {
        this->now += step;
        this->deliver();
        for (std::size_t index = 0; index < this->hosts.size(); ++index)
        {
            if (this->hosts[index] && !this->paused.contains(index))
            {
                this->tick_host(index, requests_per_step);
            }
        }
        this->end_requests();
    }

    auto run(duration length, double requests_per_step) -> void
    {
        for (const auto until = this->now + length; this->now < until;)
        {
            this->run_step(requests_per_step);
        }
    }

    [[nodiscard]] auto in_flight(upstream_id id) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(
            std::count_if(this->requests.begin(), this->requests.end(),
                          [&](const auto& item) { return item.upstream == id; }));
    }

    std::set<std::pair<std::string, std::string>>
        partitions; ///< partitioned pairs of zones, in both directions
    std::set<std::size_t> paused;
    std::set<std::size_t> without_log; ///< hosts that cannot read the log
    std::map<upstream_id, std::uint32_t> engine_incarnation;
    std::map<upstream_id, std::uint64_t> served;
    std::set<upstream_id> cold; ///< engines that report cold
    std::uint64_t placed_count = 0;
    std::uint32_t max_cold_in_flight = 0;
    std::vector<std::unique_ptr<host_core>> hosts;
    std::vector<running_request> requests;
    time_point now = time_point(100s);

private:
    [[nodiscard]] auto is_partitioned(const std::string& left, const std::string& right) const
        -> bool
    {
        return this->partitions.contains({left, right}) || this->partitions.contains({right, left});
    }

    auto zone_of(upstream_id id) -> std::string
    {
        for (const std::string zone : {"a", "b", "c"})
        {
            for (const std::string number : {"1", "2"})
            {
                if (make_upstream_id("/assist/upstreams/" + zone + number) == id)
                {
                    return zone;
                }
            }
        }
        return "";
    }

    auto deliver() -> void
    {
        while (!this->network.empty() && this->network.front().arrival <= this->now)
        {
            const auto item = std::move(this->network.front());
            this->network.pop_front();
            for (std::size_t index = 0; index < this->hosts.size(); ++index)
            {
                const auto message = decode_message(item.bytes, secret);
                if (this->hosts[index] && make_host_id(this->addresses[index].name) == item.to &&
                    message)
                {
                    this->hosts[index]->handle(peer_message_received{*message}, this->now);
                }
            }
        }
    }

    auto tick_host(std::size_t index, double requests_per_step) -> void
    {
        auto& host = *this->hosts[index];
        if (this->without_log.contains(index))
        {
            host.handle(log_read_failed{}, this->now);
        }
        else
        {
            host.handle(log_records_read{}, this->now);
        }
        std::poisson_distribution<int> arrivals(requests_per_step);
        for (int count = arrivals(this->random); count > 0; --count)
        {
            this->send_request(index);
        }
        host.on_tick(this->now);
        for (const auto& action : host.take_actions())
        {
            this->execute(index, action);
        }
        for (const auto& item : host.traffic().take_ended())
        {
            if (const auto* place = std::get_if<placed>(&item.result))
            {
                this->begin(index, place->upstream);
            }
        }
    }

    auto send_request(std::size_t index) -> void
    {
        placement_request request;
        request.id = request_id{++this->request_count};
        request.pool = make_pool_id("chat");
        request.workspace = make_workspace_id("/assist/workspaces/w");
        request.conversation = conversation_id{(this->random() % 200) | 1U};
        request.deadline = this->now + 300ms;
        request.may_forward = true;
        const auto result = this->hosts[index]->traffic().request(request, this->now);
        if (const auto* place = std::get_if<placed>(&result))
        {
            this->begin(index, place->upstream);
        }
        else if (const auto* forward = std::get_if<forward_to_owner>(&result))
        {
            this->forward_request(index, request, *forward);
        }
    }

    /// The owner places a forwarded request at once or denies it.
    auto forward_request(std::size_t index, placement_request request,
                         const forward_to_owner& forward) -> void
    {
        for (std::size_t other = 0; other < this->hosts.size(); ++other)
        {
            const auto reached =
                this->hosts[other] && make_host_id(this->addresses[other].name) == forward.owner &&
                !this->paused.contains(other) &&
                !this->is_partitioned(this->addresses[index].zone, this->addresses[other].zone);
            if (!reached)
            {
                continue;
            }
            request.pinned = forward.upstream;
            request.may_forward = false;
            const auto result = this->hosts[other]->traffic().request(request, this->now);
            if (const auto* place = std::get_if<placed>(&result))
            {
                this->begin(other, place->upstream);
            }
        }
    }

    auto begin(std::size_t index, upstream_id upstream) -> void
    {
        ++this->placed_count;
        std::exponential_distribution<double> length(5.0);
        const auto end = this->now + std::chrono::duration_cast<duration>(
                                         std::chrono::duration<double>(length(this->random)));
        this->requests.push_back({index, upstream, end});
        if (this->cold.contains(upstream))
        {
            this->max_cold_in_flight =
                std::max(this->max_cold_in_flight, this->in_flight(upstream));
        }
    }

    auto end_requests() -> void
    {
        for (auto item = this->requests.begin(); item != this->requests.end();)
        {
            if (item->end > this->now || this->paused.contains(item->host))
            {
                ++item;
                continue;
            }
            this->hosts[item->host]->traffic().release(
                item->upstream, make_workspace_id("/assist/workspaces/w"), this->now);
            ++this->served[item->upstream];
            item = this->requests.erase(item);
        }
    }

    auto execute(std::size_t index, const control_action& action) -> void
    {
        const auto& from = this->addresses[index];
        if (const auto* message = std::get_if<send_message>(&action))
        {
            for (const auto& to : this->addresses)
            {
                if (make_host_id(to.name) == message->to &&
                    !this->is_partitioned(from.zone, to.zone))
                {
                    this->network.push_back(
                        {this->now + network_delay, message->to, message->bytes});
                }
            }
        }
        else if (const auto* poll = std::get_if<poll_report>(&action))
        {
            const auto id = poll->engine.id;
            if (!this->is_partitioned(from.zone, this->zone_of(id)))
            {
                upstream_report report;
                report.incarnation = this->engine_incarnation[id] + 1;
                report.in_flight = this->in_flight(id);
                report.served = this->served[id];
                report.cold = this->cold.contains(id);
                this->hosts[index]->handle(upstream_reported{id, report}, this->now);
            }
        }
    }

    std::mt19937_64 random;
    nlohmann::json record = make_configuration_record();
    std::vector<host_address> addresses;
    std::deque<message_in_transit> network;
    std::uint64_t incarnations = 0;
    std::uint64_t request_count = 0;
};

const upstream_id engine_a1 = make_upstream_id("/assist/upstreams/a1");

auto all_engines() -> std::vector<upstream_id>
{
    std::vector<upstream_id> result;
    for (const auto* name : {"a1", "a2", "b1", "b2", "c1", "c2"})
    {
        result.push_back(make_upstream_id(std::string("/assist/upstreams/") + name));
    }
    return result;
}

auto make_fleet(std::uint64_t seed) -> simulated_fleet
{
    simulated_fleet fleet(seed);
    fleet.add_host("a-1", "a");
    fleet.add_host("a-2", "a");
    fleet.add_host("b-1", "b");
    fleet.add_host("b-2", "b");
    fleet.add_host("c-1", "c");
    return fleet;
}

} // namespace

TEST_CASE("engines in cold start never exceed their cold capacity under random pauses, restarts "
          "and partitions of hosts")
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6})
    {
        INFO("seed " << seed);
        auto fleet = make_fleet(seed);
        for (const auto id : all_engines())
        {
            fleet.cold.insert(id);
        }
        std::mt19937_64 random(seed);
        for (int round = 0; round < 12; ++round)
        {
            const auto index = random() % 5;
            switch (random() % 5)
            {
            case 0:
                fleet.paused.insert(index);
                break;
            case 1:
                fleet.stop_host(index);
                fleet.paused.erase(index);
                break;
            case 2:
                fleet.partitions.insert({"a", random() % 2 == 0 ? "b" : "c"});
                break;
            case 3:
                fleet.partitions.clear();
                fleet.paused.clear();
                break;
            default:
                if (!fleet.hosts[index])
                {
                    fleet.start_host(index);
                }
            }
            fleet.run(1500ms, 0.3);
            if (random() % 3 == 0)
            {
                fleet.publish_host_list();
            }
        }
        CHECK(fleet.max_cold_in_flight <= cold_capacity);
        CHECK(fleet.placed_count > 0);
    }
}

TEST_CASE("engines warm up and then share the load within the load bound")
{
    auto fleet = make_fleet(7);
    fleet.run(20s, 0.2);
    for (const auto& item : fleet.hosts[0]->control().overview(fleet.now))
    {
        CHECK(item.state == upstream_state::warm);
    }
    // Compares with the highest load of the run, since loads of other hosts arrive late.
    std::uint32_t max_total = 0;
    std::uint32_t max_engine = 0;
    for (int count = 0; count < 1000; ++count)
    {
        fleet.run_step(0.4);
        max_total = std::max(max_total, static_cast<std::uint32_t>(fleet.requests.size()));
        for (const auto id : all_engines())
        {
            max_engine = std::max(max_engine, fleet.in_flight(id));
        }
    }
    CHECK(max_engine <= bound_by_mean(1.25, max_total, 1.0 / 6));
    CHECK(max_total > 20);
}

TEST_CASE("a partitioned zone continues to serve requests with its own engines")
{
    auto fleet = make_fleet(8);
    fleet.run(20s, 0.2);
    fleet.partitions = {{"a", "b"}, {"a", "c"}};
    fleet.run(10s, 0.2);
    const auto before = fleet.served[engine_a1];
    fleet.run(3s, 0.2);
    CHECK(fleet.served[engine_a1] > before + 5);
}

TEST_CASE("a fault report of one host turns a restarted engine cold on all hosts within 200 ms")
{
    auto fleet = make_fleet(9);
    fleet.run(20s, 0.2);
    fleet.engine_incarnation[engine_a1] = 5;
    fleet.cold.insert(engine_a1);
    // The fault report of one host makes the owner poll the engine at once.
    fleet.hosts[2]->handle(upstream_fault_detected{engine_a1, upstream_state::cold}, fleet.now);
    fleet.run(200ms, 0.0);
    for (const auto& host : fleet.hosts)
    {
        for (const auto& item : host->control().overview(fleet.now))
        {
            if (item.path == "/assist/upstreams/a1")
            {
                CHECK(item.state == upstream_state::cold);
            }
        }
    }
}

TEST_CASE("a host that cannot read the log gets the configuration from its peers")
{
    auto fleet = make_fleet(10);
    fleet.run(2s, 0.0);
    config_change change;
    change.id = "out";
    change.author = "test";
    change.team = "fleet";
    change.sets = {{"/fleet/zones/b", log_offset{1}, nlohmann::json{{"in_service", false}}}};
    change.signature = *sign_message(fleet_key, change.signed_text());
    const log_record record{log_offset{2}, log_time{}, change.to_json()};
    for (std::size_t index = 0; index < 4; ++index)
    {
        fleet.hosts[index]->handle(log_records_read{{record}}, fleet.now);
    }
    // The fifth host cannot read the log.
    fleet.without_log = {4};
    const auto begin = fleet.now;
    while (fleet.hosts[4]->control().config().applied() < log_offset{2} && fleet.now - begin < 5s)
    {
        fleet.run_step(0.0);
    }
    CHECK(fleet.now - begin <= 2s);
    CHECK_FALSE(fleet.hosts[4]->control().declared().zones.at("b").in_service);
}

TEST_CASE("the same seed gives the same placements")
{
    const auto run = []
    {
        auto fleet = make_fleet(11);
        fleet.run(5s, 0.3);
        std::uint64_t hash = fleet.placed_count;
        for (const auto& item : fleet.requests)
        {
            hash = hash_pair_64(hash, item.upstream.value());
        }
        return hash;
    };
    CHECK(run() == run());
}
