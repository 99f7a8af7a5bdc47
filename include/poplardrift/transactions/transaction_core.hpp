#pragma once

#include "poplardrift/base/events.hpp"
#include "poplardrift/transactions/tickets.hpp"
#include "poplardrift/transactions/transaction_table.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace poplardrift
{

/// Settings of transaction_core.
struct transaction_settings
{
    std::string host_secret;                           ///< key of the ticket MACs
    duration dedupe_window = std::chrono::minutes(10); ///< time for which a claim owns its key
    /// No request is sent within this time before the end of the dedupe window.
    duration window_margin = std::chrono::seconds(5);
    duration claim_timeout = std::chrono::seconds(3); ///< limit for reading a claim back
    std::size_t kept_answer_bytes = 16 << 10;         ///< largest body kept for replay
    std::size_t max_answers_bytes = 64u << 20;        ///< limit for all kept bodies
};

/// A caller's non-idempotent request.
struct transaction_request
{
    request_id id;
    workspace_id workspace;
    std::string key; ///< the caller's; empty when it sent none and so cannot retry
    request_fingerprint fingerprint;
    bool forwarded = false; ///< another host forwarded it; must not be forwarded again
    time_point deadline{};
};

/// Append a record to the log. `number` is set for claims only; the result of their append must be
/// passed to on_append.
struct append_transaction_record
{
    transaction_record record;
    std::optional<claim_number> number;
};
/// Send the request to an upstream immediately and at most once.
struct run_transaction
{
    request_id id;
    std::string key; ///< returned to the caller when the host issued it
};
/// Return the stored answer of the key to the caller.
struct replay_answer
{
    request_id id;
    transaction_answer answer;
};
/// Forward the request to the host that owns the key.
struct forward_transaction
{
    request_id id;
    host_id to;
    incarnation_id incarnation;
};

/// Why a request is refused.
enum class transaction_refusal : std::uint8_t
{
    log_unreachable,     ///< no claim can be appended
    recovering,          ///< existing claims have not all been read from the log
    claim_not_confirmed, ///< the claim was not read back in time and will never run
    key_conflict,        ///< the key was used with a different fingerprint
    bad_ticket,          ///< not authentic, or issued for another workspace
    ticket_expired,      ///< older than the dedupe window; its outcome has been dropped
    owner_gone,          ///< the process that may have run it has ended
    outcome_unknown,     ///< it was sent and no complete answer arrived
    window_passed,       ///< the process was paused until the claim was too old to run
};

/// Return an error to the caller. The reason tells whether the request may have run, see
/// guarantees_not_run.
struct refuse_transaction
{
    request_id id;
    transaction_refusal reason = transaction_refusal::log_unreachable;
};
/// Write an event to the event log.
struct report_transaction_event
{
    event event_data;
};

using transaction_action =
    std::variant<append_transaction_record, run_transaction, replay_answer, forward_transaction,
                 refuse_transaction, report_transaction_event>;

/// True when a request refused for this reason did not run and never will.
[[nodiscard]] auto guarantees_not_run(transaction_refusal reason) -> bool;
[[nodiscard]] auto to_text(transaction_refusal reason) -> std::string_view;

/// Nothing was sent to the upstream, or the upstream reported that it did not execute the request
/// and this report is trusted.
struct run_not_sent
{
};
/// The upstream answered completely.
struct run_answered
{
    transaction_answer answer;
};
/// The request was sent and no complete answer arrived.
struct run_unknown
{
};
using run_result = std::variant<run_not_sent, run_answered, run_unknown>;

/// Result of an append to the log.
enum class append_result : std::uint8_t
{
    appended,
    not_appended, ///< certain that nothing reached the log
    lost,         ///< no answer; the record may be on the log now or later
};

/// State of a key as known to this host.
struct key_lookup
{
    enum class state : std::uint8_t
    {
        none, ///< no claim within the dedupe window up to `as_of`
        running,
        done,
        unknown,
    };
    state key_state = state::none;
    std::optional<transaction_answer> answer;
    log_offset as_of;
};

/// Decides which requests may run, so that each key runs at most once across all hosts.
///
/// A key chosen by the caller is claimed on the log. Only the first claim in log order runs, and
/// only after it has been read back. A ticket is run only by the process that issued it.
/// Performs no I/O: it consumes events and returns actions. Not thread-safe.
class transaction_core final
{
public:
    transaction_core(const transaction_settings& settings, host_id self,
                     incarnation_id incarnation);

    /// Returns a new key that only this process may run.
    [[nodiscard]] auto issue_ticket(workspace_id workspace, time_point now) -> std::string;

    auto begin(const transaction_request& request, time_point now) -> void;
    auto on_append(claim_number number, append_result result, time_point now) -> void;
    auto on_record(log_offset offset, log_time time, const transaction_record& record,
                   time_point now) -> void;
    /// The stream has been read up to where it ended when this process started.
    auto on_recovered() -> void;
    /// The log lost records, which may have claimed keys. Refuses new claims for one dedupe window.
    auto on_gap(time_point now) -> void;
    auto on_log_reachable(bool reachable) -> void { this->log_reachable = reachable; }
    /// The host's process has ended or was replaced.
    auto on_host_gone(host_id host) -> void { this->gone_hosts.insert(host); }
    auto on_host_seen(host_id host, incarnation_id live) -> void;
    auto on_run_result(request_id id, const run_result& result, time_point now) -> void;
    /// The caller disconnected. Abandons its unconfirmed claim; a request that was sent continues.
    auto on_caller_gone(request_id id, time_point now) -> void;
    auto on_tick(time_point now) -> void;

    /// True while the request's claim is young enough to run. Must be checked right before sending.
    [[nodiscard]] auto may_send(request_id id, time_point now) const -> bool;
    /// True when the request waits for a running request with the same key.
    [[nodiscard]] auto is_joined(request_id id) const -> bool;
    [[nodiscard]] auto lookup(workspace_id workspace, const std::string& key) const -> key_lookup;
    /// Offset of the last applied record of the stream.
    [[nodiscard]] auto applied() const noexcept -> log_offset { return this->table.applied(); }
    /// True while a claim of this process has not been read back.
    [[nodiscard]] auto has_open_claims() const noexcept -> bool { return !this->claims.empty(); }
    [[nodiscard]] auto is_recovered() const noexcept -> bool { return this->recovered; }

    [[nodiscard]] auto take_actions() -> std::vector<transaction_action>;

private:
    /// A claim of this process that has not been read back.
    struct unconfirmed_claim
    {
        transaction_request request;
        transaction_key key;
        time_point started{};
        bool abandoned = false; ///< never runs, even if it wins on the log
    };

    /// A request that this process runs.
    struct active_run
    {
        transaction_key key;
        std::optional<log_offset> claim; ///< unset for tickets
        time_point started{};            ///< time of the claim's append or the ticket's first use
        std::vector<request_id> joined;  ///< duplicate requests waiting for its answer
    };

    /// State of a ticket's request.
    struct ticket_entry
    {
        request_fingerprint fingerprint;
        time_point used{};
        std::optional<request_id> runner;
        claim_status status;
    };

    auto begin_ticket(const transaction_request& request, time_point now) -> void;
    auto begin_claim(const transaction_request& request, time_point now) -> void;
    auto reply_for_claimed_key(const transaction_request& request, const winning_claim& winner)
        -> void;
    auto join(const transaction_request& request, request_id runner) -> void;
    auto reply_from_status(const transaction_request& request, const claim_status& status) -> void;
    auto start_run(const transaction_request& request, active_run item) -> void;
    auto abandon(unconfirmed_claim& claim, transaction_refusal reason) -> void;
    auto on_own_claim(claim_number number, const winning_claim& winner, time_point now) -> void;
    auto record_ticket_outcome(const transaction_key& key, const run_result& result) -> void;
    auto record_claim_outcome(const active_run& item, const run_result& result) -> void;
    auto refuse(request_id id, transaction_refusal reason) -> void;
    auto report_event(event_code code, std::string detail) -> void;
    [[nodiscard]] auto without_large_body(const transaction_answer& answer) const
        -> transaction_answer;

    transaction_settings settings;
    host_id self;
    incarnation_id incarnation;
    transaction_table table;
    std::map<claim_number, unconfirmed_claim> claims;
    std::map<request_id, active_run> runs;
    std::map<transaction_key, request_id> runner_of_key;
    std::map<transaction_key, ticket_entry> tickets;
    std::map<transaction_key, claim_status> unconfirmed_outcomes; ///< outcomes not yet read back
    std::set<host_id> gone_hosts;
    std::map<host_id, incarnation_id> live_incarnations;
    std::vector<transaction_action> actions;
    std::uint64_t next_claim = 0;
    std::uint64_t next_ticket = 0;
    bool recovered = false;
    bool log_reachable = false;
    std::optional<time_point> claims_blocked_until;
};

} // namespace poplardrift
