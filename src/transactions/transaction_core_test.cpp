#include "poplardrift/transactions/transaction_core.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <random>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

const std::string secret = "a secret of the hosts";
const workspace_id workspace{5};
constexpr std::size_t host_count = 3;
/// Limits the 10 s pauses in a schedule so that it stays within the dedupe window of 60 s, after
/// which a key may run again by design.
constexpr int max_pauses = 3;

auto make_settings() -> transaction_settings
{
    transaction_settings settings;
    settings.host_secret = secret;
    settings.dedupe_window = 60s;
    return settings;
}

/// One event or fault of a schedule.
struct schedule_step
{
    int kind = 0;
    std::size_t host = 0;
    int choice = 0;
};

/// Simulates hosts, the log and a service step by step, with restarts, pauses, log outages and lost
/// append results.
class transaction_simulation final
{
public:
    transaction_simulation()
    {
        for (std::size_t index = 0; index < host_count; ++index)
        {
            this->restart(index);
        }
    }

    auto run(const schedule_step& step) -> void
    {
        this->now += 200ms;
        switch (step.kind % 9)
        {
        case 0:
        case 1:
            this->send_request(step.host, step.choice);
            break;
        case 2:
            this->append_next(step.host, step.choice);
            break;
        case 3:
        case 4:
            this->read(step.host);
            break;
        case 5:
            this->finish_run(step.host, step.choice);
            break;
        case 6:
            this->log_up = step.choice % 2 == 0;
            break;
        case 7:
            if (step.choice % 4 == 0)
            {
                this->restart(step.host);
            }
            else if (step.choice % 4 == 1 && this->pauses < max_pauses)
            {
                ++this->pauses;
                this->now += 10s;
            }
            break;
        default:
            this->tick();
        }
        this->collect();
    }

    /// True while no key ran twice and no request ran after it was refused as not run.
    [[nodiscard]] auto holds_invariants() const -> bool
    {
        for (const auto& [key, count] : this->executions)
        {
            if (count > 1)
            {
                return false;
            }
        }
        return !this->contradicted_refusal;
    }

    std::map<std::string, int> executions;
    bool contradicted_refusal = false;
    int answered = 0;

private:
    struct simulated_host
    {
        std::unique_ptr<transaction_core> core;
        incarnation_id incarnation;
        std::vector<append_transaction_record> outgoing;
        std::map<request_id, std::string> running;
        std::set<std::string> executed_keys; ///< keys run by this process
        std::uint64_t read_to = 0;
    };

    auto restart(std::size_t index) -> void
    {
        auto& host = this->hosts[index];
        host = {};
        host.incarnation = incarnation_id{++this->incarnations};
        host.core = std::make_unique<transaction_core>(
            make_settings(), host_id{static_cast<std::uint32_t>(index + 1)}, host.incarnation);
        for (std::size_t other = 0; other < host_count; ++other)
        {
            if (this->hosts[other].core)
            {
                this->hosts[other].core->on_host_seen(
                    host_id{static_cast<std::uint32_t>(index + 1)}, host.incarnation);
            }
        }
    }

    auto send_request(std::size_t index, int choice) -> void
    {
        const auto key = "key-" + std::to_string(choice % 3);
        transaction_request request;
        request.id = request_id{++this->requests};
        request.workspace = workspace;
        request.key = key;
        request.fingerprint = request_fingerprint{"same"};
        request.deadline = this->now + 5s;
        this->keys[request.id] = key;
        this->hosts[index].core->begin(request, this->now);
    }

    auto append_next(std::size_t index, int choice) -> void
    {
        auto& host = this->hosts[index];
        if (host.outgoing.empty())
        {
            return;
        }
        const auto item = host.outgoing.front();
        host.outgoing.erase(host.outgoing.begin());
        if (!this->log_up)
        {
            if (item.number)
            {
                host.core->on_append(*item.number, append_result::not_appended, this->now);
            }
            else
            {
                host.outgoing.push_back(item);
            }
            return;
        }
        this->log.push_back(
            {std::chrono::duration_cast<log_time>(this->now.time_since_epoch()), item.record});
        const auto lost = choice % 3 == 0;
        if (item.number)
        {
            host.core->on_append(*item.number, lost ? append_result::lost : append_result::appended,
                                 this->now);
        }
        else if (lost)
        {
            host.outgoing.push_back(item);
        }
    }

    auto read(std::size_t index) -> void
    {
        auto& host = this->hosts[index];
        host.core->on_log_reachable(this->log_up);
        if (!this->log_up)
        {
            return;
        }
        for (; host.read_to < this->log.size(); ++host.read_to)
        {
            const auto& item = this->log[host.read_to];
            host.core->on_record(log_offset{host.read_to + 1}, item.first, item.second, this->now);
        }
        host.core->on_recovered();
    }

    auto finish_run(std::size_t index, int choice) -> void
    {
        auto& host = this->hosts[index];
        if (host.running.empty())
        {
            return;
        }
        const auto [id, key] = *host.running.begin();
        host.running.erase(host.running.begin());
        if (!host.core->may_send(id, this->now) || choice % 4 == 0)
        {
            host.core->on_run_result(id, run_not_sent{}, this->now);
            return;
        }
        ++this->executions[key];
        host.executed_keys.insert(key);
        this->contradicted_refusal = this->contradicted_refusal || this->refused.contains(id);
        const auto result = choice % 4 == 1
                                ? run_result{run_unknown{}}
                                : run_result{run_answered{{200, "text/plain", key, true}}};
        host.core->on_run_result(id, result, this->now);
    }

    auto tick() -> void
    {
        for (auto& host : this->hosts)
        {
            host.core->on_tick(this->now);
        }
    }

    auto collect() -> void
    {
        for (auto& host : this->hosts)
        {
            for (auto& action : host.core->take_actions())
            {
                if (const auto* append = std::get_if<append_transaction_record>(&action))
                {
                    host.outgoing.push_back(*append);
                }
                else if (const auto* run = std::get_if<run_transaction>(&action))
                {
                    host.running[run->id] = this->keys[run->id];
                }
                else if (const auto* refusal = std::get_if<refuse_transaction>(&action))
                {
                    if (guarantees_not_run(refusal->reason))
                    {
                        this->refused.insert(refusal->id);
                        // A process that ran a key must not report it as not run.
                        const auto ran_here =
                            refusal->reason == transaction_refusal::claim_not_confirmed &&
                            host.executed_keys.contains(this->keys[refusal->id]);
                        this->contradicted_refusal = this->contradicted_refusal || ran_here;
                    }
                }
                else if (std::holds_alternative<replay_answer>(action))
                {
                    ++this->answered;
                }
            }
        }
    }

    std::array<simulated_host, host_count> hosts;
    std::vector<std::pair<log_time, transaction_record>> log;
    std::map<request_id, std::string> keys;
    std::set<request_id> refused;
    bool log_up = true;
    time_point now = time_point(1000s);
    std::uint64_t requests = 0;
    std::uint64_t incarnations = 0;
    int pauses = 0;
};

auto schedule_holds_invariants(const std::vector<std::tuple<int, int, int>>& schedule) -> bool
{
    transaction_simulation world;
    for (const auto& [kind, host, choice] : schedule)
    {
        world.run({kind, static_cast<std::size_t>(host) % host_count, choice});
    }
    return world.holds_invariants();
}

/// Returns a core that has read an empty log.
auto make_ready_core(std::uint32_t host = 1) -> transaction_core
{
    transaction_core core(make_settings(), host_id{host}, incarnation_id{host});
    core.on_log_reachable(true);
    core.on_recovered();
    (void)core.take_actions();
    return core;
}

auto make_request(std::uint64_t id, const std::string& key, const std::string& fingerprint = "f")
    -> transaction_request
{
    transaction_request request;
    request.id = request_id{id};
    request.workspace = workspace;
    request.key = key;
    request.fingerprint = request_fingerprint{fingerprint};
    request.deadline = time_point(1000s);
    return request;
}

/// Returns the first action of the given type, if any.
template <class Action>
auto find_action(const std::vector<transaction_action>& actions) -> std::optional<Action>
{
    for (const auto& action : actions)
    {
        if (const auto* found = std::get_if<Action>(&action))
        {
            return *found;
        }
    }
    return std::nullopt;
}

const time_point start = time_point(100s);

/// Claims a key, reads the claim back and returns true when the request may run.
auto claim_and_run(transaction_core& core, std::uint64_t id, std::uint64_t offset) -> bool
{
    core.begin(make_request(id, "k"), start);
    const auto append = find_action<append_transaction_record>(core.take_actions());
    if (!append)
    {
        return false;
    }
    core.on_record(log_offset{offset}, log_time{1}, append->record, start);
    return find_action<run_transaction>(core.take_actions()).has_value();
}

} // namespace

TEST_CASE("no key runs twice in random schedules of crashes, lost answers, outages and pauses")
{
    // Seeds are fixed. POPLARDRIFT_SCHEDULES sets the number of schedules.
    const auto* requested = std::getenv("POPLARDRIFT_SCHEDULES");
    const auto count = requested == nullptr ? 3000 : std::atoi(requested);
    int answered = 0;
    for (int seed = 1; seed <= count; ++seed)
    {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        transaction_simulation world;
        for (int step = 0; step < 120; ++step)
        {
            world.run({static_cast<int>(random() % 9), random() % host_count,
                       static_cast<int>(random() % 64)});
        }
        INFO("seed " << seed);
        REQUIRE(world.holds_invariants());
        answered += world.answered;
    }
    // Ensures that the schedules make progress.
    CHECK(answered > count / 10);
}

TEST_CASE("no key runs twice in schedules that RapidCheck generates and shrinks")
{
    setenv("RC_PARAMS", "seed=7 max_success=200 max_size=120", 0);
    const auto result = rc::check("each key runs at most once",
                                  [](const std::vector<std::tuple<int, int, int>>& raw)
                                  {
                                      auto schedule = raw;
                                      for (auto& [kind, host, choice] : schedule)
                                      {
                                          kind = std::abs(kind % 9);
                                          host = std::abs(host % 3);
                                          choice = std::abs(choice % 64);
                                      }
                                      RC_ASSERT(schedule_holds_invariants(schedule));
                                  });
    CHECK(result);
}

TEST_CASE("a claim runs only after it has been read back")
{
    auto core = make_ready_core();
    core.begin(make_request(1, "k"), start);
    auto actions = core.take_actions();
    const auto append = find_action<append_transaction_record>(actions);
    REQUIRE(append);
    CHECK_FALSE(find_action<run_transaction>(actions));
    core.on_append(*append->number, append_result::lost, start);
    CHECK(core.take_actions().empty());
    core.on_record(log_offset{1}, log_time{1}, append->record, start);
    CHECK(find_action<run_transaction>(core.take_actions()));
}

TEST_CASE("an abandoned claim never runs and is voided when it appears on the log")
{
    auto core = make_ready_core();
    core.begin(make_request(1, "k"), start);
    const auto append = find_action<append_transaction_record>(core.take_actions());
    core.on_append(*append->number, append_result::lost, start);
    core.on_tick(start + 10s);
    const auto refusal = find_action<refuse_transaction>(core.take_actions());
    REQUIRE(refusal);
    CHECK(guarantees_not_run(refusal->reason));
    core.on_record(log_offset{1}, log_time{1}, append->record, start + 11s);
    const auto actions = core.take_actions();
    CHECK_FALSE(find_action<run_transaction>(actions));
    const auto voided = find_action<append_transaction_record>(actions);
    REQUIRE(voided);
    CHECK(std::holds_alternative<void_record>(voided->record));
}

TEST_CASE("a duplicate request gets the stored answer on every host; a different request with the "
          "same key is refused")
{
    auto first = make_ready_core(1);
    auto second = make_ready_core(2);
    REQUIRE(claim_and_run(first, 1, 1));
    // A duplicate on the same host waits for the running request.
    first.begin(make_request(2, "k"), start);
    CHECK(first.take_actions().empty());
    first.on_run_result(request_id{1}, run_answered{{201, "text/plain", "booked", true}}, start);
    const auto actions = first.take_actions();
    CHECK(find_action<replay_answer>(actions)->answer.body == "booked");
    const auto done = find_action<append_transaction_record>(actions);
    // The other host reads the claim from the log.
    second.on_record(log_offset{1}, log_time{1},
                     claim_record{make_transaction_key(workspace, "k"), request_fingerprint{"f"},
                                  host_id{1}, incarnation_id{1}, claim_number{1}},
                     start);
    second.begin(make_request(3, "k"), start);
    CHECK(find_action<forward_transaction>(second.take_actions())->to == host_id{1});
    second.on_record(log_offset{2}, log_time{2}, done->record, start);
    second.begin(make_request(4, "k"), start);
    CHECK(find_action<replay_answer>(second.take_actions())->answer.status == 201);
    second.begin(make_request(5, "k", "another"), start);
    CHECK(find_action<refuse_transaction>(second.take_actions())->reason ==
          transaction_refusal::key_conflict);
    // The same key text in another workspace is a different key.
    auto other = make_request(6, "k");
    other.workspace = workspace_id{6};
    second.begin(other, start);
    CHECK(find_action<append_transaction_record>(second.take_actions()));
}

TEST_CASE(
    "a duplicate gets the outcome before it is read back from the log, never a not-run refusal")
{
    auto core = make_ready_core();
    REQUIRE(claim_and_run(core, 1, 1));
    core.on_run_result(request_id{1}, run_answered{{201, "text/plain", "booked", true}}, start);
    (void)core.take_actions();
    core.begin(make_request(2, "k"), start);
    const auto replay = find_action<replay_answer>(core.take_actions());
    REQUIRE(replay);
    CHECK(replay->answer.body == "booked");
    CHECK(core.lookup(workspace, "k").key_state == key_lookup::state::done);
    // The same holds when no answer arrived.
    auto other = make_ready_core();
    REQUIRE(claim_and_run(other, 1, 1));
    other.on_run_result(request_id{1}, run_unknown{}, start);
    (void)other.take_actions();
    other.begin(make_request(2, "k"), start);
    CHECK(find_action<refuse_transaction>(other.take_actions())->reason ==
          transaction_refusal::outcome_unknown);
}

TEST_CASE("a request whose owner process was replaced is not run again; its outcome is unknown")
{
    auto second = make_ready_core(2);
    second.on_record(log_offset{1}, log_time{1},
                     claim_record{make_transaction_key(workspace, "k"), request_fingerprint{"f"},
                                  host_id{1}, incarnation_id{1}, claim_number{1}},
                     start);
    second.on_host_seen(host_id{1}, incarnation_id{2});
    second.begin(make_request(1, "k"), start);
    const auto refusal = find_action<refuse_transaction>(second.take_actions());
    REQUIRE(refusal);
    CHECK(refusal->reason == transaction_refusal::owner_gone);
    CHECK_FALSE(guarantees_not_run(refusal->reason));
}

TEST_CASE("a ticket runs without the log, and only on the process that issued it")
{
    transaction_core first(make_settings(), host_id{1}, incarnation_id{1});
    const auto key = first.issue_ticket(workspace, start);
    first.begin(make_request(1, key), start);
    CHECK(find_action<run_transaction>(first.take_actions()));
    first.on_run_result(request_id{1}, run_unknown{}, start);
    first.begin(make_request(2, key), start);
    CHECK(find_action<refuse_transaction>(first.take_actions())->reason ==
          transaction_refusal::outcome_unknown);
    transaction_core second(make_settings(), host_id{2}, incarnation_id{1});
    second.begin(make_request(3, key), start);
    CHECK(find_action<forward_transaction>(second.take_actions())->to == host_id{1});
    transaction_core replaced(make_settings(), host_id{1}, incarnation_id{9});
    replaced.begin(make_request(4, key), start);
    CHECK(find_action<refuse_transaction>(replaced.take_actions())->reason ==
          transaction_refusal::owner_gone);
    // A ticket with a changed MAC is refused.
    auto forged = make_request(5, key.substr(0, key.size() - 1) + (key.back() == '0' ? '1' : '0'));
    second.begin(forged, start);
    CHECK(find_action<refuse_transaction>(second.take_actions())->reason ==
          transaction_refusal::bad_ticket);
}

TEST_CASE("a caller's key is refused as not run while the log is unreachable")
{
    auto core = make_ready_core();
    core.on_log_reachable(false);
    core.begin(make_request(1, "k"), start);
    const auto refusal = find_action<refuse_transaction>(core.take_actions());
    REQUIRE(refusal);
    CHECK(refusal->reason == transaction_refusal::log_unreachable);
    CHECK(guarantees_not_run(refusal->reason));
}

TEST_CASE("a restarted host refuses callers' keys until it has read the existing claims")
{
    transaction_core core(make_settings(), host_id{1}, incarnation_id{1});
    core.on_log_reachable(true);
    core.begin(make_request(1, "k"), start);
    CHECK(find_action<refuse_transaction>(core.take_actions())->reason ==
          transaction_refusal::recovering);
}

TEST_CASE("after the log lost records, keys are refused for one dedupe window")
{
    auto core = make_ready_core();
    core.on_gap(start);
    core.begin(make_request(1, "k"), start + 1s);
    CHECK(find_action<refuse_transaction>(core.take_actions())->reason ==
          transaction_refusal::recovering);
    core.begin(make_request(2, "k"), start + 61s);
    CHECK(find_action<append_transaction_record>(core.take_actions()));
}

TEST_CASE("a request is not sent when its claim became too old during a pause")
{
    auto core = make_ready_core();
    REQUIRE(claim_and_run(core, 1, 1));
    CHECK(core.may_send(request_id{1}, start + 50s));
    CHECK_FALSE(core.may_send(request_id{1}, start + 56s));
}

TEST_CASE("a key can be claimed again after the dedupe window has passed on the log's clock")
{
    auto core = make_ready_core();
    REQUIRE(claim_and_run(core, 1, 1));
    core.on_run_result(request_id{1}, run_unknown{}, start);
    (void)core.take_actions();
    core.on_record(log_offset{2}, log_time{60'001},
                   void_record{transaction_key{"x"}, log_offset{1}}, start + 60s);
    core.begin(make_request(2, "k"), start + 61s);
    CHECK(find_action<append_transaction_record>(core.take_actions()));
}
