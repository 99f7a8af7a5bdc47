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

/// Fixed-size hash of a workspace and a caller's idempotency key.
using transaction_key = strong_type<struct transaction_key_tag, std::string>;
/// Hash of a request's method, target and body. A request that reuses a key with a different
/// fingerprint is refused.
using request_fingerprint = strong_type<struct request_fingerprint_tag, std::string>;
/// Sequence number of a claim, unique within one process of a host.
using claim_number = strong_type<struct claim_number_tag, std::uint64_t>;

[[nodiscard]] auto make_transaction_key(workspace_id workspace, std::string_view key)
    -> transaction_key;
[[nodiscard]] auto make_fingerprint(std::string_view method, std::string_view target,
                                    std::string_view body) -> request_fingerprint;

/// Upstream answer of a transaction, kept for replay to duplicate requests.
struct transaction_answer
{
    int status = 0; ///< HTTP status
    std::string content_type;
    std::string body;
    bool body_kept = true; ///< false when the body exceeded the size limit or was evicted
};

/// Claims a key for a request. Only the first claim of a key in log order may run.
struct claim_record
{
    transaction_key key;
    request_fingerprint fingerprint;
    host_id host;
    incarnation_id incarnation;
    claim_number number;
};

/// States that the claim at offset `claim` did not run and never will, which frees the key.
struct void_record
{
    transaction_key key;
    log_offset claim;
};

/// Stores the answer of the claim at offset `claim`.
struct done_record
{
    transaction_key key;
    log_offset claim;
    transaction_answer answer;
};

/// States that the claim at offset `claim` was sent to an upstream and got no complete answer.
struct unknown_record
{
    transaction_key key;
    log_offset claim;
};

using transaction_record = std::variant<claim_record, void_record, done_record, unknown_record>;

[[nodiscard]] auto to_json(const transaction_record& record) -> nlohmann::json;
/// Returns nothing when the document is malformed or of a record type that this version does not
/// support.
[[nodiscard]] auto transaction_record_from_json(const nlohmann::json& document)
    -> std::optional<transaction_record>;

} // namespace poplardrift
