#include "poplardrift/transactions/transaction_table.hpp"

namespace poplardrift
{

transaction_table::transaction_table(transaction_table_settings settings) : settings(settings)
{
}

auto transaction_table::find(const transaction_key& key) const -> const winning_claim*
{
    const auto found = this->winners.find(key);
    return found == this->winners.end() ? nullptr : &found->second;
}

auto transaction_table::expire(log_time now) -> void
{
    while (!this->expiry_order.empty() &&
           this->expiry_order.front().time + this->settings.dedupe_window <= now)
    {
        const auto& oldest = this->expiry_order.front();
        const auto found = this->winners.find(oldest.key);
        if (found != this->winners.end() && found->second.offset == oldest.offset)
        {
            if (const auto* done = std::get_if<claim_done>(&found->second.status))
            {
                this->answer_bytes -= done->answer.body.size();
            }
            this->winners.erase(found);
        }
        this->expiry_order.pop_front();
    }
}

auto transaction_table::evict_old_answers() -> void
{
    while (this->answer_bytes > this->settings.max_answer_bytes && !this->eviction_order.empty())
    {
        const auto oldest = this->eviction_order.front();
        this->eviction_order.pop_front();
        const auto found = this->winners.find(oldest.key);
        if (found == this->winners.end() || found->second.offset != oldest.offset)
        {
            continue;
        }
        if (auto* done = std::get_if<claim_done>(&found->second.status))
        {
            this->answer_bytes -= done->answer.body.size();
            done->answer.body.clear();
            done->answer.body.shrink_to_fit();
            done->answer.body_kept = false;
        }
    }
}

auto transaction_table::set_status(const transaction_key& key, log_offset claim,
                                   claim_status status) -> void
{
    const auto found = this->winners.find(key);
    // Only the winning claim has an outcome, and a known answer must not be replaced.
    const auto applies = found != this->winners.end() && found->second.offset == claim &&
                         !std::holds_alternative<claim_done>(found->second.status);
    if (!applies)
    {
        return;
    }
    if (const auto* done = std::get_if<claim_done>(&status))
    {
        this->answer_bytes += done->answer.body.size();
        this->eviction_order.push_back({found->second.time, claim, key});
    }
    found->second.status = std::move(status);
    this->evict_old_answers();
}

auto transaction_table::apply(log_offset offset, log_time time, const transaction_record& record)
    -> std::optional<winning_claim>
{
    if (offset <= this->last_offset)
    {
        return std::nullopt;
    }
    this->last_offset = offset;
    this->expire(time);
    if (const auto* claim = std::get_if<claim_record>(&record))
    {
        const auto [found, won] = this->winners.try_emplace(
            claim->key, winning_claim{offset, time, claim->fingerprint, claim->host,
                                      claim->incarnation, claim->number, claim_open{}});
        if (won)
        {
            this->expiry_order.push_back({time, offset, claim->key});
        }
        return found->second;
    }
    if (const auto* item = std::get_if<void_record>(&record))
    {
        const auto found = this->winners.find(item->key);
        const auto open = found != this->winners.end() && found->second.offset == item->claim &&
                          std::holds_alternative<claim_open>(found->second.status);
        if (open)
        {
            this->winners.erase(found);
        }
    }
    else if (const auto* done = std::get_if<done_record>(&record))
    {
        this->set_status(done->key, done->claim, claim_done{done->answer});
    }
    else if (const auto* unknown = std::get_if<unknown_record>(&record))
    {
        this->set_status(unknown->key, unknown->claim, claim_unknown{});
    }
    return std::nullopt;
}

} // namespace poplardrift
