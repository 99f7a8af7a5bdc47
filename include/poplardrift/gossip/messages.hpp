#pragma once

#include "poplardrift/base/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace poplardrift
{

/// State of an upstream as its owner publishes it.
enum class upstream_state : std::uint8_t
{
    cold,    ///< in cold start, or nothing is known of it
    warm,    ///< takes its full share
    ejected, ///< takes nothing for a while
    leaving, ///< finishes what it has and takes nothing new
};

/// A holder's use of one upstream's slots, sent to the upstream's owner.
struct slot_report
{
    upstream_id upstream;
    std::uint32_t in_use = 0; ///< requests in flight from this host
    std::uint32_t wanted = 0; ///< further slots that waiting requests ask for
    std::uint32_t held = 0;   ///< slots of an unexpired grant
};

/// An owner's answer: how many requests the holder may have in flight at the upstream.
struct slot_grant
{
    upstream_id upstream;
    std::uint32_t slots = 0;
    message_sequence
        report_sequence; ///< the report that this answers; the lease runs from its sending
};

/// An owner's word on the state of its upstream.
struct upstream_status
{
    upstream_id upstream;
    upstream_state state = upstream_state::cold;
    std::uint32_t limit = 0;       ///< most requests in flight from all hosts, by warm-up
    std::uint32_t free_slots = 0;  ///< of which nobody has been promised
    std::uint32_t incarnation = 0; ///< of the upstream's process, from its own report

    friend auto operator==(const upstream_status&, const upstream_status&) -> bool = default;
};

/// A host's sign that an upstream has turned cold or fails.
struct upstream_fault_report
{
    upstream_id upstream;
    upstream_state suspected = upstream_state::cold;
    std::uint32_t count = 0; ///< grows with each sign of this host; a repeat is not a new sign
};

/// A host's requests in flight in one pool.
struct pool_load
{
    pool_id pool;
    std::uint32_t warm = 0; ///< at warm upstreams
    std::uint32_t all = 0;  ///< at all upstreams
};

/// A conversation that last ran at another upstream than its first choice.
struct placement_exception
{
    conversation_id conversation;
    upstream_id upstream;
};

/// Everything that one host tells another at one moment. Serves as heartbeat.
struct peer_message
{
    host_id sender;
    incarnation_id incarnation;
    message_sequence sequence;     ///< of this message on its way from sender to receiver
    message_sequence acknowledged; ///< highest sequence that the sender has from the receiver
    incarnation_id acknowledged_incarnation; ///< whose sequence that was
    log_offset configuration;                ///< offset up to which the sender has folded
    std::uint32_t configuration_digest = 0;  ///< tells whether equal offsets mean equal states
    bool leaving = false;
    bool settled = false;             ///< up for long enough to know the fleet and to own upstreams
    bool wants_configuration = false; ///< cannot read the log and asks for what it lacks
    std::vector<slot_report> reports;
    std::vector<slot_grant> grants;
    std::vector<upstream_status> statuses;
    std::vector<upstream_fault_report> fault_reports;
    std::vector<pool_load> loads;
    std::vector<placement_exception> exceptions;
    std::string configuration_update; ///< snapshot as JSON text; empty: none
};

} // namespace poplardrift
