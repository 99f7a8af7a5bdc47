#pragma once

#include "poplardrift/transactions/records.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <variant>

namespace poplardrift
{

/// The claim has been made; what became of it is not on the log yet.
struct claim_open
{
};
/// Ran; the answer is known.
struct claim_done
{
    transaction_answer answer;
};
/// Was sent; whether it ran is not known.
struct claim_unknown
{
};

using claim_status = std::variant<claim_open, claim_done, claim_unknown>;

/// The claim that won a key.
struct winning_claim
{
    log_offset offset;
    log_time time{};
    request_fingerprint fingerprint;
    host_id host;
    incarnation_id incarnation;
    claim_number number;
    claim_status status;
};

/// Settings of the book.
struct transaction_table_settings
{
    log_time dedupe_window = std::chrono::minutes(10); ///< how long a claim keeps its key
    std::size_t max_answer_bytes = 64u << 20;          ///< most bytes of answers kept in memory
};

/// Keys and their winning claims, folded from the log's transaction stream. All hosts fold the same
/// records in the same order: the first claim of a key wins until it is void or its window, by the
/// log's own clock, has passed. Memory is about 200 bytes a key and the answers.
class transaction_table final
{
public:
    explicit transaction_table(transaction_table_settings settings);

    /// Folds one record. Returns the key's winner when the record is a claim: the claim itself, or
    /// the one that came before it.
    auto apply(log_offset offset, log_time time, const transaction_record& record)
        -> std::optional<winning_claim>;

    [[nodiscard]] auto find(const transaction_key& key) const -> const winning_claim*;
    /// Offset of the last record that is folded in.
    [[nodiscard]] auto applied() const noexcept -> log_offset { return this->last_offset; }
    [[nodiscard]] auto size() const noexcept -> std::size_t { return this->winners.size(); }

private:
    auto expire(log_time now) -> void;
    auto set_status(const transaction_key& key, log_offset claim, claim_status status) -> void;
    auto evict_old_answers() -> void;

    struct timed_key
    {
        log_time time{};
        log_offset offset;
        transaction_key key;
    };

    transaction_table_settings settings;
    std::map<transaction_key, winning_claim> winners;
    std::deque<timed_key> expiry_order;
    std::deque<timed_key> eviction_order;
    std::size_t answer_bytes = 0;
    log_offset last_offset;
};

} // namespace poplardrift
