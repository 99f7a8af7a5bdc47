#include "poplardrift/slots/slot_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift
{

slot_ledger::slot_ledger(slot_settings settings, time_point owned_since)
    : settings(settings), owned_since(owned_since)
{
}

auto slot_ledger::former_promises_over(time_point now) const -> bool
{
    return now - this->owned_since >=
           this->settings.lease + this->settings.owner_margin + this->settings.disagreement;
}

auto slot_ledger::commitment(const holder_account& holder, time_point now) const -> std::uint32_t
{
    // Requests that a silent holder had in flight may still run.
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

auto slot_ledger::promised(time_point now) const -> std::uint32_t
{
    std::uint32_t sum = 0;
    for (const auto& [id, holder] : this->holders)
    {
        sum += this->commitment(holder, now);
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
    auto& account = found->second;
    if (inserted && report.held > 0)
    {
        // A grant of a former owner that still stands counts as ours.
        account.sent.push_back({message_sequence{}, report.held});
        account.lease_end = now + this->settings.lease + this->settings.owner_margin;
    }
    if (sequence <= account.report)
    {
        return;
    }
    account.in_use = report.in_use;
    account.wanted = report.wanted;
    account.report = sequence;
    account.reported = now;
    // The newest acknowledged grant stands; what came before it can no longer be acted on.
    while (account.sent.size() > 1 && account.sent[1].sequence <= acknowledged)
    {
        account.sent.pop_front();
    }
}

auto slot_ledger::target_of(const holder_account& holder, std::uint32_t limit,
                            std::uint32_t free_slots) const -> std::uint32_t
{
    std::uint32_t demand = 0;
    for (const auto& [id, item] : this->holders)
    {
        demand += item.in_use + item.wanted;
    }
    // When all wishes cannot be met, each holder gets its part of what is free.
    auto granted = holder.wanted;
    std::uint32_t wanted = 0;
    for (const auto& [id, item] : this->holders)
    {
        wanted += item.wanted;
    }
    if (wanted > free_slots && wanted > 0)
    {
        const auto part = static_cast<double>(free_slots) * holder.wanted / wanted;
        granted = std::min(granted, static_cast<std::uint32_t>(std::ceil(part)));
    }
    // Idle slots are partly handed out unasked, so that most requests need no message.
    const auto idle = limit > demand ? limit - demand : 0;
    const auto unasked = static_cast<std::uint32_t>(
        this->settings.prefetch * idle /
        static_cast<double>(std::max<std::size_t>(this->holders.size(), 1)));
    return holder.in_use + granted + unasked;
}

auto slot_ledger::grant(host_id holder, std::uint32_t limit, bool may_add,
                        message_sequence sequence, time_point now) -> slot_grant
{
    auto& account = this->holders[holder];
    std::uint32_t others = 0;
    for (const auto& [id, item] : this->holders)
    {
        others += id == holder ? 0 : this->commitment(item, now);
    }
    const auto available = limit > others ? limit - others : 0;
    const auto free_slots = available > account.in_use ? available - account.in_use : 0;
    auto slots = std::min(available, this->target_of(account, limit, free_slots));
    return this->promise(account, slots, may_add, sequence, now);
}

auto slot_ledger::grant_rest(host_id self, std::uint32_t limit, bool may_add,
                             message_sequence sequence, time_point now) -> slot_grant
{
    auto& account = this->holders[self];
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
                             : std::max(this->commitment(item, now),
                                        this->target_of(item, limit, free_slots));
    }
    return this->promise(account, limit > others ? limit - others : 0, may_add, sequence, now);
}

auto slot_ledger::promise(holder_account& account, std::uint32_t slots, bool may_add,
                          message_sequence sequence, time_point now) -> slot_grant
{
    if (!may_add)
    {
        // Only what the holder already has is renewed.
        const auto standing = account.sent.empty() || now > account.lease_end
                                  ? account.in_use
                                  : account.sent.back().slots;
        slots = std::min(slots, standing);
    }
    account.sent.push_back({sequence, slots});
    account.lease_end = std::max(account.lease_end, account.reported + this->settings.lease +
                                                        this->settings.owner_margin);
    account.wanted = 0;
    return {upstream_id{}, slots, account.report};
}

auto slot_ledger::forget(host_id holder) -> void
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
