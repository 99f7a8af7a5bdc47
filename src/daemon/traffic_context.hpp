#pragma once

#include "daemon/admission_service.hpp"
#include "daemon/caller_request.hpp"
#include "daemon/control_service.hpp"
#include "daemon/transaction_service.hpp"
#include "daemon/upstream_connections.hpp"
#include "poplardrift/admission/retry_budget.hpp"

#include <atomic>
#include <mutex>

namespace poplardrift
{

/// State and services shared by all request handlers. Lives as long as the process. Thread-safe.
class traffic_context final
{
public:
    traffic_context(const daemon_settings& settings, admission_service& admission,
                    control_service& control, transaction_service& transactions, event_log& log,
                    metrics& process_metrics);

    const daemon_settings& settings;
    admission_service& admission;
    control_service& control;
    transaction_service& transactions;
    event_log& log;
    metrics& process_metrics;
    upstream_connections upstreams;

    /// Records the result of an exchange with an upstream. When it ejects the upstream, the control
    /// thread is notified so that it can inform other hosts.
    auto on_upstream_result(const upstream_view& upstream, bool succeeded) -> void;
    /// Reports that an upstream may have lost its warm state: it answered 503, refused the
    /// connection or broke off an answer. Rate-limited per upstream.
    auto on_suspected_cold_upstream(const upstream_view& upstream) -> void;
    /// Value of the `x-poplardrift-load` header: the load of this host in the request's pool, and
    /// the loads of other hosts in it that are recent enough.
    [[nodiscard]] auto make_load_header(const caller_request& caller) -> std::string;
    /// Stores the loads in another host's `x-poplardrift-load` header. Malformed items are ignored.
    auto on_load_header(const std::string& text) -> void;
    /// Value of the `x-poplardrift-free` header: free slots of an upstream that this host owns,
    /// for the host that forwarded a request to it.
    [[nodiscard]] auto make_free_slots_header(upstream_id upstream) -> std::string;
    /// Stores the free slots in an owner's `x-poplardrift-free` header; ignored unless it starts
    /// with a number.
    auto on_free_slots_header(upstream_id upstream, const std::string& text) -> void;
    /// Looks up the address at which another host accepts forwarded requests. False when it is
    /// unknown.
    [[nodiscard]] auto find_host_address(host_id id, std::string& address, std::uint16_t& port)
        -> bool;
    /// Adds a request to the retry budget, which allows `retry_ratio` retries per request.
    auto on_request(double retry_ratio) -> void;
    /// Takes one retry from the budget. False when the budget is used up.
    [[nodiscard]] auto take_retry() -> bool;
    /// Requests in progress.
    std::atomic<std::int64_t> active_requests{0};
    /// True after a planned stop has begun.
    std::atomic<bool> stopping{false};

private:
    std::mutex mutex;
    retry_budget retries{retry_budget_settings{}};
    std::map<upstream_id, time_point> last_cold_report;
};

} // namespace poplardrift
