#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace poplardrift
{

/// Settings of slot leases. All hosts must use the same values.
struct slot_settings
{
    duration lease =
        std::chrono::seconds(3); ///< validity of a grant, from when the report was sent
    duration owner_margin = std::chrono::milliseconds(500); ///< the owner extends leases by this
    duration disagreement = std::chrono::seconds(3); ///< how long membership views may differ
    duration silent_use = std::chrono::seconds(20);  ///< how long a silent holder's requests count
    double prefetch = 0.5; ///< share of idle slots granted before they are requested
};

/// Tracks the slot grants of one upstream on its owner: how many requests each holder may have in
/// flight. A new grant never raises the sum of all outstanding grants above the given limit.
///
/// A grant counts at the largest value that the holder may still use: until the holder acknowledges
/// a lower one or the lease expires. The holder counts the lease from when it sent the report, the
/// owner from when it received the report. The owner's lease ends later, so the clocks need not be
/// synchronized. Control thread only.
class slot_ledger final
{
public:
    slot_ledger(slot_settings settings, time_point owned_since);

    /// Stores a holder's report. `acknowledged` is the last message from this owner that the holder
    /// had received when it wrote the report.
    auto on_report(host_id holder, const slot_report& report, message_sequence sequence,
                   message_sequence acknowledged, time_point now) -> void;

    /// Computes the holder's new grant and records it as sent in message `sequence`. Without
    /// `may_increase`, the grant is at most the holder's current one.
    [[nodiscard]] auto grant(host_id holder, std::uint32_t limit, bool may_increase,
                             message_sequence sequence, time_point now) -> slot_grant;

    /// The same for the owner itself, which gets all slots not granted to or intended for other
    /// holders: it can give them up without a message.
    [[nodiscard]] auto grant_remainder(host_id self, std::uint32_t limit, bool may_increase,
                                       message_sequence sequence, time_point now) -> slot_grant;

    /// Removes a host whose process has ended. Its requests ended with its connections.
    auto erase_holder(host_id holder) -> void;
    /// Removes holders that are silent and whose lease has expired. Call periodically.
    auto expire(time_point now) -> void;

    /// True once all grants of a former owner have expired, including those of hosts that never
    /// reported.
    [[nodiscard]] auto former_grants_expired(time_point now) const -> bool;
    /// Sum of all slots that still count as granted.
    [[nodiscard]] auto granted_slots(time_point now) const -> std::uint32_t;
    /// Sum of the requests in flight as last reported.
    [[nodiscard]] auto in_use() const -> std::uint32_t;
    /// True when the ledger has an entry for this host, which its first report or grant creates.
    [[nodiscard]] auto has_entry(host_id holder) const -> bool
    {
        return this->holders.contains(holder);
    }

private:
    /// A grant that was sent. It counts until the holder acknowledges a later one.
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
