#include "poplardrift/transactions/transaction_book.hpp"

namespace poplardrift
{

transaction_book::transaction_book(transaction_book_settings settings) : settings(settings)
{
}

auto transaction_book::find(const transaction_key& key) const -> const winning_claim*
{
    const auto found = this->winners.find(key);
    return found == this->winners.end() ? nullptr : &found->second;
}

auto transaction_book::expire(log_time now) -> void
{
    while (!this->by_age.empty() && this->by_age.front().time + this->settings.dedupe_window <= now)
    {
        const auto& oldest = this->by_age.front();
        const auto found = this->winners.find(oldest.key);
        if (found != this->winners.end() && found->second.offset == oldest.offset)
        {
            if (const auto* done = std::get_if<claim_done>(&found->second.status))
            {
                this->answer_bytes -= done->answer.body.size();
            }
            this->winners.erase(found);
        }
        this->by_age.pop_front();
    }
}

auto transaction_book::drop_old_answers() -> void
{
    while (this->answer_bytes > this->settings.answer_bytes && !this->answers_by_age.empty())
    {
        const auto oldest = this->answers_by_age.front();
        this->answers_by_age.pop_front();
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

auto transaction_book::set_status(const transaction_key& key, log_offset claim, claim_status status)
    -> void
{
    const auto found = this->winners.find(key);
    // Only the winner's word counts, and a known answer is never forgotten for an unknown one.
    const auto counts = found != this->winners.end() && found->second.offset == claim &&
                        !std::holds_alternative<claim_done>(found->second.status);
    if (!counts)
    {
        return;
    }
    if (const auto* done = std::get_if<claim_done>(&status))
    {
        this->answer_bytes += done->answer.body.size();
        this->answers_by_age.push_back({found->second.time, claim, key});
    }
    found->second.status = std::move(status);
    this->drop_old_answers();
}

auto transaction_book::apply(log_offset offset, log_time time, const transaction_record& record)
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
            this->by_age.push_back({time, offset, claim->key});
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
