#include "fleet/peer_link.hpp"

#include "net/clock.hpp"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <utility>

namespace poplardrift::fleet
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::address_v4;
using boost::system::error_code;

constexpr duration min_beacon_interval = 100ms; ///< bounds the age of loads at peers
/// Number of peers up to which beacons use the minimum interval. Beyond it the interval grows in
/// proportion, so the beacon bandwidth of a host does not depend on the size of the fleet.
constexpr std::size_t peers_at_min_interval = 8;
constexpr duration silent_beacon_interval = 1s; ///< to peers that are not alive
/// Beacon intervals without a beacon after which a zone counts as silent; more than one, because
/// single datagrams get lost.
constexpr int max_missed_beacons = 4;
/// Interval at which the identity is repeated, for peers that missed it.
constexpr duration identity_interval = 1s;
constexpr std::size_t packet_header_bytes = 28; ///< IPv4 and UDP
constexpr duration alive_timeout = 1500ms;      ///< since the last beacon
/// A silent peer may be partitioned and still send to upstreams; it keeps its share of the capacity
/// that is divided among the hosts for this long.
constexpr duration share_retention = 45s;
constexpr duration forget_timeout = 300s;
/// Time within which all hosts that can reach a new one count it.
constexpr duration settling_time = 3s;
/// Capacity is divided among at least this many hosts while no peer has been identified.
constexpr std::size_t min_hosts_without_peers = 8;
/// Time for the platform to deliver new records, by stream: configuration arrives through a long
/// poll, the registry through periodic polls.
constexpr std::array<duration, 2> platform_delivery_delay = {150ms, 800ms};
/// Most cached prefixes kept for sending, and sent in one beacon. Those of a lost beacon are not
/// sent again: they only improve cache reuse.
constexpr std::size_t max_stored_prefixes = 256;
constexpr std::size_t max_prefixes_per_beacon = 16;
/// Hosts that poll the registry frequently; the others receive its records from them. Two, so that
/// the loss of one causes no delay.
constexpr std::size_t registry_reader_count = 2;
/// Readers poll every 0.4 s; a reader whose last successful read is older than this is not counted.
constexpr duration max_registry_read_age = 900ms;
constexpr duration fetch_timeout = 500ms;
constexpr std::string_view fetch_path = "/records/";

auto parse_number_after(std::string_view target, std::string_view label) -> std::uint64_t
{
    const auto at = target.find(label);
    if (at == std::string_view::npos)
    {
        return 0;
    }
    auto text = target.substr(at + label.size());
    return http::parse_number(text.substr(0, text.find('/'))).value_or(0);
}

} // namespace

/// An HTTP request for missing records to one peer. Responses other than 200, failures and timeouts
/// are dropped; a later tick starts another fetch.
class peer_link::batch_fetch final : public http::response_receiver
{
public:
    batch_fetch(peer_link& owner, const address_v4& address)
        : owner(owner), timer(owner.io),
          connection(std::make_shared<http::upstream_connection>(
              owner.io, boost::asio::ip::tcp::endpoint(address, owner.settings.port),
              http::connection_settings{fetch_timeout, fetch_timeout}))
    {
    }
    ~batch_fetch() override { this->connection->abandon(); }

    auto start() -> void
    {
        const auto& state = this->owner.state;
        http::upstream_request request;
        request.head = "GET " + std::string(fetch_path) + "operators=" +
                       std::to_string(state.mirror_of(record_stream::operators).end().value()) +
                       "/upstreams=" +
                       std::to_string(state.mirror_of(record_stream::upstreams).end().value()) +
                       "/ HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n";
        this->timer.expires_after(fetch_timeout);
        this->timer.async_wait(
            [this](const error_code& error)
            {
                if (!error)
                {
                    this->owner.fetch = nullptr;
                }
            });
        this->connection->send(std::move(request), this);
    }

private:
    auto on_request_sent() -> void override {}
    auto on_response_head(const http::response_head& head) -> void override
    {
        this->accepted = head.status == 200;
    }
    auto on_response_body(std::string bytes) -> void override { this->body.append(bytes); }
    auto on_response_end() -> void override
    {
        const auto self = std::exchange(this->owner.fetch, nullptr);
        if (this->accepted)
        {
            this->owner.on_batch(this->body);
        }
    }
    auto on_response_failed(http::transport_failure) -> void override
    {
        const auto self = std::exchange(this->owner.fetch, nullptr);
    }

    peer_link& owner;
    boost::asio::steady_timer timer;
    std::shared_ptr<http::upstream_connection> connection;
    std::string body;
    bool accepted = false;
};

peer_link::peer_link(boost::asio::io_context& io, peer_settings settings, fleet_state& state,
                     traffic::load_mailbox& mailbox, decision_log& log,
                     std::function<void()> on_records_applied)
    : io(io), settings(std::move(settings)), state(state), mailbox(mailbox), log(log),
      on_records_applied(std::move(on_records_applied)), socket(io)
{
}

peer_link::~peer_link()
{
    if (this->fetch_listener)
    {
        this->fetch_listener->close(); // a pending accept keeps the listener alive
    }
}

auto peer_link::open() -> bool
{
    error_code error;
    this->socket.open(boost::asio::ip::udp::v4(), error);
    if (!error)
    {
        this->socket.bind({this->settings.address, this->settings.port}, error);
    }
    if (error)
    {
        return false;
    }
    this->fetch_listener = std::make_shared<http::listener>(
        this->io,
        [this](boost::asio::ip::tcp::socket accepted)
        {
            std::make_shared<traffic::status_session>(std::move(accepted),
                                                      [this](const http::request_head& head)
                                                      { return this->serve_records(head); })
                ->start();
        });
    this->receive();
    this->started_at = boot_clock_now();
    this->add_known_hosts(this->settings.seeds, this->started_at);
    return this->fetch_listener->open({this->settings.address, this->settings.port});
}

auto peer_link::add_known_hosts(const std::vector<address_v4>& addresses, time_point now) -> void
{
    for (const auto& address : addresses)
    {
        if (address != this->settings.address && this->peers.try_emplace(address).second)
        {
            this->peers[address].last_seen_at = now;
        }
    }
}

auto peer_link::receive() -> void
{
    this->socket.async_receive_from(boost::asio::buffer(this->datagram), this->sender,
                                    [this](const error_code& error, std::size_t size)
                                    {
                                        if (error == boost::asio::error::operation_aborted)
                                        {
                                            return;
                                        }
                                        if (!error)
                                        {
                                            this->on_datagram(size);
                                        }
                                        this->receive();
                                    });
}

auto peer_link::on_datagram(std::size_t size) -> void
{
    const auto now = boot_clock_now();
    auto decoded = decode_beacon({this->datagram.data(), size});
    if (!decoded)
    {
        this->log.write(
            event_code::peer_message_rejected,
            {{"from", this->sender.address().to_string()}, {"reason", decoded.failure_reason()}});
        return;
    }
    auto& beacon = *decoded;
    const auto address = this->sender.address().to_v4();
    if (address == this->settings.address)
    {
        return;
    }
    auto& other = this->peers[address];
    if (beacon.identity)
    {
        this->on_identity(other, beacon, now);
    }
    if (other.host.empty() || other.incarnation != beacon.incarnation)
    {
        // Its identity follows within a second, or at once when it receives this host's identity.
        other.last_seen_at = std::max(other.last_seen_at, now);
        return;
    }
    other.last_received_at = now;
    for (std::size_t stream = 0; stream < beacon.ends.size(); ++stream)
    {
        this->state.on_peer_position(static_cast<record_stream>(stream), beacon.change_ends[stream],
                                     beacon.ends[stream]);
    }
    other.registry_read_at = now - beacon.registry_age;
    other.ends = beacon.ends;
    other.change_ends = beacon.change_ends;
    other.loads = std::move(beacon.loads);
    this->mailbox.add_remote_prefixes(beacon.cached_prefixes);
    this->loads_changed = true;
}

auto peer_link::on_identity(peer& other, const host_beacon& beacon, time_point now) -> void
{
    if (other.incarnation != beacon.incarnation || !this->is_alive(other, now))
    {
        other.logged_alive = true;
        this->log.write(event_code::member_changed, {{"peer", beacon.identity->host},
                                                     {"state", "alive"},
                                                     {"incarnation", beacon.incarnation}});
        // It may not know this host yet: send a beacon with the identity at once.
        other.next_beacon_at = {};
        other.next_identity_at = {};
    }
    other.host = beacon.identity->host;
    other.zone = zone_name(beacon.identity->zone);
    other.incarnation = beacon.incarnation;
}

auto peer_link::is_alive(const peer& other, time_point now) const -> bool
{
    return !other.host.empty() && now - other.last_received_at < alive_timeout;
}

auto peer_link::beacon_interval() const -> duration
{
    const auto factor = std::max<std::size_t>(1, this->peers.size() / peers_at_min_interval);
    return min_beacon_interval * factor;
}

auto peer_link::collect_local_prefixes() -> void
{
    for (const auto& prefix : this->mailbox.take_local_prefixes())
    {
        this->cached_prefixes.push_back(prefix);
        ++this->cached_prefixes_end;
    }
    while (this->cached_prefixes.size() > max_stored_prefixes)
    {
        this->cached_prefixes.pop_front();
    }
}

auto peer_link::tick(time_point now) -> void
{
    this->collect_local_prefixes();
    for (auto item = this->peers.begin(); item != this->peers.end();)
    {
        auto& [address, other] = *item;
        if (now - std::max(other.last_received_at, other.last_seen_at) > forget_timeout)
        {
            item = this->peers.erase(item);
            continue;
        }
        if (now >= other.next_beacon_at)
        {
            other.next_beacon_at = now + (this->is_alive(other, now) ? this->beacon_interval()
                                                                     : silent_beacon_interval);
            this->send_beacon(address, other);
        }
        if (other.logged_alive && !this->is_alive(other, now))
        {
            this->on_peer_silent(other);
        }
        ++item;
    }
    this->sum_loads();
    this->mailbox.set_silent_zones(this->find_silent_zones(now));
    this->fetch_missing_records(now);
}

auto peer_link::send_beacon(const address_v4& to, peer& other) -> void
{
    const auto now = boot_clock_now();
    host_beacon beacon;
    if (now >= other.next_identity_at || !this->is_alive(other, now))
    {
        other.next_identity_at = now + identity_interval;
        beacon.identity = {this->settings.host, this->settings.zone.value()};
    }
    beacon.incarnation = this->settings.incarnation;
    beacon.ends = {this->state.mirror_of(record_stream::operators).end(),
                   this->state.mirror_of(record_stream::upstreams).end()};
    beacon.change_ends = {this->state.change_end_of(record_stream::operators),
                          this->state.change_end_of(record_stream::upstreams)};
    beacon.registry_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->registry_read_at);
    beacon.loads = this->mailbox.get_local_loads();
    const auto oldest = this->cached_prefixes_end - this->cached_prefixes.size();
    other.next_cached_prefix =
        std::clamp(other.next_cached_prefix, oldest, this->cached_prefixes_end);
    while (other.next_cached_prefix < this->cached_prefixes_end &&
           beacon.cached_prefixes.size() < max_prefixes_per_beacon)
    {
        beacon.cached_prefixes.push_back(this->cached_prefixes[other.next_cached_prefix - oldest]);
        ++other.next_cached_prefix;
    }
    const auto bytes = encode_beacon(beacon);
    this->bytes_sent += bytes.size() + packet_header_bytes;
    error_code ignored; // a failed send is equivalent to a lost datagram
    this->socket.send_to(boost::asio::buffer(bytes), {to, this->settings.port}, 0, ignored);
}

auto peer_link::on_peer_silent(peer& other) -> void
{
    this->log.write(event_code::member_changed, {{"peer", other.host}, {"state", "silent"}});
    other.logged_alive = false;
    other.loads.clear();
    this->loads_changed = true;
}

auto peer_link::sum_loads() -> void
{
    if (!std::exchange(this->loads_changed, false))
    {
        return;
    }
    std::map<routing::upstream_key, traffic::upstream_load> sums;
    for (const auto& [address, other] : this->peers)
    {
        for (const auto& load : other.loads)
        {
            auto& sum = sums[load.upstream];
            sum.upstream = load.upstream;
            sum.in_flight += load.in_flight;
            sum.ejected = sum.ejected || load.ejected;
            sum.may_have_restarted = sum.may_have_restarted || load.may_have_restarted;
        }
    }
    std::vector<traffic::upstream_load> loads;
    loads.reserve(sums.size());
    for (const auto& [upstream, sum] : sums)
    {
        loads.push_back(sum);
    }
    this->mailbox.set_remote_loads(std::move(loads));
}

auto peer_link::find_silent_zones(time_point now) const -> std::set<zone_name>
{
    std::set<zone_name> silent;
    std::set<zone_name> active;
    for (const auto& [address, other] : this->peers)
    {
        if (other.host.empty() || other.zone == this->settings.zone)
        {
            continue;
        }
        const auto is_silent =
            now - other.last_received_at > this->beacon_interval() * max_missed_beacons;
        (is_silent ? silent : active).insert(other.zone);
    }
    for (const auto& zone : active)
    {
        silent.erase(zone);
    }
    return silent;
}

auto peer_link::fetch_missing_records(time_point now) -> void
{
    // Starts at the next higher address, so that hosts spread their fetches over different peers.
    const auto next_higher = this->peers.upper_bound(this->settings.address);
    for (auto item = next_higher; item != this->peers.end(); ++item)
    {
        this->fetch_if_behind(item->first, item->second, now);
    }
    for (auto item = this->peers.begin(); item != next_higher; ++item)
    {
        this->fetch_if_behind(item->first, item->second, now);
    }
}

auto peer_link::fetch_if_behind(const address_v4& address, peer& other, time_point now) -> void
{
    for (std::size_t stream = 0; stream < platform_delivery_delay.size(); ++stream)
    {
        const auto& mirror = this->state.mirror_of(static_cast<record_stream>(stream));
        const auto ahead = this->is_alive(other, now) && other.ends[stream] > mirror.end() &&
                           (other.change_ends[stream] > mirror.end() || !mirror.is_complete());
        auto& since = other.ahead_since[stream];
        since = !ahead ? time_point{} : since == time_point{} ? now : since;
        const auto is_late =
            ahead &&
            (now - since >= this->platform_delivery_delay_of(stream, now) || !mirror.is_complete());
        if (is_late && !this->fetch)
        {
            this->fetch_from(address);
            since = now;
        }
    }
}

auto peer_link::is_reader(time_point now) const -> bool
{
    std::size_t readers_before = 0;
    for (const auto& [address, other] : this->peers)
    {
        const auto is_current =
            this->is_alive(other, now) && now - other.registry_read_at < max_registry_read_age;
        readers_before += is_current && address < this->settings.address ? 1 : 0;
    }
    return readers_before < registry_reader_count;
}

auto peer_link::platform_delivery_delay_of(std::size_t stream, time_point now) const -> duration
{
    const auto is_registry = stream == static_cast<std::size_t>(record_stream::upstreams);
    return is_registry && !this->is_reader(now) ? 0ns : platform_delivery_delay[stream];
}

auto peer_link::fetch_from(const address_v4& address) -> void
{
    this->fetch = std::make_shared<batch_fetch>(*this, address);
    this->fetch->start();
}

auto peer_link::on_batch(const std::string& body) -> void
{
    const auto batch = decode_batch(body);
    if (!batch)
    {
        this->log.write(event_code::peer_message_rejected, {{"reason", batch.failure_reason()}});
        return;
    }
    const auto now = boot_clock_now();
    for (std::size_t stream = 0; stream < batch->ends.size(); ++stream)
    {
        this->state.on_changes(static_cast<record_stream>(stream), batch->changes[stream],
                               batch->ends[stream], now);
    }
    this->log.write(event_code::peer_records_taken,
                    {{"operators", batch->changes[0].records.size()},
                     {"upstreams", batch->changes[1].records.size()}});
    this->on_records_applied();
}

auto peer_link::serve_records(const http::request_head& head) const -> traffic::status_response
{
    const std::string_view target = head.target;
    if (head.method != "GET" || target.substr(0, fetch_path.size()) != fetch_path)
    {
        return {404, "no such page\n"};
    }
    const auto& operators = this->state.mirror_of(record_stream::operators);
    const auto& upstreams = this->state.mirror_of(record_stream::upstreams);
    record_batch batch;
    batch.ends = {operators.end(), upstreams.end()};
    batch.changes = {
        operators.changes_since(record_position(parse_number_after(target, "operators="))),
        upstreams.changes_since(record_position(parse_number_after(target, "upstreams=")))};
    return {200, encode_batch(batch), "application/octet-stream"};
}

auto peer_link::hosts_at(time_point now) const -> routing::host_group
{
    routing::host_group hosts;
    hosts.own = routing::host_key(this->settings.address.to_uint());
    hosts.is_settled = now - this->started_at >= settling_time;
    bool any_identified = false;
    for (const auto& [address, other] : this->peers)
    {
        const auto last = std::max(other.last_received_at, other.last_seen_at);
        any_identified = any_identified || !other.host.empty();
        if (now - last < share_retention)
        {
            hosts.others.push_back(routing::host_key(address.to_uint()));
        }
    }
    const auto count = hosts.others.size() + 1;
    hosts.count = any_identified ? count : std::max(count, min_hosts_without_peers);
    return hosts;
}

} // namespace poplardrift::fleet
