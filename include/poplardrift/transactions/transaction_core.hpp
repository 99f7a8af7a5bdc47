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

/// Settings of transactions.
struct transaction_settings
{
    std::string host_secret;                           ///< authenticates tickets
    duration dedupe_window = std::chrono::minutes(10); ///< how long a key is remembered
    duration window_margin = std::chrono::seconds(5);  ///< nothing is sent so close to its end
    duration claim_timeout = std::chrono::seconds(3);  ///< wait for a claim to be read back
    std::size_t kept_answer_bytes = 16 << 10;          ///< largest answer kept for repeats
    std::size_t max_answers_bytes = 64u << 20;         ///< most bytes of answers kept in all
};

/// A caller's non-idempotent request.
struct transaction_request
{
    request_id id;
    workspace_id workspace;
    std::string key; ///< the caller's; empty: it has none and cannot repeat
    request_fingerprint fingerprint;
    bool forwarded = false; ///< another host sent it here: do not send it on
    time_point deadline{};
};

/// Append this to the log. `number` is set for claims, whose append is reported back.
struct append_transaction_record
{
    transaction_record record;
    std::optional<claim_number> number;
};
/// Send the request to an upstream, now, once.
struct run_transaction
{
    request_id id;
    std::string key; ///< to tell the caller, when the host chose it
};
/// Give the caller the answer that the key got before.
struct replay_answer
{
    request_id id;
    transaction_answer answer;
};
/// Let this host answer: the key is its.
struct forward_transaction
{
    request_id id;
    host_id to;
    incarnation_id incarnation;
};

/// Why a transaction is not run.
enum class transaction_refusal : std::uint8_t
{
    log_unreachable,     ///< no claim can be made
    recovering,          ///< claims of the log have not been read yet
    claim_not_confirmed, ///< the claim was not read back in time; it is given up for good
    key_conflict,        ///< the key belongs to another request
    bad_ticket,          ///< not authentic, or of another workspace
    ticket_expired,      ///< older than the window: what it did is no longer known
    owner_gone,          ///< the host that may have run it is gone
    outcome_unknown,     ///< it was sent and its answer never came
    window_passed,       ///< the process was held up past the claim's time
};

/// Tell the caller that its request does not run (again) here.
struct refuse_transaction
{
    request_id id;
    transaction_refusal reason = transaction_refusal::log_unreachable;
};
struct report_transaction_event
{
    event what;
};

using transaction_action =
    std::variant<append_transaction_record, run_transaction, replay_answer, forward_transaction,
                 refuse_transaction, report_transaction_event>;

/// True when the refusal proves that the request did not run and will not.
[[nodiscard]] auto guarantees_not_run(transaction_refusal reason) -> bool;
[[nodiscard]] auto to_text(transaction_refusal reason) -> std::string_view;

/// Nothing left this host for the upstream, or the upstream says so and may be believed.
struct run_not_sent
{
};
/// The upstream's answer.
struct run_answered
{
    transaction_answer answer;
};
/// Sent, and no whole answer came.
struct run_unknown
{
};
using run_result = std::variant<run_not_sent, run_answered, run_unknown>;

/// How an append to the log ended.
enum class append_result : std::uint8_t
{
    appended,
    not_appended, ///< proved: nothing reached the log
    lost,         ///< no answer: it may be on the log or come there later
};

/// What can be told of a key without running anything.
struct key_lookup
{
    enum class state : std::uint8_t
    {
        none, ///< no claim within the window, up to what has been read
        running,
        done,
        unknown,
    };
    state key_state = state::none;
    std::optional<transaction_answer> answer;
    log_offset as_of;
};

/// Decides which requests may run, so that each key runs at most once over all hosts.
///
/// A key that the caller chose is claimed on the log, and the first claim in log order runs, after
/// it has been read back. A key that a host issued is run by the process that issued it only.
/// Free of I/O: events in, actions out. One thread at a time.
class transaction_core final
{
public:
    transaction_core(const transaction_settings& settings, host_id self,
                     incarnation_id incarnation);

    /// A key that only this process may run.
    [[nodiscard]] auto issue_ticket(workspace_id workspace, time_point now) -> std::string;

    auto begin(const transaction_request& request, time_point now) -> void;
    auto on_append(claim_number number, append_result result, time_point now) -> void;
    auto on_record(log_offset offset, log_time time, const transaction_record& record,
                   time_point now) -> void;
    /// The stream has been read to its end as of the start.
    auto on_recovered() -> void;
    /// Records were lost by the log: keys may have been claimed in them.
    auto on_gap(time_point now) -> void;
    auto on_log_reachable(bool reachable) -> void { this->log_reachable = reachable; }
    /// A host's process is known to have ended or to have been replaced.
    auto on_host_gone(host_id host) -> void { this->gone_hosts.insert(host); }
    auto on_host_seen(host_id host, incarnation_id live) -> void;
    auto on_run_result(request_id id, const run_result& result, time_point now) -> void;
    /// The caller hung up. What runs goes on; what waits is given up.
    auto on_caller_gone(request_id id, time_point now) -> void;
    auto on_tick(time_point now) -> void;

    /// True when a claim may still be acted on. To be asked right before sending.
    [[nodiscard]] auto may_send(request_id id, time_point now) const -> bool;
    /// True when the request waits for another one with the same key.
    [[nodiscard]] auto is_joined(request_id id) const -> bool;
    [[nodiscard]] auto lookup(workspace_id workspace, const std::string& key) const -> key_lookup;
    /// Offset up to which the stream has been folded.
    [[nodiscard]] auto applied() const noexcept -> log_offset { return this->table.applied(); }
    /// True while a claim of this process waits to be read back.
    [[nodiscard]] auto has_open_claims() const noexcept -> bool { return !this->claims.empty(); }
    [[nodiscard]] auto is_recovered() const noexcept -> bool { return this->recovered; }

    [[nodiscard]] auto take_actions() -> std::vector<transaction_action>;

private:
    /// A claim of this process that is not settled.
    struct unconfirmed_claim
    {
        transaction_request request;
        transaction_key key;
        time_point started{};
        bool abandoned = false; ///< will never run, whatever the log says
    };

    /// A request that runs here.
    struct active_run
    {
        transaction_key key;
        std::optional<log_offset> claim; ///< nothing for tickets
        time_point started{};            ///< when the claim was sent, or the ticket used
        std::vector<request_id> joined;  ///< repeats that wait for its answer
    };

    /// What became of a ticket's request.
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
    std::map<transaction_key, claim_status>
        unconfirmed_outcomes; ///< ends that are not on the log yet
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
