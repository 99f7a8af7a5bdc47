#pragma once

#include "poplardrift/base/ids.hpp"
#include "routing/upstream_key.hpp"

#include <cstdint>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace poplardrift::traffic
{

/// What one host says of one upstream.
struct upstream_load
{
    routing::upstream_key upstream = 0;
    std::uint32_t in_flight = 0;
    bool ejected = false;
};

/// An upstream has read a shared part of a prompt, with all that comes before it.
struct prompt_sight
{
    routing::upstream_key upstream = 0;
    std::uint64_t chain_hash = 0;
    std::uint32_t tokens = 0; ///< of this part
};

/// Where the control thread and the traffic thread leave each other what hosts tell of upstreams.
/// Each call holds a lock for the time of a copy.
class load_board final
{
public:
    /// Traffic thread: this host's requests.
    auto set_own(std::vector<upstream_load> loads) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->own = std::move(loads);
    }
    /// Control thread.
    [[nodiscard]] auto get_own() const -> std::vector<upstream_load>
    {
        const std::lock_guard lock(this->mutex);
        return this->own;
    }
    /// Control thread: the sum over all other hosts.
    auto set_others(std::vector<upstream_load> loads) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->others = std::move(loads);
        ++this->others_version;
    }
    /// Traffic thread. False when nothing has changed since `version`.
    [[nodiscard]] auto get_others(std::uint64_t& version, std::vector<upstream_load>& into) const
        -> bool
    {
        const std::lock_guard lock(this->mutex);
        if (version == this->others_version)
        {
            return false;
        }
        version = this->others_version;
        into = this->others;
        return true;
    }

    /// Control thread: zones from which no host is heard.
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
    /// Traffic thread: what this host's requests have shown.
    auto add_own_sight(const prompt_sight& sight) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->own_sights.push_back(sight);
    }
    /// Control thread: takes what came since the last call.
    [[nodiscard]] auto take_own_sights() -> std::vector<prompt_sight>
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->own_sights, {});
    }
    /// Control thread: what another host has seen.
    auto add_sights_elsewhere(const std::vector<prompt_sight>& sights) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->sights_elsewhere.insert(this->sights_elsewhere.end(), sights.begin(), sights.end());
    }
    /// Traffic thread: takes what came since the last call.
    [[nodiscard]] auto take_sights_elsewhere() -> std::vector<prompt_sight>
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->sights_elsewhere, {});
    }

private:
    mutable std::mutex mutex;
    std::vector<upstream_load> own;
    std::vector<upstream_load> others;
    std::uint64_t others_version = 0;
    std::set<zone_name> silent_zones;
    std::vector<prompt_sight> own_sights;
    std::vector<prompt_sight> sights_elsewhere;
};

} // namespace poplardrift::traffic
