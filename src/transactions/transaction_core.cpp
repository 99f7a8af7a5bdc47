#include "poplardrift/transactions/transaction_core.hpp"

#include "poplardrift/base/assert.hpp"

#include <algorithm>

namespace poplardrift
{

namespace
{

/// Combines callables into one visitor for std::visit.
template <class... Ts>
struct overloaded : Ts...
{
    using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

} // namespace

auto guarantees_not_run(transaction_refusal reason) -> bool
{
    switch (reason)
    {
    case transaction_refusal::log_unreachable:
    case transaction_refusal::recovering:
    case transaction_refusal::claim_not_confirmed:
    case transaction_refusal::key_conflict:
    case transaction_refusal::bad_ticket:
    case transaction_refusal::window_passed:
        return true;
    case transaction_refusal::ticket_expired:
    case transaction_refusal::owner_gone:
    case transaction_refusal::outcome_unknown:
        return false;
    }
    POPLARDRIFT_ASSERT(false);
    return false;
}

auto to_text(transaction_refusal reason) -> std::string_view
{
    switch (reason)
    {
    case transaction_refusal::log_unreachable:
        return "the platform's log cannot be reached, so the key cannot be claimed";
    case transaction_refusal::recovering:
        return "claims of earlier requests are still being read";
    case transaction_refusal::claim_not_confirmed:
        return "the claim of the key was not confirmed in time and has been given up";
    case transaction_refusal::key_conflict:
        return "the key was used for another request";
    case transaction_refusal::bad_ticket:
        return "the key was not issued by this fleet for this workspace";
    case transaction_refusal::ticket_expired:
        return "the key is older than the window in which keys are remembered";
    case transaction_refusal::owner_gone:
        return "the host that may have run the request is gone";
    case transaction_refusal::outcome_unknown:
        return "the request was sent and its answer never came";
    case transaction_refusal::window_passed:
        return "the claim of the key had grown too old before the request could be sent";
    }
    POPLARDRIFT_ASSERT(false);
    return "";
}

transaction_core::transaction_core(const transaction_settings& settings, host_id self,
                                   incarnation_id incarnation)
    : settings(settings), self(self), incarnation(incarnation),
      table({std::chrono::duration_cast<log_time>(settings.dedupe_window),
             settings.max_answers_bytes})
{
}

auto transaction_core::take_actions() -> std::vector<transaction_action>
{
    return std::exchange(this->actions, {});
}

auto transaction_core::report_event(event_code code, std::string detail) -> void
{
    this->actions.emplace_back(report_transaction_event{{code, std::move(detail)}});
}

auto transaction_core::refuse(request_id id, transaction_refusal reason) -> void
{
    this->actions.emplace_back(refuse_transaction{id, reason});
}

auto transaction_core::without_large_body(const transaction_answer& answer) const
    -> transaction_answer
{
    if (answer.body.size() <= this->settings.kept_answer_bytes)
    {
        return answer;
    }
    return {answer.status, answer.content_type, "", false};
}

auto transaction_core::on_recovered() -> void
{
    if (!this->recovered)
    {
        this->recovered = true;
        this->report_event(event_code::transaction_recovered,
                           "through offset " + std::to_string(this->applied().value()));
    }
}

auto transaction_core::on_gap(time_point now) -> void
{
    this->claims_blocked_until = now + this->settings.dedupe_window;
}

auto transaction_core::on_host_seen(host_id host, incarnation_id seen) -> void
{
    this->gone_hosts.erase(host);
    this->live_incarnations[host] = seen;
}

// Starting requests.

auto transaction_core::issue_ticket(workspace_id workspace, time_point now) -> std::string
{
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    return format_ticket({this->self, this->incarnation, ++this->next_ticket, seconds, workspace},
                         this->settings.host_secret);
}

auto transaction_core::begin(const transaction_request& request, time_point now) -> void
{
    if (request.key.empty())
    {
        // Without a key the caller cannot retry, so a ticket issued here is sufficient.
        auto ticket_request = request;
        ticket_request.key = this->issue_ticket(request.workspace, now);
        this->begin_ticket(ticket_request, now);
    }
    else if (looks_like_ticket(request.key))
    {
        this->begin_ticket(request, now);
    }
    else
    {
        this->begin_claim(request, now);
    }
}

auto transaction_core::begin_ticket(const transaction_request& request, time_point now) -> void
{
    const auto item = parse_ticket(request.key, this->settings.host_secret);
    if (!item || item->workspace != request.workspace)
    {
        this->refuse(request.id, transaction_refusal::bad_ticket);
        return;
    }
    if (item->host != this->self || item->incarnation != this->incarnation)
    {
        // Only the process that issued the ticket may run it.
        const auto seen = this->live_incarnations.find(item->host);
        const auto replaced = item->host == this->self || (seen != this->live_incarnations.end() &&
                                                           seen->second != item->incarnation);
        if (request.forwarded || replaced || this->gone_hosts.contains(item->host))
        {
            this->refuse(request.id, transaction_refusal::owner_gone);
            return;
        }
        this->actions.emplace_back(forward_transaction{request.id, item->host, item->incarnation});
        return;
    }
    const auto issued = time_point(std::chrono::seconds(item->issued_seconds));
    const auto key = make_transaction_key(request.workspace, request.key);
    const auto found = this->tickets.find(key);
    if (found == this->tickets.end() && now - issued >= this->settings.dedupe_window)
    {
        this->refuse(request.id, transaction_refusal::ticket_expired);
        return;
    }
    if (found == this->tickets.end())
    {
        this->tickets.emplace(key,
                              ticket_entry{request.fingerprint, now, request.id, claim_open{}});
        this->start_run(request, {key, std::nullopt, now, {}});
        return;
    }
    if (found->second.fingerprint != request.fingerprint)
    {
        this->refuse(request.id, transaction_refusal::key_conflict);
    }
    else if (found->second.runner)
    {
        this->join(request, *found->second.runner);
    }
    else
    {
        this->reply_from_status(request, found->second.status);
    }
}

auto transaction_core::begin_claim(const transaction_request& request, time_point now) -> void
{
    const auto key = make_transaction_key(request.workspace, request.key);
    const auto* winner = this->table.find(key);
    if (winner != nullptr)
    {
        this->reply_for_claimed_key(request, *winner);
        return;
    }
    if (!this->recovered || (this->claims_blocked_until && now < *this->claims_blocked_until))
    {
        this->refuse(request.id, transaction_refusal::recovering);
        return;
    }
    if (!this->log_reachable)
    {
        this->refuse(request.id, transaction_refusal::log_unreachable);
        return;
    }
    const claim_number number{++this->next_claim};
    this->claims.emplace(number, unconfirmed_claim{request, key, now});
    this->actions.emplace_back(append_transaction_record{
        claim_record{key, request.fingerprint, this->self, this->incarnation, number}, number});
}

/// Replays, joins, forwards or refuses a request whose key is already claimed.
auto transaction_core::reply_for_claimed_key(const transaction_request& request,
                                             const winning_claim& winner) -> void
{
    if (winner.fingerprint != request.fingerprint)
    {
        this->refuse(request.id, transaction_refusal::key_conflict);
        return;
    }
    if (!std::holds_alternative<claim_open>(winner.status))
    {
        this->reply_from_status(request, winner.status);
        return;
    }
    const auto is_own = winner.host == this->self && winner.incarnation == this->incarnation;
    if (is_own)
    {
        const auto key = make_transaction_key(request.workspace, request.key);
        const auto local_outcome = this->unconfirmed_outcomes.find(key);
        if (local_outcome != this->unconfirmed_outcomes.end())
        {
            this->reply_from_status(request, local_outcome->second);
            return;
        }
        const auto runner = this->runner_of_key.find(key);
        if (runner != this->runner_of_key.end())
        {
            this->join(request, runner->second);
        }
        else
        {
            // This process abandoned the claim; its void record is not yet on the log.
            this->refuse(request.id, transaction_refusal::claim_not_confirmed);
        }
        return;
    }
    const auto seen = this->live_incarnations.find(winner.host);
    const auto replaced = winner.host == this->self || (seen != this->live_incarnations.end() &&
                                                        seen->second != winner.incarnation);
    if (request.forwarded || replaced || this->gone_hosts.contains(winner.host))
    {
        this->report_event(event_code::transaction_unknown,
                           "key " + make_transaction_key(request.workspace, request.key).value());
        this->refuse(request.id, transaction_refusal::owner_gone);
        return;
    }
    this->actions.emplace_back(forward_transaction{request.id, winner.host, winner.incarnation});
}

auto transaction_core::join(const transaction_request& request, request_id runner) -> void
{
    const auto found = this->runs.find(runner);
    POPLARDRIFT_ASSERT(found != this->runs.end());
    found->second.joined.push_back(request.id);
}

auto transaction_core::reply_from_status(const transaction_request& request,
                                         const claim_status& status) -> void
{
    if (const auto* done = std::get_if<claim_done>(&status))
    {
        this->actions.emplace_back(replay_answer{request.id, done->answer});
        return;
    }
    this->refuse(request.id, transaction_refusal::outcome_unknown);
}

auto transaction_core::start_run(const transaction_request& request, active_run item) -> void
{
    this->runner_of_key[item.key] = request.id;
    this->runs.emplace(request.id, std::move(item));
    this->actions.emplace_back(run_transaction{request.id, request.key});
}

// Claims.

auto transaction_core::abandon(unconfirmed_claim& claim, transaction_refusal reason) -> void
{
    if (claim.abandoned)
    {
        return;
    }
    claim.abandoned = true;
    this->report_event(event_code::transaction_abandoned, "key " + claim.key.value());
    // The log may have granted the key to another claim in the meantime, whose request may have
    // run.
    if (const auto* winner = this->table.find(claim.key))
    {
        this->reply_for_claimed_key(claim.request, *winner);
        return;
    }
    this->refuse(claim.request.id, reason);
}

auto transaction_core::on_append(claim_number number, append_result result, time_point now) -> void
{
    (void)now;
    const auto found = this->claims.find(number);
    if (found == this->claims.end() || result != append_result::not_appended)
    {
        // Wait until the claim is read back, also when the append result is unknown.
        return;
    }
    if (!found->second.abandoned)
    {
        this->refuse(found->second.request.id, transaction_refusal::log_unreachable);
    }
    this->claims.erase(found);
}

auto transaction_core::on_record(log_offset offset, log_time time, const transaction_record& record,
                                 time_point now) -> void
{
    const auto winner = this->table.apply(offset, time, record);
    std::erase_if(this->unconfirmed_outcomes,
                  [&](const auto& item)
                  {
                      const auto* known = this->table.find(item.first);
                      return known == nullptr || !std::holds_alternative<claim_open>(known->status);
                  });
    const auto* claim = std::get_if<claim_record>(&record);
    const auto is_own = claim != nullptr && winner && claim->host == this->self &&
                        claim->incarnation == this->incarnation;
    if (is_own)
    {
        this->on_own_claim(claim->number, *winner, now);
    }
}

auto transaction_core::on_own_claim(claim_number number, const winning_claim& winner,
                                    time_point now) -> void
{
    const auto found = this->claims.find(number);
    if (found == this->claims.end())
    {
        return;
    }
    const auto claim = found->second;
    this->claims.erase(found);
    const auto won = winner.host == this->self && winner.incarnation == this->incarnation &&
                     winner.number == number;
    if (!won)
    {
        this->report_event(event_code::transaction_lost, "key " + claim.key.value());
        if (!claim.abandoned)
        {
            this->reply_for_claimed_key(claim.request, winner);
        }
        return;
    }
    if (claim.abandoned)
    {
        // The claim was abandoned before it was read back, so free the key.
        this->actions.emplace_back(
            append_transaction_record{void_record{claim.key, winner.offset}, std::nullopt});
        return;
    }
    this->report_event(event_code::transaction_claimed, "key " + claim.key.value());
    this->start_run(claim.request, {claim.key, winner.offset, claim.started, {}});
    (void)now;
}

auto transaction_core::may_send(request_id id, time_point now) const -> bool
{
    const auto found = this->runs.find(id);
    return found != this->runs.end() &&
           now - found->second.started <
               this->settings.dedupe_window - this->settings.window_margin;
}

// Outcomes.

auto transaction_core::record_claim_outcome(const active_run& item, const run_result& result)
    -> void
{
    const auto claim = *item.claim;
    const auto record = std::visit(
        overloaded{[&](const run_not_sent&) -> transaction_record {
                       return void_record{item.key, claim};
                   },
                   [&](const run_answered& done) -> transaction_record {
                       return done_record{item.key, claim, this->without_large_body(done.answer)};
                   },
                   [&](const run_unknown&) -> transaction_record {
                       return unknown_record{item.key, claim};
                   }},
        result);
    // Until the outcome record is read back, only this process knows the outcome.
    if (const auto* done = std::get_if<run_answered>(&result))
    {
        this->unconfirmed_outcomes[item.key] = claim_done{this->without_large_body(done->answer)};
    }
    else if (std::holds_alternative<run_unknown>(result))
    {
        this->unconfirmed_outcomes[item.key] = claim_unknown{};
    }
    this->actions.emplace_back(append_transaction_record{record, std::nullopt});
}

auto transaction_core::record_ticket_outcome(const transaction_key& key, const run_result& result)
    -> void
{
    const auto found = this->tickets.find(key);
    POPLARDRIFT_ASSERT(found != this->tickets.end());
    found->second.runner.reset();
    std::visit(overloaded{[&](const run_not_sent&) { this->tickets.erase(found); },
                          [&](const run_answered& done) {
                              found->second.status =
                                  claim_done{this->without_large_body(done.answer)};
                          },
                          [&](const run_unknown&) { found->second.status = claim_unknown{}; }},
               result);
}

auto transaction_core::on_run_result(request_id id, const run_result& result, time_point now)
    -> void
{
    (void)now;
    const auto found = this->runs.find(id);
    POPLARDRIFT_ASSERT(found != this->runs.end());
    const auto item = std::move(found->second);
    this->runs.erase(found);
    this->runner_of_key.erase(item.key);
    if (item.claim)
    {
        this->record_claim_outcome(item, result);
    }
    else
    {
        this->record_ticket_outcome(item.key, result);
    }
    // Waiting duplicates get the same outcome.
    for (const auto& joined : item.joined)
    {
        std::visit(overloaded{[&](const run_not_sent&)
                              { this->refuse(joined, transaction_refusal::claim_not_confirmed); },
                              [&](const run_answered& done) {
                                  this->actions.emplace_back(replay_answer{joined, done.answer});
                              },
                              [&](const run_unknown&)
                              { this->refuse(joined, transaction_refusal::outcome_unknown); }},
                   result);
    }
}

auto transaction_core::on_caller_gone(request_id id, time_point now) -> void
{
    (void)now;
    for (auto& [number, claim] : this->claims)
    {
        if (claim.request.id == id)
        {
            this->abandon(claim, transaction_refusal::claim_not_confirmed);
        }
    }
    for (auto& [runner, item] : this->runs)
    {
        std::erase(item.joined, id);
    }
}

auto transaction_core::on_tick(time_point now) -> void
{
    for (auto& [number, claim] : this->claims)
    {
        const auto late =
            now - claim.started >= this->settings.claim_timeout || now >= claim.request.deadline;
        if (late)
        {
            this->abandon(claim, transaction_refusal::claim_not_confirmed);
        }
    }
    // Abandoned claims are kept for two dedupe windows, so that one that appears late is voided.
    std::erase_if(this->claims,
                  [&](const auto& item) {
                      return item.second.abandoned &&
                             now - item.second.started > 2 * this->settings.dedupe_window;
                  });
    std::erase_if(this->tickets,
                  [&](const auto& item)
                  {
                      const auto old = now - item.second.used >= this->settings.dedupe_window;
                      return old && !item.second.runner;
                  });
}

auto transaction_core::is_joined(request_id id) const -> bool
{
    return std::any_of(this->runs.begin(), this->runs.end(),
                       [&](const auto& item)
                       {
                           const auto& joined = item.second.joined;
                           return std::find(joined.begin(), joined.end(), id) != joined.end();
                       });
}

auto transaction_core::lookup(workspace_id workspace, const std::string& key) const -> key_lookup
{
    const auto hashed = make_transaction_key(workspace, key);
    key_lookup result;
    result.as_of = this->applied();
    const claim_status* status = nullptr;
    if (const auto ticket_found = this->tickets.find(hashed); ticket_found != this->tickets.end())
    {
        status = &ticket_found->second.status;
    }
    else if (const auto local_outcome = this->unconfirmed_outcomes.find(hashed);
             local_outcome != this->unconfirmed_outcomes.end())
    {
        status = &local_outcome->second;
    }
    else if (const auto* winner = this->table.find(hashed))
    {
        status = &winner->status;
    }
    if (status == nullptr)
    {
        return result;
    }
    std::visit(overloaded{[&](const claim_open&) { result.key_state = key_lookup::state::running; },
                          [&](const claim_done& done)
                          {
                              result.key_state = key_lookup::state::done;
                              result.answer = done.answer;
                          },
                          [&](const claim_unknown&)
                          { result.key_state = key_lookup::state::unknown; }},
               *status);
    return result;
}

} // namespace poplardrift
