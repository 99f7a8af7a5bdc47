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

/// What every request handler uses. Lives as long as the process; any thread.
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

    /// Notes how an exchange with an upstream ended, for ejection and for other hosts.
    auto on_upstream_result(const upstream_view& upstream, bool succeeded) -> void;
    /// An upstream refused or broke off: it may have turned cold.
    auto on_suspected_cold_upstream(const upstream_view& upstream) -> void;
    /// This host's load in the request's pool, as text for other hosts.
    [[nodiscard]] auto make_load_header(const caller_request& caller) -> std::string;
    /// Takes another host's load as it stands in a header; nonsense is passed over.
    auto on_load_header(const std::string& text) -> void;
    /// Slots of an own upstream that are free, as text for the host that forwarded a request.
    [[nodiscard]] auto make_free_slots_header(upstream_id upstream) -> std::string;
    auto on_free_slots_header(upstream_id upstream, const std::string& text) -> void;
    /// Where another host takes forwarded requests. False when it is not known.
    [[nodiscard]] auto find_host_address(host_id id, std::string& address, std::uint16_t& port)
        -> bool;
    auto on_request(double retry_ratio) -> void;
    [[nodiscard]] auto take_retry() -> bool;
    /// Requests that are being answered now.
    std::atomic<std::int64_t> active_requests{0};
    /// True once a planned stop has begun.
    std::atomic<bool> stopping{false};

private:
    std::mutex mutex;
    retry_budget retries{retry_budget_settings{}};
    std::map<upstream_id, time_point> last_cold_report;
};

} // namespace poplardrift
