#pragma once

#include "fleet/fleet_state.hpp"
#include "fleet/peer_messages.hpp"
#include "http/listener.hpp"
#include "http/upstream_connection.hpp"
#include "observability/decision_log.hpp"
#include "traffic/load_mailbox.hpp"
#include "traffic/status_session.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace poplardrift::fleet
{

/// Who this host is for the others.
struct peer_settings
{
    std::string host;
    zone_name zone;
    std::uint32_t incarnation = 0; ///< differs between starts of the host
    boost::asio::ip::address_v4 address;
    std::uint16_t port = 0;                         ///< the same on all hosts, UDP and TCP
    std::vector<boost::asio::ip::address_v4> seeds; ///< hosts to try when none is known
};

/// Talks to the other hosts: sends each a beacon with this host's load and how far it knows the
/// platform's streams, adds up what others say, and fetches records from a host that is ahead when
/// the platform does not deliver them. Hosts learn of each other from beacons; a few addresses to
/// begin with come from the platform's directory and the settings. Control thread.
class peer_link final
{
public:
    peer_link(boost::asio::io_context& io, peer_settings settings, fleet_state& state,
              traffic::load_mailbox& board, decision_log& log,
              std::function<void()> on_records_applied);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    auto operator=(const peer_link&) -> peer_link& = delete;

    [[nodiscard]] auto open() -> bool;
    /// Addresses of hosts that the platform's directory lists.
    auto add_known_hosts(const std::vector<boost::asio::ip::address_v4>& addresses, time_point now)
        -> void;
    /// The platform has answered this host's read of the registry.
    auto on_registry_read(time_point now) -> void { this->registry_read_at = now; }
    /// Sends what is due, and looks for peers that are ahead. Call about every 50 ms.
    auto tick(time_point now) -> void;
    /// True when this host is to read the platform's streams often: it is among the first by
    /// address of those that are alive, or too few of the others keep up with the registry.
    [[nodiscard]] auto is_reader(time_point now) const -> bool;
    /// Bytes of beacons since the last call, with the headers of their packets.
    [[nodiscard]] auto take_bytes_sent() -> std::size_t
    {
        return std::exchange(this->bytes_sent, 0);
    }
    /// Hosts that may be alive, this one included.
    [[nodiscard]] auto count_hosts(time_point now) const -> std::size_t;

private:
    struct peer
    {
        std::string host; ///< empty before it has introduced itself
        zone_name zone;
        std::uint32_t incarnation = 0;
        time_point last_seen_at{};
        time_point last_received_at{};
        time_point next_beacon_at{};
        time_point next_identity_at{};
        std::array<record_position, 2> ends;
        std::array<record_position, 2> change_ends;
        bool logged_alive = false;     ///< the log's last word of it
        time_point registry_read_at{}; ///< when the platform last answered it, by our clock
        std::array<time_point, 2> ahead_since{}; ///< time_point{}: not ahead
        std::vector<traffic::upstream_load> loads;
        std::uint64_t next_prefix_hint =
            0; ///< number of the first prefix_hint that it has not been told
    };
    class batch_fetch;

    auto receive() -> void;
    auto on_datagram(std::size_t size) -> void;
    auto on_identity(peer& other, const host_beacon& beacon, time_point now) -> void;
    auto send_beacon(const boost::asio::ip::address_v4& to, peer& other) -> void;
    auto collect_prefix_hints() -> void;
    auto sum_loads() -> void;
    auto on_peer_silent(peer& other) -> void;
    auto fetch_missing_records(time_point now) -> void;
    auto fetch_if_behind(const boost::asio::ip::address_v4& address, peer& other, time_point now)
        -> void;
    auto fetch_from(const boost::asio::ip::address_v4& address) -> void;
    auto on_batch(const std::string& body) -> void;
    auto serve_records(const http::request_head& head) const -> traffic::status_response;
    /// Zones whose hosts have been heard before and are all silent now: probably cut off.
    [[nodiscard]] auto find_silent_zones(time_point now) const -> std::set<zone_name>;
    [[nodiscard]] auto is_alive(const peer& other, time_point now) const -> bool;
    /// Time that the platform's own delivery of news to this host takes.
    [[nodiscard]] auto platform_delivery_delay_of(std::size_t stream, time_point now) const
        -> duration;
    [[nodiscard]] auto beacon_interval() const -> duration;

    boost::asio::io_context& io;
    peer_settings settings;
    fleet_state& state;
    traffic::load_mailbox& board;
    decision_log& log;
    std::function<void()> on_records_applied;
    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, 2048> datagram{};
    std::shared_ptr<http::listener> fetch_listener;
    std::map<boost::asio::ip::address_v4, peer> peers;
    std::shared_ptr<batch_fetch> fetch;
    std::deque<traffic::cached_prefix> prefix_hints; ///< the newest of this host
    std::uint64_t prefix_hints_end = 0;             ///< number of the prefix_hint after the newest
    time_point registry_read_at{};
    bool loads_changed = false;
    std::size_t bytes_sent = 0;
};

} // namespace poplardrift::fleet
