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
    cold,    ///< in cold start, or state unknown
    warm,    ///< receives its full share of requests
    ejected, ///< receives no requests until its ejection ends
    leaving, ///< completes its requests and receives no new ones
};

/// A host's use of the slots of one upstream, sent to the host that owns the upstream.
struct slot_report
{
    upstream_id upstream;
    std::uint32_t in_use = 0; ///< requests in flight from this host
    std::uint32_t wanted = 0; ///< further slots needed for queued requests
    std::uint32_t held = 0;   ///< slots of the unexpired grant
};

/// An owner's response to a report: requests that the receiver may have in flight at the upstream.
struct slot_grant
{
    upstream_id upstream;
    std::uint32_t slots = 0;
    /// Sequence of the message that contained the report. The lease starts when it was sent.
    message_sequence report_sequence;
};

/// State of an upstream as determined by its owner.
struct upstream_status
{
    upstream_id upstream;
    upstream_state state = upstream_state::cold;
    std::uint32_t limit = 0;       ///< requests in flight from all hosts that its warm-up allows
    std::uint32_t free_slots = 0;  ///< slots without a request in flight, as counted by the owner
    std::uint32_t incarnation = 0; ///< of the upstream's process, as it reports it

    friend auto operator==(const upstream_status&, const upstream_status&) -> bool = default;
};

/// A host's observation that an upstream is cold or failing.
struct upstream_fault_report
{
    upstream_id upstream;
    upstream_state suspected = upstream_state::cold;
    std::uint32_t count = 0; ///< increases with each new report; repetitions keep it
};

/// A host's requests in flight in one pool.
struct pool_load
{
    pool_id pool;
    std::uint32_t warm = 0; ///< at warm upstreams
    std::uint32_t all = 0;  ///< at all eligible upstreams
};

/// The upstream that last served a conversation. Sent when it is not the one expected from hashing
/// and earlier exceptions.
struct placement_exception
{
    conversation_id conversation;
    upstream_id upstream;
};

/// Message from one host to another. Also serves as heartbeat.
struct peer_message
{
    host_id sender;
    incarnation_id incarnation;
    message_sequence sequence;     ///< per sender, receiver and incarnation
    message_sequence acknowledged; ///< highest sequence that the sender received from the receiver
    incarnation_id acknowledged_incarnation; ///< of the receiver, for `acknowledged`
    log_offset configuration;                ///< offset up to which the sender has applied the log
    std::uint32_t configuration_digest = 0;  ///< detects different states at equal offsets
    bool leaving = false;
    bool settled = false; ///< running long enough to know the fleet and to own upstreams
    bool wants_configuration = false; ///< requests an update since it cannot read the whole log
    std::vector<slot_report> reports;
    std::vector<slot_grant> grants;
    std::vector<upstream_status> statuses;
    std::vector<upstream_fault_report> fault_reports;
    std::vector<pool_load> loads;
    std::vector<placement_exception> exceptions;
    std::string configuration_update; ///< full or partial snapshot as JSON text; empty if none
};

} // namespace poplardrift
