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

/// Where a host is reached. Comes from settings and from the platform's host list.
struct host_address
{
    std::string name;
    std::string zone;
    std::string address;         ///< IP number
    std::uint16_t peer_port = 0; ///< messages between hosts
    std::uint16_t http_port = 0; ///< callers and forwarded requests

    friend auto operator==(const host_address&, const host_address&) -> bool = default;
};

/// What this host believes of another one.
enum class member_status : std::uint8_t
{
    alive,
    suspect, ///< listed but silent: perhaps dead, perhaps cut off
    leaving, ///< planned stop: takes no new work
    absent,  ///< neither listed nor heard
};

/// One host of the fleet.
struct member
{
    host_address where;
    member_status status = member_status::absent;
    incarnation_id incarnation;
    bool listed = false; ///< in the platform's host list as last read
    time_point last_heartbeat_at{};
    bool heartbeat_received = false;
    bool settled = false; ///< it says that it is up for long enough to own upstreams
    std::optional<time_point>
        disconnected_at; ///< when the connection to it ended and was not made again
};

/// Settings of membership.
struct membership_settings
{
    duration suspicion_timeout = std::chrono::seconds(2); ///< silence until a host is suspect
    duration disconnect_timeout =
        std::chrono::milliseconds(300);              ///< the same once its connection broke
    duration flap_window = std::chrono::seconds(30); ///< over which returns are counted
    std::int64_t flap_limit = 3; ///< returns within the window before damping starts
    duration damping_time = std::chrono::seconds(10); ///< a flapping host stays suspect that long
};

/// Told when a member's status changes. Called on the control thread, inside the change.
class membership_listener
{
public:
    virtual ~membership_listener() = default;
    virtual auto on_member_changed(const member& changed, member_status previous) -> void = 0;
};

/// Joins the platform's lagging host list with direct heartbeats. Control thread only.
class membership final
{
public:
    membership(membership_settings settings, host_address self, incarnation_id incarnation);

    auto set_listener(membership_listener* target) -> void { this->listener = target; }

    /// Peers that settings name, for starts while the platform is down.
    auto add_seeds(const std::vector<host_address>& seeds) -> void;
    /// The host list as read from the platform; `leaving` names hosts marked as leaving.
    auto on_host_list(const std::vector<host_address>& live,
                      const std::vector<std::string>& leaving, time_point now) -> void;
    /// A message from a host. False when it comes from a former incarnation.
    auto on_heartbeat(host_id from, incarnation_id incarnation, bool leaving, time_point now)
        -> bool;
    /// The connection to a host ended, or stands again.
    auto on_connection(host_id to, bool connected, time_point now) -> void;
    /// A host, this one among them, is up for long enough to own upstreams, or is new.
    auto set_settled(host_id host, bool settled) -> void;
    /// Lets silence turn into suspicion.
    auto on_tick(time_point now) -> void;

    [[nodiscard]] auto self() const -> host_id { return this->self_id; }
    [[nodiscard]] auto find(host_id id) const -> const member*;
    /// All known hosts, this one among them, in id order.
    [[nodiscard]] auto members() const -> const std::map<host_id, member>& { return this->known; }
    /// Changes whenever any status or the set of hosts changes.
    [[nodiscard]] auto revision() const noexcept -> std::uint64_t { return this->revision_count; }

    /// Host that grants the slots of an upstream in `zone`: by rendezvous hashing over the alive
    /// hosts of that zone, so that a zone which is cut off keeps its own. Only when the zone has
    /// none, over all alive hosts. Hosts that have just started come last: they would grant
    /// nothing.
    [[nodiscard]] auto owner_of(upstream_id upstream, const std::string& zone) const
        -> std::optional<host_id>;
    /// True once the host list has been read or settings have named other hosts: before that, this
    /// host cannot know who else may grant the same slots.
    [[nodiscard]] auto is_fleet_known() const noexcept -> bool { return this->fleet_known; }
    /// True when every host of the zone is absent from the host list, not merely silent.
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
