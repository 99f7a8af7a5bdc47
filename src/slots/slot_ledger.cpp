#include "poplardrift/slots/slot_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift
{

slot_ledger::slot_ledger(slot_settings settings, time_point owned_since)
    : settings(settings), owned_since(owned_since)
{
}

auto slot_ledger::former_grants_expired(time_point now) const -> bool
{
    return now - this->owned_since >=
           this->settings.lease + this->settings.owner_margin + this->settings.disagreement;
}

auto slot_ledger::outstanding_slots(const holder_state& holder, time_point now) const
    -> std::uint32_t
{
    // After the lease, only requests that a silent holder had in flight may still be running.
    if (now > holder.lease_end)
    {
        return now - holder.reported <= this->settings.silent_use ? holder.in_use : 0;
    }
    auto result = holder.in_use;
    for (const auto& grant : holder.sent)
    {
        result = std::max(result, grant.slots);
    }
    return result;
}

auto slot_ledger::granted_slots(time_point now) const -> std::uint32_t
{
    std::uint32_t sum = 0;
    for (const auto& [id, holder] : this->holders)
    {
        sum += this->outstanding_slots(holder, now);
    }
    return sum;
}

auto slot_ledger::in_use() const -> std::uint32_t
{
    std::uint32_t sum = 0;
    for (const auto& [id, holder] : this->holders)
    {
        sum += holder.in_use;
    }
    return sum;
}

auto slot_ledger::on_report(host_id holder, const slot_report& report, message_sequence sequence,
                            message_sequence acknowledged, time_point now) -> void
{
    const auto [found, inserted] = this->holders.try_emplace(holder);
    auto& entry = found->second;
    if (inserted && report.held > 0)
    {
        // An unexpired grant of a former owner counts as if this owner had sent it.
        entry.sent.push_back({message_sequence{}, report.held});
        entry.lease_end = now + this->settings.lease + this->settings.owner_margin;
    }
    if (sequence <= entry.report)
    {
        return;
    }
    entry.in_use = report.in_use;
    entry.wanted = report.wanted;
    entry.report = sequence;
    entry.reported = now;
    // The holder no longer uses grants older than the newest acknowledged one.
    while (entry.sent.size() > 1 && entry.sent[1].sequence <= acknowledged)
    {
        entry.sent.pop_front();
    }
}

auto slot_ledger::target_grant(const holder_state& holder, std::uint32_t limit,
                               std::uint32_t free_slots) const -> std::uint32_t
{
    std::uint32_t demand = 0;
    for (const auto& [id, item] : this->holders)
    {
        demand += item.in_use + item.wanted;
    }
    // When free slots do not cover all requested slots, they are shared in proportion.
    auto granted = holder.wanted;
    std::uint32_t wanted = 0;
    for (const auto& [id, item] : this->holders)
    {
        wanted += item.wanted;
    }
    if (wanted > free_slots && wanted > 0)
    {
        const auto share = static_cast<double>(free_slots) * holder.wanted / wanted;
        granted = std::min(granted, static_cast<std::uint32_t>(std::ceil(share)));
    }
    // Some idle slots are granted in advance, so that most requests need no message.
    const auto idle = limit > demand ? limit - demand : 0;
    const auto unrequested = static_cast<std::uint32_t>(
        this->settings.prefetch * idle /
        static_cast<double>(std::max<std::size_t>(this->holders.size(), 1)));
    return holder.in_use + granted + unrequested;
}

auto slot_ledger::grant(host_id holder, std::uint32_t limit, bool may_increase,
                        message_sequence sequence, time_point now) -> slot_grant
{
    auto& entry = this->holders[holder];
    std::uint32_t others = 0;
    for (const auto& [id, item] : this->holders)
    {
        others += id == holder ? 0 : this->outstanding_slots(item, now);
    }
    const auto available = limit > others ? limit - others : 0;
    const auto free_slots = available > entry.in_use ? available - entry.in_use : 0;
    auto slots = std::min(available, this->target_grant(entry, limit, free_slots));
    return this->record_grant(entry, slots, may_increase, sequence, now);
}

auto slot_ledger::grant_remainder(host_id self, std::uint32_t limit, bool may_increase,
                                  message_sequence sequence, time_point now) -> slot_grant
{
    auto& entry = this->holders[self];
    std::uint32_t others = 0;
    std::uint32_t others_in_use = 0;
    for (const auto& [id, item] : this->holders)
    {
        others_in_use += id == self ? 0 : item.in_use;
    }
    const auto free_slots = limit > others_in_use ? limit - others_in_use : 0;
    for (const auto& [id, item] : this->holders)
    {
        others += id == self ? 0
                             : std::max(this->outstanding_slots(item, now),
                                        this->target_grant(item, limit, free_slots));
    }
    return this->record_grant(entry, limit > others ? limit - others : 0, may_increase, sequence,
                              now);
}

auto slot_ledger::record_grant(holder_state& entry, std::uint32_t slots, bool may_increase,
                               message_sequence sequence, time_point now) -> slot_grant
{
    if (!may_increase)
    {
        // The new grant is at most the current one.
        const auto current =
            entry.sent.empty() || now > entry.lease_end ? entry.in_use : entry.sent.back().slots;
        slots = std::min(slots, current);
    }
    entry.sent.push_back({sequence, slots});
    entry.lease_end = std::max(entry.lease_end,
                               entry.reported + this->settings.lease + this->settings.owner_margin);
    entry.wanted = 0;
    return {upstream_id{}, slots, entry.report};
}

auto slot_ledger::erase_holder(host_id holder) -> void
{
    this->holders.erase(holder);
}

auto slot_ledger::expire(time_point now) -> void
{
    std::erase_if(this->holders,
                  [&](const auto& item)
                  {
                      const auto& holder = item.second;
                      const auto silent = now - holder.reported > this->settings.silent_use;
                      return silent && now > holder.lease_end;
                  });
}

} // namespace poplardrift
