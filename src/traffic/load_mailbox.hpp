#pragma once

#include "overload/capacity_estimate.hpp"
#include "poplardrift/base/ids.hpp"
#include "quarantine/part_evidence.hpp"
#include "routing/upstream_key.hpp"
#include "traffic/rollout_mailbox.hpp"

#include <cstdint>
#include <iterator>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace poplardrift::traffic
{

/// Load that one host causes at an upstream, or the sum over several hosts.
struct upstream_load
{
    routing::upstream_key upstream = 0;
    std::uint32_t in_flight = 0;
    bool ejected = false;
    bool may_have_restarted = false; ///< connections to it have failed; counts as cold
};

/// Reports that an upstream has cached the prefix of a prompt up to the end of a shared part.
struct cached_prefix
{
    routing::upstream_key upstream = 0;
    std::uint64_t chain_hash = 0;
    std::uint32_t tokens = 0; ///< of the last part of the prefix
};

/// Passes upstream loads, silent zones, cached prefixes and evidence on prompt parts between the
/// control thread, which exchanges them with other hosts, and the traffic thread. Each call holds a
/// lock for the duration of a copy.
class load_mailbox final
{
public:
    /// Traffic thread: stores the loads caused by this host's requests.
    auto set_local_loads(std::vector<upstream_load> loads) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->local_loads = std::move(loads);
    }
    /// Control thread.
    [[nodiscard]] auto get_local_loads() const -> std::vector<upstream_load>
    {
        const std::lock_guard lock(this->mutex);
        return this->local_loads;
    }
    /// Control thread: stores the sums over all other hosts.
    auto set_remote_loads(std::vector<upstream_load> loads) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->remote_loads = std::move(loads);
        ++this->remote_loads_version;
    }
    /// Traffic thread: copies the loads into `into` and updates `version`. False when nothing has
    /// changed since `version`.
    [[nodiscard]] auto get_remote_loads(std::uint64_t& version,
                                        std::vector<upstream_load>& into) const -> bool
    {
        const std::lock_guard lock(this->mutex);
        if (version == this->remote_loads_version)
        {
            return false;
        }
        version = this->remote_loads_version;
        into = this->remote_loads;
        return true;
    }

    /// Control thread: stores the zones from which no host sends heartbeats.
    auto set_silent_zones(std::set<zone_name> zones) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->silent_zones = std::move(zones);
    }
    /// Traffic thread.
    [[nodiscard]] auto get_silent_zones() const -> std::set<zone_name>
    {
        const std::lock_guard lock(this->mutex);
        return this->silent_zones;
    }
    /// Traffic thread: adds a prefix that one of this host's requests has caused to be cached.
    auto add_local_prefix(const cached_prefix& prefix) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->local_prefixes.push_back(prefix);
    }
    /// Control thread: removes and returns the prefixes added since the last call.
    [[nodiscard]] auto take_local_prefixes() -> std::vector<cached_prefix>
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->local_prefixes, {});
    }
    /// Control thread: adds prefixes reported by another host.
    auto add_remote_prefixes(const std::vector<cached_prefix>& prefixes) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->remote_prefixes.insert(this->remote_prefixes.end(), prefixes.begin(), prefixes.end());
    }
    /// Traffic thread: removes and returns the prefixes added since the last call.
    [[nodiscard]] auto take_remote_prefixes() -> std::vector<cached_prefix>
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->remote_prefixes, {});
    }

    /// Traffic thread: stores this host's figures of the services that it limits admission to.
    auto set_local_figures(std::vector<overload::service_figures> figures) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->local_figures = std::move(figures);
    }
    /// Control thread.
    [[nodiscard]] auto get_local_figures() const -> std::vector<overload::service_figures>
    {
        const std::lock_guard lock(this->mutex);
        return this->local_figures;
    }
    /// Control thread: stores the sums over all other hosts.
    auto set_remote_figures(overload::remote_figures figures) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->remote_figures = std::move(figures);
    }
    /// Traffic thread.
    [[nodiscard]] auto get_remote_figures() const -> overload::remote_figures
    {
        const std::lock_guard lock(this->mutex);
        return this->remote_figures;
    }

    /// Traffic thread: stores what this host knows of prompt parts that may crash engines.
    auto set_local_evidence(quarantine::shared_evidence evidence) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->local_evidence = std::move(evidence);
    }
    /// Control thread.
    [[nodiscard]] auto get_local_evidence() const -> quarantine::shared_evidence
    {
        const std::lock_guard lock(this->mutex);
        return this->local_evidence;
    }
    /// Control thread: adds evidence of another host or of the platform's store.
    auto add_remote_evidence(std::vector<quarantine::part_evidence> evidence) -> void
    {
        const std::lock_guard lock(this->mutex);
        std::move(evidence.begin(), evidence.end(), std::back_inserter(this->remote_evidence));
    }
    /// Traffic thread: removes and returns the evidence added since the last call.
    [[nodiscard]] auto take_remote_evidence() -> std::vector<quarantine::part_evidence>
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->remote_evidence, {});
    }
    /// Traffic thread: adds the evidence of a part that this host has quarantined or released.
    auto add_decided_part(quarantine::part_evidence evidence) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->decided_parts.push_back(std::move(evidence));
    }
    /// Control thread: removes and returns the parts added since the last call.
    [[nodiscard]] auto take_decided_parts() -> std::vector<quarantine::part_evidence>
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->decided_parts, {});
    }

    /// What concerns roll-outs; has a lock of its own.
    [[nodiscard]] auto get_rollouts() -> rollout_mailbox& { return this->rollouts; }

private:
    rollout_mailbox rollouts;
    mutable std::mutex mutex;
    std::vector<upstream_load> local_loads;
    std::vector<upstream_load> remote_loads;
    std::uint64_t remote_loads_version = 0;
    std::set<zone_name> silent_zones;
    std::vector<overload::service_figures> local_figures;
    overload::remote_figures remote_figures;
    std::vector<cached_prefix> local_prefixes;
    std::vector<cached_prefix> remote_prefixes;
    quarantine::shared_evidence local_evidence;
    std::vector<quarantine::part_evidence> remote_evidence;
    std::vector<quarantine::part_evidence> decided_parts;
};

} // namespace poplardrift::traffic
