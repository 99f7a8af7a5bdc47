#pragma once

#include "routing/fleet_view.hpp"
#include "routing/prompt_cache_model.hpp"
#include "routing/sliding_counter.hpp"
#include "routing/upstream_health.hpp"
#include "routing/upstream_key.hpp"

#include <memory>

namespace poplardrift::routing
{

/// What this host has seen of one start of an upstream. Owned by the traffic thread.
struct upstream_state
{
    explicit upstream_state(std::uint64_t cache_tokens) : cache(cache_tokens) {}

    upstream_health health;
    prompt_cache_model cache;
    sliding_counter cold_sends{std::chrono::seconds(1)};
    int in_flight = 0;                        ///< requests of this host
    int in_flight_elsewhere = 0;              ///< requests of other hosts, as they last said
    std::uint64_t pending_prefill_tokens = 0; ///< of prompts sent that have produced nothing yet
    time_point last_byte_received_at{};       ///< any byte of an answer
    time_point answers_due_since{};    ///< oldest moment since which answers are due; see is_silent
    time_point suspected_cold_until{}; ///< it was unreachable and may have been restarted
    bool misaddressed = false;         ///< another upstream answers at its address

    /// True when requests are under way and nothing has come for `limit`.
    [[nodiscard]] auto is_silent(time_point now, duration limit) const -> bool
    {
        return this->in_flight > 0 &&
               now - std::max(this->last_byte_received_at, this->answers_due_since) > limit;
    }
};

/// An upstream in the traffic thread: the registry's entry joined with what was seen.
struct live_upstream
{
    known_upstream known;
    std::size_t service = 0;
    upstream_key key = 0;
    std::shared_ptr<upstream_state> state;
    bool zone_out = false;
    bool zone_silent = false; ///< no host there is heard; the zone may be cut off from this one
    bool zone_unreachable = false; ///< besides, a connection to an upstream there has failed
};

} // namespace poplardrift::routing
