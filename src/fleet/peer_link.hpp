#pragma once

#include "fleet/exchange_plan.hpp"
#include "fleet/fleet_state.hpp"
#include "fleet/peer_messages.hpp"
#include "fleet/prefix_queue.hpp"
#include "http/listener.hpp"
#include "http/upstream_connection.hpp"
#include "observability/decision_log.hpp"
#include "routing/host_group.hpp"
#include "traffic/limit_reporter.hpp"
#include "traffic/load_mailbox.hpp"
#include "traffic/status_session.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace poplardrift::fleet
{

/// Identity and network settings of this host towards its peers.
struct peer_settings
{
    std::string host;
    zone_name zone;
    std::uint32_t incarnation = 0; ///< differs for each start of the process
    boost::asio::ip::address_v4 address;
    std::uint16_t port = 0; ///< UDP (beacons) and TCP (record fetches); same on all hosts
    std::vector<boost::asio::ip::address_v4> seeds; ///< initial peers, contacted at start
    /// Time between two reads of the upstream registry by a host that reads it for others.
    duration registry_interval = std::chrono::milliseconds(400);
};

/// Exchanges state with the other hosts of the fleet, as exchange_plan describes. Sends peers a
/// periodic UDP beacon with this host's loads, stream positions and cached prefixes; sums the loads
/// that peers report; and fetches records over HTTP from a peer that is ahead when the platform
/// does not deliver them in time. Peers are discovered from received beacons; the initial addresses
/// come from the platform's directory and the settings. Control thread.
class peer_link final
{
public:
    peer_link(boost::asio::io_context& io, peer_settings settings, fleet_state& state,
              traffic::load_mailbox& mailbox, decision_log& log,
              std::function<void()> on_records_applied);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    auto operator=(const peer_link&) -> peer_link& = delete;

    /// Opens the UDP socket and the TCP listener; false when either fails.
    [[nodiscard]] auto open() -> bool;
    /// Adds peers that the platform's directory lists.
    auto add_known_hosts(const std::vector<boost::asio::ip::address_v4>& addresses, time_point now)
        -> void;
    /// Records that the platform answered this host's read of the upstream registry.
    auto on_registry_read(time_point now) -> void { this->registry_read_at = now; }
    /// Sends due beacons, expires peers, and starts a fetch from a peer that is ahead. Call about
    /// every 50 ms.
    auto tick(time_point now) -> void;
    /// Calls this when a caller of this host's port has met a limit.
    auto set_limit_counter(traffic::limit_reporter::counter counter) -> void
    {
        this->count_limit = std::move(counter);
    }
    /// True when this host should poll the registry frequently: fewer than the required number of
    /// live, up-to-date peers of its cell have a lower address.
    [[nodiscard]] auto is_reader(time_point now) const -> bool;
    /// See exchange_plan::safeguard_factor.
    [[nodiscard]] auto safeguard_factor() const -> double { return this->plan.safeguard_factor(); }
    /// Bytes of beacons sent since the last call, including IP and UDP headers.
    [[nodiscard]] auto take_bytes_sent() -> std::size_t
    {
        return std::exchange(this->bytes_sent, 0);
    }
    /// Hosts, including this one, that may still be sending requests to upstreams.
    [[nodiscard]] auto hosts_at(time_point now) const -> routing::host_group;

private:
    struct peer
    {
        std::string host; ///< empty until its identity has been received
        zone_name zone;
        std::uint32_t incarnation = 0;
        time_point last_seen_at{};     ///< discovery, or last beacon without a matching identity
        time_point last_received_at{}; ///< last beacon of the identified host
        time_point next_beacon_at{};
        time_point next_identity_at{};
        std::array<record_position, 2> ends;
        std::array<record_position, 2> change_ends;
        bool logged_alive = false;     ///< state that was last logged
        time_point registry_read_at{}; ///< last registry read, on the local clock
        /// Since when its copy of each stream is ahead of this host's, or the start of the last
        /// fetch from it; time_point{} if not ahead.
        std::array<time_point, 2> ahead_since{};
        std::vector<traffic::upstream_load> loads;
        std::vector<overload::service_figures> figures;
        std::uint64_t next_cached_prefix = 0; ///< position in prefixes_of_host
        time_point next_evidence_at{};        ///< for evidence that has not changed lately
        std::size_t next_evidence_part = 0;   ///< position in the evidence, which is sent in turn
    };
    /// The sum of another cell as last received, and what is sent to that cell.
    struct remote_cell
    {
        std::vector<traffic::upstream_load> loads;
        std::vector<overload::service_figures> figures;
        time_point received_at{};
        time_point next_summary_at{};
        std::uint64_t next_cached_prefix = 0; ///< position in prefixes_of_cell
        boost::asio::ip::address_v4 last_receiver;
    };
    /// What has been sent of this host's roll-outs.
    struct sent_rollouts
    {
        std::uint64_t phase_changes = 0;
        std::uint64_t bad_responses = 0;
        int repetitions_left = 0;
        time_point next_broadcast_at{};
        time_point bad_sent_at{};
        double credit = 0.0; ///< bytes that may be sent in turn
        time_point credited_at{};
        boost::asio::ip::address_v4 last_receiver;
        std::size_t next_route = 0;
    };
    class batch_fetch;

    auto receive() -> void;
    auto on_datagram(std::size_t size) -> void;
    auto on_beacon(const boost::asio::ip::address_v4& from, host_beacon beacon, time_point now)
        -> void;
    auto on_summary(const boost::asio::ip::address_v4& from, zone_summary summary, time_point now)
        -> void;
    auto on_evidence(const boost::asio::ip::address_v4& from, evidence_report report) -> void;
    auto on_identity(peer& other, const host_beacon& beacon, time_point now) -> void;
    auto send_beacon(const boost::asio::ip::address_v4& to, peer& other) -> void;
    /// Sends new evidence to the hosts of the cell at once, rather than with the next beacons.
    auto send_new_evidence(time_point now) -> void;
    auto send_evidence(const boost::asio::ip::address_v4& to, peer& other, time_point now) -> void;
    auto on_rollout(const boost::asio::ip::address_v4& from, rollout_message message) -> void;
    auto send_rollouts(time_point now) -> void;
    auto broadcast_rollouts(const traffic::local_rollouts& local, bool only_bad, time_point now)
        -> void;
    auto send_rollouts_in_turn(const traffic::local_rollouts& local, time_point now) -> void;
    auto send_rollout(const boost::asio::ip::address_v4& to, const rollout::rollout_report& report,
                      bool only_bad, time_point now) -> std::size_t;
    auto send_summaries(time_point now) -> void;
    auto send_summary(const zone_name& zone, remote_cell& cell, std::size_t position,
                      time_point now) -> void;
    auto relay(zone_summary summary, time_point now) -> void;
    auto send(const std::string& bytes, const boost::asio::ip::address_v4& to) -> void;
    auto update_plan() -> void;
    auto collect_local_prefixes(time_point now) -> void;
    auto sum_loads(time_point now) -> void;
    auto sum_figures(time_point now) -> void;
    /// Sum of the loads of the peers that `covers` accepts, and of this host if `with_own`.
    template <class Predicate>
    [[nodiscard]] auto sum_peer_loads(const Predicate& covers, bool with_own) const
        -> std::map<routing::upstream_key, traffic::upstream_load>;
    [[nodiscard]] auto find_receiver(const zone_name& zone, const remote_cell& cell,
                                     time_point now) const
        -> std::optional<boost::asio::ip::address_v4>;
    auto on_peer_silent(peer& other) -> void;
    auto fetch_missing_records(time_point now) -> void;
    auto fetch_if_behind(const boost::asio::ip::address_v4& address, peer& other, time_point now)
        -> void;
    auto fetch_from(const boost::asio::ip::address_v4& address) -> void;
    auto on_batch(const std::string& body) -> void;
    auto serve_records(const http::request_head& head) const -> traffic::status_response;
    /// Other zones whose known hosts are all silent: probably a network partition.
    [[nodiscard]] auto find_silent_zones(time_point now) const -> std::set<zone_name>;
    [[nodiscard]] auto is_alive(const peer& other, time_point now) const -> bool;
    /// Time to wait for the platform to deliver new records before fetching them from a peer.
    [[nodiscard]] auto platform_delivery_delay_of(std::size_t stream, time_point now) const
        -> duration;
    [[nodiscard]] auto is_in_own_zone(const peer& other) const -> bool
    {
        return other.host.empty() || other.zone == this->settings.zone;
    }
    /// True for peers with which this host exchanges its own loads.
    [[nodiscard]] auto is_in_cell(const peer& other) const -> bool
    {
        return !this->plan.uses_cells() || this->is_in_own_zone(other);
    }

    boost::asio::io_context& io;
    peer_settings settings;
    fleet_state& state;
    traffic::load_mailbox& mailbox;
    decision_log& log;
    std::function<void()> on_records_applied;
    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, 2048> datagram{};
    std::shared_ptr<http::listener> fetch_listener;
    traffic::status_session_group fetch_sessions;
    traffic::limit_reporter::counter count_limit;
    traffic::limit_reporter limits;
    std::map<boost::asio::ip::address_v4, peer> peers;
    std::shared_ptr<batch_fetch> fetch;
    std::map<zone_name, remote_cell> remote_cells;
    exchange_plan plan{0, 0};
    prefix_queue prefixes_of_host;        ///< cached through requests of this host
    prefix_queue prefixes_of_cell;        ///< cached through requests of any host of the cell
    quarantine::shared_evidence evidence; ///< of this host, as of the last tick
    sent_rollouts rollouts;
    time_point evidence_sent_at{};
    time_point sent_evidence_changed_at{}; ///< see shared_evidence
    time_point started_at{};
    time_point registry_read_at{};
    bool loads_changed = false;
    std::size_t bytes_sent = 0;
};

} // namespace poplardrift::fleet
