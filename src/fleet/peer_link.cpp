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

/// Connections of other hosts that fetch records. Each is closed after one response, and only the
/// hosts of one cell fetch at one host.
constexpr std::size_t max_fetch_connections = 100;
constexpr duration silent_beacon_interval = 1s; ///< to peers that are not alive
/// Interval at which the identity is repeated, for peers that missed it.
constexpr duration identity_interval = 1s;
constexpr std::size_t packet_header_bytes = 28; ///< IPv4 and UDP
/// A silent peer may be partitioned and still send to upstreams; it keeps its share of the capacity
/// that is divided among the hosts for this long.
constexpr duration min_share_retention = 45s;
constexpr duration forget_timeout = 300s;
/// Time within which all hosts that can reach a new one count it.
constexpr duration settling_time = 3s;
/// Capacity is divided among at least this many hosts while no peer has been identified.
constexpr std::size_t min_hosts_without_peers = 8;
/// Most cached prefixes in one message. Those of a lost message are not sent again: they only
/// improve cache reuse.
constexpr std::size_t max_prefixes_per_beacon = 16;
/// Hosts that poll the registry frequently; the others receive its records from them. Two, so that
/// the loss of one causes no delay.
constexpr std::size_t registry_reader_count = 2;
/// Allowance, in addition to its read and beacon intervals, for the age of a reader's last read.
constexpr duration registry_read_allowance = 300ms;

} // namespace

peer_link::peer_link(boost::asio::io_context& io, peer_settings settings, fleet_state& state,
                     traffic::load_mailbox& mailbox, decision_log& log,
                     std::function<void()> on_records_applied)
    : io(io), settings(std::move(settings)), state(state), mailbox(mailbox), log(log),
      on_records_applied(std::move(on_records_applied)), socket(io),
      fetch_sessions(max_fetch_connections), limits(log,
                                                    [this](const char* limit)
                                                    {
                                                        if (this->count_limit)
                                                        {
                                                            this->count_limit(limit);
                                                        }
                                                    })
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
            const auto now = boot_clock_now();
            const auto closed = this->fetch_sessions.accept(
                std::move(accepted),
                [this](const http::request_head& head) { return this->serve_records(head); }, now);
            if (closed)
            {
                this->limits.report("peer_connections", *closed, 0, now);
            }
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
    const auto address = this->sender.address().to_v4();
    if (address == this->settings.address)
    {
        return;
    }
    auto decoded = decode_datagram({this->datagram.data(), size}, now);
    if (!decoded)
    {
        const auto known = this->peers.find(address);
        if (known != this->peers.end())
        {
            // A host with another version of the program still shares the limits.
            known->second.last_seen_at = now;
        }
        this->log.write(event_code::peer_message_rejected,
                        {{"from", address.to_string()}, {"reason", decoded.failure_reason()}});
        return;
    }
    struct visitor
    {
        peer_link& self;
        const address_v4& from;
        time_point now;
        auto operator()(host_beacon& it) -> void { self.on_beacon(from, std::move(it), now); }
        auto operator()(zone_summary& it) -> void { self.on_summary(from, std::move(it), now); }
        auto operator()(evidence_report& it) -> void { self.on_evidence(from, std::move(it)); }
        auto operator()(rollout_message& it) -> void { self.on_rollout(from, std::move(it)); }
    };
    std::visit(visitor{*this, address, now}, *decoded);
}

auto peer_link::on_beacon(const address_v4& from, host_beacon beacon, time_point now) -> void
{
    auto& other = this->peers[from];
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
    other.figures = std::move(beacon.figures);
    this->mailbox.add_remote_prefixes(beacon.cached_prefixes);
    for (const auto& prefix : beacon.cached_prefixes)
    {
        this->prefixes_of_cell.add(prefix, now);
    }
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
        other.next_evidence_at = {};
    }
    other.host = beacon.identity->host;
    other.zone = zone_name(beacon.identity->zone);
    other.incarnation = beacon.incarnation;
}

auto peer_link::is_alive(const peer& other, time_point now) const -> bool
{
    return !other.host.empty() &&
           now - other.last_received_at < this->plan.alive_timeout(this->is_in_own_zone(other));
}

auto peer_link::collect_local_prefixes(time_point now) -> void
{
    for (const auto& prefix : this->mailbox.take_local_prefixes())
    {
        this->prefixes_of_host.add(prefix, now);
        this->prefixes_of_cell.add(prefix, now);
    }
}

auto peer_link::update_plan() -> void
{
    const auto in_own_zone =
        std::count_if(this->peers.begin(), this->peers.end(),
                      [&](const auto& item) { return this->is_in_own_zone(item.second); });
    const auto cell_peers = static_cast<std::size_t>(in_own_zone);
    this->plan = exchange_plan(cell_peers, this->peers.size() - cell_peers);
}

auto peer_link::tick(time_point now) -> void
{
    this->fetch_sessions.close_inactive(now);
    this->update_plan();
    this->collect_local_prefixes(now);
    this->send_new_evidence(now);
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
            const auto interval = this->plan.beacon_interval(this->is_in_own_zone(other));
            other.next_beacon_at =
                now + (this->is_alive(other, now) ? interval : silent_beacon_interval);
            this->send_beacon(address, other);
        }
        if (other.logged_alive && !this->is_alive(other, now))
        {
            this->on_peer_silent(other);
        }
        ++item;
    }
    this->send_rollouts(now);
    this->send_summaries(now);
    this->sum_loads(now);
    this->sum_figures(now);
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
    if (this->is_in_cell(other))
    {
        beacon.loads = this->mailbox.get_local_loads();
        beacon.figures = this->mailbox.get_local_figures();
        beacon.cached_prefixes =
            this->prefixes_of_host.read(other.next_cached_prefix, max_prefixes_per_beacon);
    }
    this->send(encode_beacon(beacon), to);
    if (this->evidence.recent > 0 || now >= other.next_evidence_at)
    {
        this->send_evidence(to, other, now);
    }
}

auto peer_link::send(const std::string& bytes, const address_v4& to) -> void
{
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
        const auto is_silent = now - other.last_received_at > this->plan.summary_timeout();
        (is_silent ? silent : active).insert(other.zone);
    }
    for (const auto& zone : active)
    {
        silent.erase(zone);
    }
    return silent;
}

auto peer_link::is_reader(time_point now) const -> bool
{
    const auto max_read_age = this->settings.registry_interval +
                              2 * this->plan.beacon_interval(true) + registry_read_allowance;
    std::size_t readers_before = 0;
    for (const auto& [address, other] : this->peers)
    {
        const auto is_current = this->is_in_cell(other) && this->is_alive(other, now) &&
                                now - other.registry_read_at < max_read_age;
        readers_before += is_current && address < this->settings.address ? 1 : 0;
    }
    return readers_before < registry_reader_count;
}

auto peer_link::hosts_at(time_point now) const -> routing::host_group
{
    routing::host_group hosts;
    hosts.own = routing::host_key(this->settings.address.to_uint());
    hosts.is_settled = now - this->started_at >= settling_time;
    bool any_identified = false;
    const auto share_retention = std::max(min_share_retention, this->plan.alive_timeout(false));
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
