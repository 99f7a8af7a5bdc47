#include "fleet/fleet_state.hpp"
#include "fleet/text_record_decoder.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <map>
#include <random>

using namespace poplardrift;
using namespace poplardrift::fleet;
using namespace std::chrono_literals;

namespace
{

const time_point now(1h);
const text_record_decoder decoder;

/// State that a host must have after applying a prefix of both streams.
struct expected_state
{
    std::uint64_t version = 0;
    std::set<std::string> zones_out;
    std::map<std::string, bool> leaving; ///< by upstream

    auto operator==(const expected_state&) const -> bool = default;

    [[nodiscard]] auto text() const -> std::string
    {
        auto result = "version " + std::to_string(this->version) + ", zones out:";
        for (const auto& zone : this->zones_out)
        {
            result += " " + zone;
        }
        result += ", upstreams:";
        for (const auto& [name, is_leaving] : this->leaving)
        {
            result += " " + name + (is_leaving ? " leaving" : "");
        }
        return result;
    }
};

/// The platform's streams, and the expected state for each prefix.
class simulated_platform final
{
public:
    auto append(record_stream stream, const std::string& key,
                const std::optional<std::string>& value) -> void
    {
        auto& list = this->records[static_cast<std::size_t>(stream)];
        list.push_back({key, record_position(list.size()), value});
    }
    [[nodiscard]] auto end(record_stream stream) const -> std::size_t
    {
        return this->records[static_cast<std::size_t>(stream)].size();
    }
    [[nodiscard]] auto slice(record_stream stream, std::size_t from, std::size_t to) const
        -> std::vector<published_record>
    {
        const auto& list = this->records[static_cast<std::size_t>(stream)];
        return {list.begin() + static_cast<std::ptrdiff_t>(from),
                list.begin() + static_cast<std::ptrdiff_t>(to)};
    }
    /// Newest record of each existing key, as the platform returns it.
    [[nodiscard]] auto listing(record_stream stream) const -> std::vector<published_record>
    {
        std::map<std::string, published_record> newest;
        for (const auto& item : this->records[static_cast<std::size_t>(stream)])
        {
            newest[item.key] = item;
        }
        std::vector<published_record> result;
        for (const auto& [key, item] : newest)
        {
            if (item.value)
            {
                result.push_back(item);
            }
        }
        return result;
    }
    [[nodiscard]] auto state_at(std::size_t operators_end, std::size_t upstreams_end) const
        -> expected_state
    {
        expected_state result;
        for (std::size_t index = 0; index < operators_end; ++index)
        {
            const auto& item = this->records[0][index];
            if (item.key == "config")
            {
                result.version = std::max<std::uint64_t>(result.version, std::stoull(*item.value));
            }
            else if (item.value)
            {
                result.zones_out.insert(item.key);
            }
            else
            {
                result.zones_out.erase(item.key);
            }
        }
        for (std::size_t index = 0; index < upstreams_end; ++index)
        {
            const auto& item = this->records[1][index];
            if (item.value)
            {
                result.leaving[item.key] = item.value->find("leaving") != std::string::npos;
            }
            else
            {
                result.leaving.erase(item.key);
            }
        }
        return result;
    }

private:
    std::array<std::vector<published_record>, 2> records;
};

constexpr std::array<record_stream, 2> streams = {record_stream::operators,
                                                  record_stream::upstreams};

/// One host: its state and the positions up to which it has read the platform's streams.
struct chaos_host
{
    explicit chaos_host(decision_log& log) : state(std::make_unique<fleet_state>(decoder, log)) {}

    std::unique_ptr<fleet_state> state;
    std::array<std::size_t, 2> read_end{};
    std::array<bool, 2> listed{};
    std::shared_ptr<const routing::fleet_view> view = std::make_shared<routing::fleet_view>();
};

/// Stream positions of a beacon.
struct chaos_beacon
{
    std::size_t from = 0;
    std::array<record_position, 2> ends;
    std::array<record_position, 2> change_ends;
};

class chaos_simulation final
{
public:
    chaos_simulation(unsigned seed, std::size_t host_count) : random(seed)
    {
        for (std::size_t number = 0; number < host_count; ++number)
        {
            this->hosts.emplace_back(this->log);
        }
        this->publish("config", "1");
    }

    auto step() -> void
    {
        switch (this->random() % 8)
        {
        case 0:
            this->publish_change();
            break;
        case 1:
        case 2:
            this->publish_heartbeat();
            break;
        case 3:
            this->read_stream(this->random_host());
            break;
        case 4:
        case 5:
            this->send_beacon(this->random_host());
            break;
        case 6:
            this->receive_beacon();
            break;
        default:
            this->restart_sometimes();
            break;
        }
        for (auto& host : this->hosts)
        {
            this->check(host);
        }
    }

private:
    auto random_host() -> chaos_host& { return this->hosts[this->random() % this->hosts.size()]; }
    auto random_upstream() -> std::string { return "u" + std::to_string(this->random() % 4); }
    auto publish(const std::string& key, const std::optional<std::string>& value) -> void
    {
        this->platform.append(record_stream::operators, key, value);
    }

    auto publish_change() -> void
    {
        switch (this->random() % 5)
        {
        case 0:
            this->version += 1 + this->random() % 3;
            this->publish("config", std::to_string(this->version));
            break;
        case 1:
            this->publish("a", this->random() % 2 == 0 ? std::optional<std::string>("{}")
                                                       : std::nullopt);
            break;
        case 2:
            this->platform.append(record_stream::upstreams, this->random_upstream(), std::nullopt);
            break;
        default:
            // A new start number clears the leaving state.
            this->start_letter = static_cast<char>(this->start_letter + 1);
            REQUIRE(this->start_letter <= '~');
            this->current[this->random_upstream()] = std::string(1, this->start_letter);
            break;
        }
    }

    auto publish_heartbeat() -> void
    {
        const auto name = this->random_upstream();
        auto& value = this->current[name];
        if (value.empty())
        {
            value = "!";
        }
        if (this->random() % 6 == 0 && value.size() == 1)
        {
            value += " leaving";
        }
        this->platform.append(record_stream::upstreams, name, value);
    }

    auto read_stream(chaos_host& host) -> void
    {
        const auto stream = streams[this->random() % 2];
        const auto index = static_cast<std::size_t>(stream);
        const auto end = this->platform.end(stream);
        if (!host.listed[index] || this->random() % 12 == 0)
        {
            host.listed[index] = true;
            host.state->on_listing(stream, this->platform.listing(stream), record_position(end),
                                   now);
            host.read_end[index] = end;
            return;
        }
        const auto to =
            host.read_end[index] +
            (end > host.read_end[index] ? this->random() % (end - host.read_end[index] + 1) : 0);
        host.state->on_records(stream, this->platform.slice(stream, host.read_end[index], to),
                               record_position(to), now);
        host.read_end[index] = to;
    }

    auto send_beacon(const chaos_host& host) -> void
    {
        chaos_beacon beacon;
        beacon.from = static_cast<std::size_t>(&host - this->hosts.data());
        for (const auto stream : streams)
        {
            const auto index = static_cast<std::size_t>(stream);
            beacon.ends[index] = host.state->mirror_of(stream).end();
            beacon.change_ends[index] = host.state->change_end_of(stream);
        }
        this->beacons_in_flight.push_back(beacon);
    }

    /// Delivers one pending beacon to a random host: late, out of order, or not at all.
    auto receive_beacon() -> void
    {
        if (this->beacons_in_flight.empty())
        {
            return;
        }
        const auto which = this->random() % this->beacons_in_flight.size();
        const auto beacon = this->beacons_in_flight[which];
        this->beacons_in_flight.erase(this->beacons_in_flight.begin() +
                                      static_cast<std::ptrdiff_t>(which));
        auto& host = this->random_host();
        if (this->random() % 4 == 0 || &host == &this->hosts[beacon.from])
        {
            return;
        }
        for (const auto stream : streams)
        {
            const auto index = static_cast<std::size_t>(stream);
            host.state->on_peer_position(stream, beacon.change_ends[index], beacon.ends[index]);
            const auto& mirror = host.state->mirror_of(stream);
            if (beacon.change_ends[index] > mirror.end() || !mirror.is_complete())
            {
                this->fetch(host, this->hosts[beacon.from], stream);
            }
        }
    }

    static auto fetch(chaos_host& host, const chaos_host& from, record_stream stream) -> void
    {
        const auto& source = from.state->mirror_of(stream);
        if (source.is_complete())
        {
            const auto known_to = host.state->mirror_of(stream).end();
            host.state->on_changes(stream, source.changes_since(known_to), source.end(), now);
        }
    }

    auto restart_sometimes() -> void
    {
        if (this->random() % 10 == 0)
        {
            this->random_host() = chaos_host(this->log);
        }
    }

    auto check(chaos_host& host) -> void
    {
        const auto previous_version =
            host.view->configuration ? host.view->configuration->version.value() : 0;
        if (auto next = host.state->take_view(now))
        {
            host.view = next;
        }
        expected_state actual;
        actual.version = host.view->configuration ? host.view->configuration->version.value() : 0;
        REQUIRE(actual.version >= previous_version);
        for (const auto& zone : host.view->zones_out)
        {
            actual.zones_out.insert(zone.value());
        }
        for (const auto& upstream : host.view->upstreams)
        {
            actual.leaving[upstream.entry.name.value()] = upstream.entry.leaving;
        }
        const auto operators_end = host.state->mirror_of(record_stream::operators).end().offset();
        const auto upstreams_end = host.state->mirror_of(record_stream::upstreams).end().offset();
        INFO("positions " << operators_end << " and " << upstreams_end);
        REQUIRE(actual.text() == this->platform.state_at(operators_end, upstreams_end).text());
    }

    std::mt19937 random;
    decision_log log{"chaos", -1};
    simulated_platform platform;
    std::vector<chaos_host> hosts;
    std::vector<chaos_beacon> beacons_in_flight;
    std::map<std::string, std::string> current; ///< registry value of each upstream
    std::uint64_t version = 1;
    /// Start numbers increase, as they do for real upstreams; more than any seed uses.
    char start_letter = '!';
};

/// Number of seeds; POPLARDRIFT_CHAOS_SEEDS=1000 runs more than the default.
auto seed_count() -> unsigned
{
    const auto* const text = std::getenv("POPLARDRIFT_CHAOS_SEEDS");
    return text != nullptr ? static_cast<unsigned>(std::atoi(text)) : 60U;
}

} // namespace

TEST_CASE("chaos: every host's view equals the state of the stream prefix up to its position")
{
    for (unsigned seed = 1; seed <= seed_count(); ++seed)
    {
        INFO("seed " << seed);
        chaos_simulation run(seed, 2 + seed % 4);
        for (int step = 0; step < 400; ++step)
        {
            run.step();
        }
    }
}
