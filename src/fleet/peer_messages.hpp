#pragma once

#include "fleet/keyed_mirror.hpp"
#include "poplardrift/base/outcome.hpp"
#include "traffic/load_mailbox.hpp"

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift::fleet
{

/// Who a beacon's sender is.
struct host_identity
{
    std::string host;
    std::string zone;
};

/// What a host tells each other host several times a second, in one datagram.
struct host_beacon
{
    /// In some beacons only; the others belong to the host that last introduced itself from the
    /// same address with the same incarnation.
    std::optional<host_identity> identity;
    std::uint32_t incarnation = 0;              ///< differs between starts of the host
    std::array<record_position, 2> ends;        ///< up to where the host knows each stream
    std::array<record_position, 2> change_ends; ///< after the last record that meant anything new
    /// Since the platform last answered this host's read of the registry.
    std::chrono::milliseconds registry_age{};
    std::vector<traffic::upstream_load> loads;
    std::vector<traffic::cached_prefix> prefix_hints; ///< since the last beacon to the same host
};

/// Records that one host fetches from another.
struct record_batch
{
    std::array<record_position, 2> ends;
    std::array<mirror_changes, 2> changes;
};

[[nodiscard]] auto encode_beacon(const host_beacon& beacon) -> std::string;
[[nodiscard]] auto decode_beacon(std::string_view bytes) -> outcome<host_beacon>;
[[nodiscard]] auto encode_batch(const record_batch& batch) -> std::string;
[[nodiscard]] auto decode_batch(std::string_view bytes) -> outcome<record_batch>;

} // namespace poplardrift::fleet
