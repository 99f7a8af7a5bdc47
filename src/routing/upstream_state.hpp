#pragma once

#include "routing/fleet_view.hpp"
#include "routing/prompt_cache_model.hpp"
#include "routing/sliding_counter.hpp"
#include "routing/upstream_health.hpp"
#include "routing/upstream_key.hpp"
#include "routing/upstream_notices.hpp"
#include "routing/upstream_speed.hpp"
#include "routing/version_filter.hpp"

#include <atomic>
#include <cstdint>
#include <memory>

namespace poplardrift::routing
{

/// Identifies one upstream_state for the life of the process. Its address doesn't: another state
/// may lie there later.
using upstream_state_id = strong_type<struct upstream_state_id_tag, std::uint64_t>;

/// State that this host has observed for one start of an upstream. Owned by the traffic thread.
struct upstream_state
{
    explicit upstream_state(std::uint64_t cache_tokens) : id(next_id()), cache(cache_tokens) {}

    upstream_state_id id;
    std::uint32_t instance = 0; ///< hash of the upstream's name and start number

    upstream_health health;
    upstream_notices notices;
    prompt_cache_model cache;
    upstream_speed speed;
    sliding_counter cold_sends{std::chrono::seconds(1)};
    int in_flight = 0;              ///< requests from this host
    int in_flight_elsewhere = 0;    ///< requests from other hosts, per their latest reports
    time_point loads_received_at{}; ///< when those reports were received
    std::uint64_t pending_prefill_tokens = 0; ///< of requests without any output yet
    time_point last_byte_received_at{};       ///< last byte of any response
    time_point responses_due_since{};  ///< start of the current wait for responses; see is_silent
    bool misaddressed = false;         ///< a different upstream answers at its address
    time_point restart_suspected_at{}; ///< last failure that a restart would explain
    time_point restart_suspected_until{}; ///< the upstream counts as cold before this time
    bool suspected_locally = false;       ///< this host has seen the failure itself

    [[nodiscard]] static auto next_id() -> upstream_state_id
    {
        static std::atomic<std::uint64_t> count{0};
        return upstream_state_id(++count);
    }

    /// A connection failed in a way that a restart would explain: it was refused or ended abruptly.
    /// The registry shows a restart only seconds later, so until `cold_start` has passed the
    /// upstream counts as cold.
    auto suspect_restart(time_point now, duration cold_start) -> void
    {
        this->restart_suspected_at = now;
        this->restart_suspected_until = now + cold_start;
    }
    /// A connection that was established at `established_at` has delivered bytes. One that is older
    /// than the suspected restart proves that the process has not ended.
    auto on_bytes_received(time_point now, time_point established_at) -> void
    {
        this->last_byte_received_at = now;
        // Bytes sent before the end of a process may be read a little later.
        constexpr duration delivery_allowance = std::chrono::milliseconds(100);
        if (established_at < this->restart_suspected_at &&
            now - this->restart_suspected_at > delivery_allowance)
        {
            this->restart_suspected_until = {};
            this->suspected_locally = false;
        }
    }
    [[nodiscard]] auto is_restart_suspected(time_point now) const -> bool
    {
        return now < this->restart_suspected_until;
    }

    /// True if requests are in flight and no byte has been received for longer than `limit`.
    [[nodiscard]] auto is_silent(time_point now, duration limit) const -> bool
    {
        return this->in_flight > 0 &&
               now - std::max(this->last_byte_received_at, this->responses_due_since) > limit;
    }
};

/// An upstream in the traffic thread: its registry entry and the state observed by this host.
struct live_upstream
{
    known_upstream known;
    std::size_t service = 0;
    upstream_key key = 0;
    std::shared_ptr<upstream_state> state;
    bool zone_out = false;
    /// No host of its zone sends heartbeats; the zone may be partitioned from this host.
    bool zone_silent = false;
    /// zone_silent, and a connection to an upstream of the zone has failed.
    bool zone_unreachable = false;
    version_standing standing = version_standing::known;

    /// True if the upstream leaves, by its entry or by its own responses.
    [[nodiscard]] auto is_leaving() const -> bool
    {
        return this->known.entry.leaving || this->state->notices.is_leaving();
    }
};

} // namespace poplardrift::routing
