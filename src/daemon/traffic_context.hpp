#pragma once

#include "daemon/admission_service.hpp"
#include "daemon/control_service.hpp"
#include "daemon/transaction_service.hpp"
#include "daemon/upstream_pool.hpp"
#include "poplardrift/admission/retry_budget.hpp"

#include <atomic>
#include <mutex>

namespace poplardrift
{

/// What every request handler uses. Lives as long as the process; any thread.
class traffic_context final
{
public:
    traffic_context(const daemon_settings& settings, admission_service& slots, control_service& control,
                    transaction_service& transactions, event_log& log, metrics& figures);

    const daemon_settings& settings;
    admission_service& slots;
    control_service& control;
    transaction_service& transactions;
    event_log& log;
    metrics& figures;
    upstream_pool upstreams;

    /// Notes how an exchange with an upstream ended, for ejection and for other hosts.
    auto on_upstream_result(const upstream_view& upstream, bool succeeded) -> void;
    /// An upstream refused or broke off: it may have turned cold.
    auto on_cold_sign(const upstream_view& upstream) -> void;
    auto on_request(double retry_share) -> void;
    [[nodiscard]] auto take_retry() -> bool;
    /// Requests that are being answered now.
    std::atomic<std::int64_t> active{0};
    /// True once a planned stop has begun.
    std::atomic<bool> leaving{false};

private:
    std::mutex mutex;
    retry_budget retries{retry_budget_settings{}};
    std::map<upstream_id, time_point> last_sign;
};

} // namespace poplardrift
