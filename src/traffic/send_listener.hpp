#pragma once

#include "routing/routing_configuration.hpp"
#include "routing/upstream_key.hpp"
#include "routing/upstream_speed.hpp"
#include "routing/upstream_state.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace poplardrift::traffic
{

/// How a send to an upstream has ended.
enum class send_result : std::uint8_t
{
    succeeded,     ///< a complete success response
    rejected,      ///< a complete failure response that concerns the request itself (4xx)
    failed,        ///< any other complete failure response of the upstream
    broken,        ///< the response was malformed or its connection ended early
    silent,        ///< given up by this host: no progress, or the deadline passed
    declined,      ///< the upstream has not run the request
    not_connected, ///< no connection could be established
    cancelled,     ///< the caller left, or the request was refused for another reason
};

/// One send to an upstream, from its placement to its end. Valid during the call only.
struct finished_send
{
    std::string_view service;
    const routing::route_rules& route;
    const routing::workspace_rules* workspace = nullptr; ///< null if none is known
    routing::upstream_key upstream = 0;
    std::string_view upstream_version; ///< of its software, as in its registry entry
    routing::upstream_state& state;
    send_result result = send_result::cancelled;
    bool is_repeat = false;           ///< the request had been sent before
    bool was_warm = false;            ///< the upstream did not count as cold when the send began
    int in_flight = 0;                ///< at the upstream when it was chosen, from all hosts
    std::uint32_t prefill_tokens = 0; ///< prompt tokens that the upstream was not known to cache
    std::uint64_t events = 0;         ///< of a stream
    routing::placement_estimate estimate; ///< by which it was placed
    time_point sent_at{};
    time_point ended_at{};
    /// Since sent_at: until the first event of a stream, or the head of a plain response.
    std::optional<duration> first_output;
    duration longest_event_gap{}; ///< between events of a stream
};

/// Receives every send of this host when it ends. Traffic thread; must not start or end sends.
class send_listener
{
public:
    send_listener() = default;
    send_listener(const send_listener&) = delete;
    auto operator=(const send_listener&) -> send_listener& = delete;
    virtual ~send_listener() = default;

    virtual auto on_send_finished(const finished_send& send) -> void = 0;
};

} // namespace poplardrift::traffic
