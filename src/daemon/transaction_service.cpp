#include "daemon/transaction_service.hpp"

#include "net/clock.hpp"

namespace poplardrift
{

namespace
{

constexpr const char* transaction_stream = "transactions";
/// Interval of log reads while this host has no open claims.
constexpr duration idle_read_interval = std::chrono::seconds(4);
constexpr duration log_retry_delay = std::chrono::milliseconds(200);
/// Longest time that outcome records wait for a claim to share an append with.
constexpr duration outcome_batch_delay = std::chrono::milliseconds(400);
constexpr duration tick_interval = std::chrono::milliseconds(50);
constexpr std::size_t max_records_per_batch = 500;

} // namespace

transaction_service::transaction_service(const daemon_settings& settings,
                                         incarnation_id incarnation, event_log& log,
                                         metrics& process_metrics,
                                         std::function<void(std::size_t)> on_log_bytes)
    : settings(settings), log(log), process_metrics(process_metrics),
      on_log_bytes(std::move(on_log_bytes)),
      core(settings.transactions, make_host_id(settings.host.name), incarnation)
{
}

transaction_service::~transaction_service()
{
    this->stop();
}

auto transaction_service::start() -> void
{
    this->writer = std::thread([this] { this->write_loop(); });
    this->reader = std::thread([this] { this->read_loop(); });
}

auto transaction_service::stop() -> void
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->outgoing_changed.notify_all();
    this->stop_requested.notify_all();
    if (this->writer.joinable())
    {
        this->writer.join();
        this->reader.join();
    }
}

auto transaction_service::complete_wait(request_id id, transaction_decision decision) -> void
{
    const auto found = this->waits.find(id);
    if (found == this->waits.end())
    {
        return;
    }
    found->second->decision = std::move(decision);
    found->second->changed.notify_one();
    this->waits.erase(found);
}

auto transaction_service::execute_actions() -> void
{
    for (auto& action : this->core.take_actions())
    {
        if (auto* append = std::get_if<append_transaction_record>(&action))
        {
            this->outgoing.push_back(std::move(*append));
            this->outgoing_changed.notify_one();
        }
        else if (auto* run = std::get_if<run_transaction>(&action))
        {
            this->complete_wait(run->id, *run);
        }
        else if (auto* replay = std::get_if<replay_answer>(&action))
        {
            this->complete_wait(replay->id, *replay);
        }
        else if (auto* forward = std::get_if<forward_transaction>(&action))
        {
            this->complete_wait(forward->id, *forward);
        }
        else if (auto* refusal = std::get_if<refuse_transaction>(&action))
        {
            this->complete_wait(refusal->id, *refusal);
        }
        else if (auto* item = std::get_if<report_transaction_event>(&action))
        {
            this->log.write(item->event_data);
            this->process_metrics.count_event(std::string(describe(item->event_data.code).name));
        }
    }
}

auto transaction_service::begin(const transaction_request& request) -> transaction_decision
{
    wait_handle handle;
    std::unique_lock lock(this->mutex);
    this->waits.emplace(request.id, &handle);
    this->core.begin(request, monotonic_now());
    this->execute_actions();
    const auto until = std::chrono::steady_clock::time_point(request.deadline.time_since_epoch());
    handle.changed.wait_until(lock, until, [&] { return handle.decision.has_value(); });
    if (!handle.decision)
    {
        // The deadline passed: abandon an unconfirmed claim. A duplicate of a running request gets
        // `outcome_unknown`, because that request may still take effect.
        const auto joined = this->core.is_joined(request.id);
        this->core.on_caller_gone(request.id, monotonic_now());
        this->execute_actions();
        this->waits.erase(request.id);
        const auto reason = joined ? transaction_refusal::outcome_unknown
                                   : transaction_refusal::claim_not_confirmed;
        return handle.decision.value_or(refuse_transaction{request.id, reason});
    }
    return *handle.decision;
}

auto transaction_service::may_send(request_id id) -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->core.may_send(id, monotonic_now());
}

auto transaction_service::on_run_result(request_id id, const run_result& result) -> void
{
    const std::lock_guard lock(this->mutex);
    this->core.on_run_result(id, result, monotonic_now());
    this->execute_actions();
}

auto transaction_service::issue_ticket(workspace_id workspace) -> std::string
{
    const std::lock_guard lock(this->mutex);
    return this->core.issue_ticket(workspace, monotonic_now());
}

auto transaction_service::lookup(workspace_id workspace, const std::string& key) -> key_lookup
{
    const std::lock_guard lock(this->mutex);
    return this->core.lookup(workspace, key);
}

auto transaction_service::on_hosts(const host_directory& hosts) -> void
{
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, item] : hosts.hosts)
    {
        if (item.status == member_status::absent)
        {
            this->core.on_host_gone(id);
        }
        else if (item.heartbeat_received)
        {
            this->core.on_host_seen(id, item.incarnation);
        }
    }
}

auto transaction_service::is_recovered() -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->core.is_recovered();
}

auto transaction_service::is_flushed() -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->outgoing.empty() && !this->writing;
}

auto transaction_service::has_outgoing_claim() const -> bool
{
    return std::any_of(this->outgoing.begin(), this->outgoing.end(),
                       [](const auto& item) { return item.number.has_value(); });
}

auto transaction_service::write_loop() -> void
{
    log_client client(this->settings.platform);
    while (true)
    {
        std::vector<append_transaction_record> batch;
        {
            std::unique_lock lock(this->mutex);
            this->outgoing_changed.wait(lock,
                                        [&] { return !this->outgoing.empty() || this->stopping; });
            if (this->outgoing.empty())
            {
                return;
            }
            this->outgoing_changed.wait_for(
                lock, outcome_batch_delay,
                [&] { return this->has_outgoing_claim() || this->stopping; });
        }
        // Wait for more records to join the batch: the log accepts few appends, but large ones.
        std::this_thread::sleep_for(this->settings.claim_batch_delay);
        {
            const std::lock_guard lock(this->mutex);
            while (!this->outgoing.empty() && batch.size() < max_records_per_batch)
            {
                batch.push_back(std::move(this->outgoing.front()));
                this->outgoing.pop_front();
            }
            this->writing = true;
        }
        this->write_batch(client, std::move(batch));
        this->on_log_bytes(client.take_bytes());
        const std::lock_guard lock(this->mutex);
        this->writing = false;
        if (this->stopping)
        {
            return;
        }
    }
}

auto transaction_service::write_batch(log_client& client,
                                      std::vector<append_transaction_record> batch) -> void
{
    std::vector<nlohmann::json> records;
    records.reserve(batch.size());
    for (const auto& item : batch)
    {
        records.push_back(to_json(item.record));
    }
    const auto result = client.append(transaction_stream, records);
    std::unique_lock lock(this->mutex);
    const auto will_retry = result == append_result::not_appended && client.was_rate_limited();
    for (auto& item : batch)
    {
        if (item.number && !will_retry)
        {
            this->core.on_append(*item.number, result, monotonic_now());
        }
        else if (result != append_result::appended)
        {
            // Outcome records may be appended twice but must be appended at least once.
            this->outgoing.push_back(std::move(item));
        }
    }
    this->execute_actions();
    if (result != append_result::appended)
    {
        lock.unlock();
        std::this_thread::sleep_for(log_retry_delay);
        return;
    }
    lock.unlock();
    // Claims are decided by log order, so read them back immediately.
    const auto has_claims = std::any_of(batch.begin(), batch.end(),
                                        [](const auto& item) { return item.number.has_value(); });
    if (has_claims)
    {
        this->read_new_records(client);
    }
}

auto transaction_service::read_new_records(log_client& client) -> void
{
    log_offset from;
    {
        const std::lock_guard lock(this->mutex);
        from = log_offset{this->last_processed.value() + 1};
    }
    (void)this->apply_page(client.read(transaction_stream, from, duration{}));
}

auto transaction_service::apply_page(const outcome<log_page>& page) -> bool
{
    const std::lock_guard lock(this->mutex);
    this->core.on_log_reachable(static_cast<bool>(page));
    if (!page)
    {
        this->has_more_records = false;
        this->execute_actions();
        return false;
    }
    const auto now = monotonic_now();
    for (const auto& item : page->records)
    {
        if (item.offset <= this->last_processed)
        {
            continue;
        }
        // Records that the log dropped by age are older than any dedupe window, so a gap before its
        // first retained record is harmless. A gap after it means that records were lost.
        const auto expected = this->last_processed.value() + 1;
        if (this->last_processed != log_offset{} && item.offset.value() > expected &&
            page->first.value() <= expected)
        {
            this->core.on_gap(now);
        }
        this->last_processed = item.offset;
        if (const auto record = transaction_record_from_json(item.data))
        {
            this->core.on_record(item.offset, item.time, *record, now);
        }
    }
    this->has_more_records =
        !page->records.empty() && this->last_processed.value() + 1 < page->next.value();
    if (this->last_processed.value() + 1 >= page->next.value())
    {
        this->core.on_recovered();
    }
    else if (page->records.empty())
    {
        // The log ends later but returns no records: its newest records are lost, and the keys that
        // they claimed are unknown.
        this->last_processed = log_offset{page->next.value() - 1};
        this->core.on_gap(now);
        this->core.on_recovered();
    }
    this->execute_actions();
    return true;
}

auto transaction_service::read_loop() -> void
{
    log_client client(this->settings.platform);
    std::thread ticker(
        [this]
        {
            std::unique_lock lock(this->mutex);
            while (!this->stopping)
            {
                this->stop_requested.wait_for(lock, tick_interval);
                this->core.on_tick(monotonic_now());
                this->execute_actions();
            }
        });
    while (true)
    {
        log_offset from;
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopping)
            {
                break;
            }
            from = log_offset{this->last_processed.value() + 1};
        }
        const auto read_succeeded =
            this->apply_page(client.read(transaction_stream, from, duration{}));
        this->on_log_bytes(client.take_bytes());
        std::unique_lock lock(this->mutex);
        const auto poll_soon = !read_succeeded || this->core.has_open_claims();
        const auto pause = this->has_more_records ? duration{}
                           : poll_soon            ? log_retry_delay
                                                  : idle_read_interval;
        this->stop_requested.wait_for(lock, pause, [&] { return this->stopping; });
    }
    ticker.join();
}

} // namespace poplardrift
