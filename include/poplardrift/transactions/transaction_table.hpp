#pragma once

#include "poplardrift/transactions/records.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <variant>

namespace poplardrift
{

/// The claim was made; no outcome is recorded yet.
struct claim_open
{
};
/// The claim ran and its answer is known.
struct claim_done
{
    transaction_answer answer;
};
/// The request was sent; whether it ran is not known.
struct claim_unknown
{
};

using claim_status = std::variant<claim_open, claim_done, claim_unknown>;

/// The claim that owns a key: the first one in log order.
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

/// Settings of transaction_table.
struct transaction_table_settings
{
    log_time dedupe_window = std::chrono::minutes(10); ///< time for which a claim owns its key
    std::size_t max_answer_bytes = 64u << 20;          ///< limit for all stored answer bodies
};

/// Maps each key to its winning claim, by applying the records of the log's transaction stream. All
/// hosts apply the same records in the same order and so reach the same state. The first claim of a
/// key wins until a void record removes it or the dedupe window has passed on the log's clock.
/// Memory is about 200 bytes per key plus the answers.
class transaction_table final
{
public:
    explicit transaction_table(transaction_table_settings settings);

    /// Applies one record. For a claim it returns the winning claim of the key, which is this claim
    /// or an earlier one. Records at or before the last applied offset are ignored.
    auto apply(log_offset offset, log_time time, const transaction_record& record)
        -> std::optional<winning_claim>;

    [[nodiscard]] auto find(const transaction_key& key) const -> const winning_claim*;
    /// Offset of the last applied record.
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
