#pragma once

#include "daemon/control_service.hpp"
#include "daemon/settings.hpp"
#include "poplardrift/transactions/transaction_core.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace poplardrift
{

/// Decision on a transactional request.
using transaction_decision =
    std::variant<run_transaction, replay_answer, forward_transaction, refuse_transaction>;

/// Connects `transaction_core` to its log stream. One thread appends records in batches, one reads
/// records, and one runs the core's ticks. All public functions but start and stop may be called
/// from any thread.
class transaction_service final
{
public:
    transaction_service(const daemon_settings& settings, incarnation_id incarnation, event_log& log,
                        metrics& process_metrics, std::function<void(std::size_t)> on_log_bytes);
    ~transaction_service();

    auto start() -> void;
    auto stop() -> void;

    /// Begins a request and blocks until the core has decided on it or its deadline passes.
    [[nodiscard]] auto begin(const transaction_request& request) -> transaction_decision;
    [[nodiscard]] auto may_send(request_id id) -> bool;
    auto on_run_result(request_id id, const run_result& result) -> void;
    [[nodiscard]] auto issue_ticket(workspace_id workspace) -> std::string;
    [[nodiscard]] auto lookup(workspace_id workspace, const std::string& key) -> key_lookup;
    /// Passes live and absent host processes to the core. Called by the control thread.
    auto on_hosts(const host_directory& hosts) -> void;
    [[nodiscard]] auto is_recovered() -> bool;
    /// True when no record waits to be appended and no append is in progress.
    [[nodiscard]] auto is_flushed() -> bool;

private:
    struct wait_handle
    {
        std::condition_variable changed;
        std::optional<transaction_decision> decision;
    };

    /// Executes the core's pending actions. Requires the lock.
    auto execute_actions() -> void;
    auto complete_wait(request_id id, transaction_decision decision) -> void;
    [[nodiscard]] auto has_outgoing_claim() const -> bool;
    auto write_loop() -> void;
    auto read_loop() -> void;
    auto write_batch(log_client& client, std::vector<append_transaction_record> batch) -> void;
    auto read_new_records(log_client& client) -> void;
    [[nodiscard]] auto apply_page(const outcome<log_page>& page) -> bool;

    daemon_settings settings;
    event_log& log;
    metrics& process_metrics;
    std::function<void(std::size_t)> on_log_bytes;
    std::mutex mutex;
    transaction_core core;
    std::map<request_id, wait_handle*> waits;
    std::deque<append_transaction_record> outgoing;
    std::condition_variable outgoing_changed;
    std::condition_variable stop_requested;
    bool writing = false;
    bool has_more_records = false; ///< the log holds records past the last page
    bool stopping = false;
    log_offset last_processed;
    std::thread writer;
    std::thread reader;
};

} // namespace poplardrift
