#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace poplardrift
{

/// Settings of slot leases; the same on every host.
struct slot_settings
{
    duration lease = std::chrono::seconds(3); ///< validity of a grant, from the report on
    duration owner_margin = std::chrono::milliseconds(500); ///< the owner counts a grant for longer
    duration disagreement = std::chrono::seconds(3); ///< for which hosts may differ on who exists
    duration silent_use = std::chrono::seconds(20);  ///< use of a silent holder still counts
    double prefetch = 0.5;                           ///< share of idle slots granted unasked
};

/// The owner's entry of one upstream's slots: who may have how many requests in flight. The sum
/// of what it has promised never passes the limit it was given when it promised.
///
/// A holder's grant counts at its largest value that the holder may still act on: until the holder
/// acknowledges a lower one, and until the lease has run out. Leases run from the sending of the
/// report on the holder's clock and from its receipt on the owner's, which is later, so no common
/// clock is needed. Control thread only.
class slot_ledger final
{
public:
    slot_ledger(slot_settings settings, time_point owned_since);

    /// Takes a holder's report. `acknowledged` is the last message of this owner that the holder
    /// had when it wrote the report.
    auto on_report(host_id holder, const slot_report& report, message_sequence sequence,
                   message_sequence acknowledged, time_point now) -> void;

    /// Decides what the holder gets now and counts it as promised in message `sequence`. Without
    /// `may_increase`, it gets no more than it already has.
    [[nodiscard]] auto grant(host_id holder, std::uint32_t limit, bool may_increase,
                             message_sequence sequence, time_point now) -> slot_grant;

    /// The same for the owner itself, which keeps what nobody else is to have: it can give that up
    /// without a message.
    [[nodiscard]] auto grant_remainder(host_id self, std::uint32_t limit, bool may_increase,
                                       message_sequence sequence, time_point now) -> slot_grant;

    /// Drops a host that is gone for good: its requests ended with its connections.
    auto erase_holder(host_id holder) -> void;
    /// Ages out leases. Call it now and then.
    auto expire(time_point now) -> void;

    /// True once promises of a former owner have run out, even if a host never reported.
    [[nodiscard]] auto former_grants_expired(time_point now) const -> bool;
    /// Sum of all promises that still count.
    [[nodiscard]] auto granted_slots(time_point now) const -> std::uint32_t;
    /// Sum of the requests in flight as last reported.
    [[nodiscard]] auto in_use() const -> std::uint32_t;
    /// True when this host has reported since the ledger began.
    [[nodiscard]] auto has_reported(host_id holder) const -> bool
    {
        return this->holders.contains(holder);
    }

private:
    /// A grant on its way: not superseded until its successor is acknowledged.
    struct sent_grant
    {
        message_sequence sequence;
        std::uint32_t slots = 0;
    };

    struct holder_state
    {
        std::uint32_t in_use = 0;
        std::uint32_t wanted = 0;
        message_sequence report;
        time_point reported{};
        time_point lease_end{};
        std::deque<sent_grant> sent;
    };

    [[nodiscard]] auto outstanding_slots(const holder_state& holder, time_point now) const
        -> std::uint32_t;
    auto record_grant(holder_state& entry, std::uint32_t slots, bool may_increase,
                      message_sequence sequence, time_point now) -> slot_grant;
    [[nodiscard]] auto target_grant(const holder_state& holder, std::uint32_t limit,
                                    std::uint32_t free_slots) const -> std::uint32_t;

    slot_settings settings;
    time_point owned_since;
    std::map<host_id, holder_state> holders;
};

} // namespace poplardrift
