#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplardrift
{

/// Network address of a host, from the settings or the platform's host list.
struct host_address
{
    std::string name;
    std::string zone;
    std::string address;         ///< IP address
    std::uint16_t peer_port = 0; ///< messages between hosts
    std::uint16_t http_port = 0; ///< callers and forwarded requests

    friend auto operator==(const host_address&, const host_address&) -> bool = default;
};

/// Status of a host as determined by this host.
enum class member_status : std::uint8_t
{
    alive,
    suspect, ///< listed but silent: failed or partitioned
    leaving, ///< planned stop: receives no new work
    absent,  ///< neither listed nor sending heartbeats
};

/// One host of the fleet.
struct member
{
    host_address where;
    member_status status = member_status::absent;
    incarnation_id incarnation;
    bool listed = false;            ///< in the last host list of the platform
    time_point last_heartbeat_at{}; ///< or the time at which an absent host was listed
    bool heartbeat_received = false;
    bool settled = false; ///< reports that it is up long enough to own upstreams
    std::optional<time_point> disconnected_at; ///< unset while connected
};

/// Settings of membership.
struct membership_settings
{
    /// Time without heartbeat until a host is suspect.
    duration suspicion_timeout = std::chrono::seconds(2);
    /// Time without heartbeat until a host whose connection ended is suspect.
    duration disconnect_timeout = std::chrono::milliseconds(300);
    duration flap_window = std::chrono::seconds(30); ///< in which recoveries are counted
    std::int64_t flap_limit = 3; ///< recoveries in the window before damping starts
    /// A flapping host stays suspect for this time after a recovery.
    duration damping_time = std::chrono::seconds(10);
};

/// Receives status changes of members. Called synchronously on the control thread.
class membership_listener
{
public:
    virtual ~membership_listener() = default;
    virtual auto on_member_changed(const member& changed, member_status previous) -> void = 0;
};

/// Failure detector: combines the platform's host list, which lags, with direct heartbeats. Control
/// thread only.
class membership final
{
public:
    membership(membership_settings settings, host_address self, incarnation_id incarnation);

    auto set_listener(membership_listener* target) -> void { this->listener = target; }

    /// Adds peers from the settings, for starts while the platform is down.
    auto add_seeds(const std::vector<host_address>& seeds) -> void;
    /// Applies the platform's host list; `leaving` names hosts marked as leaving.
    auto on_host_list(const std::vector<host_address>& live,
                      const std::vector<std::string>& leaving, time_point now) -> void;
    /// Records a message from a host. False when the host is unknown or this host, or the message
    /// is from a former incarnation.
    auto on_heartbeat(host_id from, incarnation_id incarnation, bool leaving, time_point now)
        -> bool;
    /// The connection to a host was established or ended.
    auto on_connection(host_id to, bool connected, time_point now) -> void;
    /// Records whether a host, possibly this one, is up long enough to own upstreams.
    auto set_settled(host_id host, bool settled) -> void;
    /// Marks hosts whose timeouts have passed as suspect or absent.
    auto on_tick(time_point now) -> void;

    [[nodiscard]] auto self() const -> host_id { return this->self_id; }
    [[nodiscard]] auto find(host_id id) const -> const member*;
    /// All known hosts including this one, ordered by id.
    [[nodiscard]] auto members() const -> const std::map<host_id, member>& { return this->known; }
    /// Incremented when the set of hosts or a host's status, address, incarnation or settled flag
    /// changes.
    [[nodiscard]] auto revision() const noexcept -> std::uint64_t { return this->revision_count; }

    /// Host that grants the slots of an upstream in `zone`, by rendezvous hashing over the alive
    /// hosts of that zone, so that a partitioned zone keeps its own upstreams. Uses all alive hosts
    /// when the zone has none. Recently started hosts rank last, because they grant nothing yet.
    [[nodiscard]] auto owner_of(upstream_id upstream, const std::string& zone) const
        -> std::optional<host_id>;
    /// True once the host list has been read or the settings have named peers. Before that, this
    /// host cannot tell which other hosts may grant the same slots.
    [[nodiscard]] auto is_fleet_known() const noexcept -> bool { return this->fleet_known; }
    /// True when no host of the zone is in the host list. Silent hosts that are listed count.
    [[nodiscard]] auto zone_has_no_listed_host(const std::string& zone) const -> bool;

private:
    auto find_or_add(const host_address& where) -> member&;
    auto set_status(member& item, member_status status) -> void;
    [[nodiscard]] auto is_damped(host_id id, time_point now) -> bool;

    membership_settings settings;
    host_id self_id;
    std::map<host_id, member> known;
    std::map<host_id, std::vector<time_point>> recoveries;
    membership_listener* listener = nullptr;
    std::uint64_t revision_count = 1;
    bool fleet_known = false;
};

} // namespace poplardrift
