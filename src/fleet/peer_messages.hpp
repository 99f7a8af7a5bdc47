#pragma once

#include "fleet/keyed_mirror.hpp"
#include "fleet/rollout_messages.hpp"
#include "poplardrift/base/outcome.hpp"
#include "quarantine/part_evidence.hpp"
#include "traffic/load_mailbox.hpp"

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplardrift::fleet
{

/// Name and zone of a beacon's sender.
struct host_identity
{
    std::string host;
    std::string zone;
};

/// State that a host sends to each peer several times a second, in one datagram.
struct host_beacon
{
    /// Present in some beacons only. A beacon without it belongs to the host that last sent its
    /// identity from the same address with the same incarnation.
    std::optional<host_identity> identity;
    std::uint32_t incarnation = 0;       ///< differs for each start of the process
    std::array<record_position, 2> ends; ///< position after the last record contained, by stream
    std::array<record_position, 2> change_ends; ///< after the last record that changed state
    /// Time since the platform last answered the sender's read of the registry.
    std::chrono::milliseconds registry_age{};
    std::vector<traffic::upstream_load> loads;
    std::vector<traffic::cached_prefix> cached_prefixes; ///< not yet sent to the receiver
    std::vector<overload::service_figures> figures;      ///< empty without overload control
};

/// Sum of the loads that the hosts of one availability zone cause, and prefixes that they have
/// caused to be cached. Sent to one host of another zone, which passes it on within its own.
struct zone_summary
{
    std::string zone; ///< of the hosts that the sum covers
    bool is_relayed = false;
    std::vector<traffic::upstream_load> loads;
    std::vector<traffic::cached_prefix> cached_prefixes;
    std::vector<overload::service_figures> figures; ///< sums, empty without overload control
};

/// What a host knows of prompt parts that may crash engines. Sent to each peer with the beacons,
/// while there is any.
struct evidence_report
{
    std::vector<quarantine::part_evidence> parts;
};

/// Records that a peer returns for a fetch, with its stream positions.
struct record_batch
{
    std::array<record_position, 2> ends;
    std::array<mirror_changes, 2> changes;
};

/// Encode as MessagePack; decoding fails with the reason for malformed bytes and other protocol
/// versions.
[[nodiscard]] auto encode_beacon(const host_beacon& beacon) -> std::string;
[[nodiscard]] auto decode_beacon(std::string_view bytes) -> outcome<host_beacon>;
[[nodiscard]] auto encode_summary(const zone_summary& summary) -> std::string;
/// Times are encoded as distances from `now`.
[[nodiscard]] auto encode_evidence(const evidence_report& report, time_point now) -> std::string;
using peer_datagram = std::variant<host_beacon, zone_summary, evidence_report, rollout_message>;
[[nodiscard]] auto decode_datagram(std::string_view bytes, time_point now)
    -> outcome<peer_datagram>;
[[nodiscard]] auto encode_batch(const record_batch& batch) -> std::string;
[[nodiscard]] auto decode_batch(std::string_view bytes) -> outcome<record_batch>;

} // namespace poplardrift::fleet
