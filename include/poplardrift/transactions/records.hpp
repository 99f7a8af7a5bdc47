#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace poplardrift
{

/// A caller's key within its workspace, hashed so that all have the same size.
using transaction_key = strong_type<struct transaction_key_tag, std::string>;
/// Hash of method, target and body: the same key with another request is refused.
using request_fingerprint = strong_type<struct request_fingerprint_tag, std::string>;
/// Number of a claim within one process of a host.
using claim_number = strong_type<struct claim_number_tag, std::uint64_t>;

[[nodiscard]] auto make_transaction_key(workspace_id workspace, std::string_view key)
    -> transaction_key;
[[nodiscard]] auto make_fingerprint(std::string_view method, std::string_view target,
                                    std::string_view body) -> request_fingerprint;

/// The answer that a transaction got.
struct transaction_answer
{
    int status = 0; ///< HTTP status
    std::string content_type;
    std::string body;
    bool body_kept = true; ///< false: it was larger than what is kept
};

/// "I want to run this key": the first claim of a key in log order may.
struct claim_record
{
    transaction_key key;
    request_fingerprint fingerprint;
    host_id host;
    incarnation_id incarnation;
    claim_number number;
};

/// "The claim at that offset never ran and never will": the key is free again.
struct void_record
{
    transaction_key key;
    log_offset claim;
};

/// "The claim at that offset ran and got this answer."
struct done_record
{
    transaction_key key;
    log_offset claim;
    transaction_answer answer;
};

/// "The claim at that offset was sent and its answer never came."
struct unknown_record
{
    transaction_key key;
    log_offset claim;
};

using transaction_record = std::variant<claim_record, void_record, done_record, unknown_record>;

[[nodiscard]] auto to_json(const transaction_record& record) -> nlohmann::json;
/// Nothing when the document is not a record that this version knows.
[[nodiscard]] auto transaction_record_from_json(const nlohmann::json& document)
    -> std::optional<transaction_record>;

} // namespace poplardrift
