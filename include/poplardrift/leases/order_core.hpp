#pragma once

#include "poplardrift/base/events.hpp"
#include "poplardrift/leases/lease_table.hpp"

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace poplardrift
{

/// Settings of order_core.
struct order_settings
{
    duration lease = std::chrono::seconds(12); ///< validity of a lease
    /// No order is sent within this time before the end of the lease.
    duration margin = std::chrono::seconds(4);
    duration order_timeout = std::chrono::seconds(2); ///< limit for an engine's answer
    duration claim_timeout = std::chrono::seconds(3); ///< limit for reading a claim back
    duration backoff = std::chrono::seconds(2);       ///< delay after a failure, doubled each time
    duration max_backoff = std::chrono::seconds(60);
    std::int64_t concurrent_loads = 1; ///< limit of concurrent model loads in the fleet
};

/// Current state of an engine that this host manages.
struct managed_engine
{
    upstream_id id;
    std::string path;
    std::string address;
    std::uint16_t port = 0;
    std::string declared_model; ///< empty: do not change the model
    std::string reported_model; ///< empty: unknown
    std::uint32_t in_use = 0;   ///< requests in flight from all hosts, granted slots included
};

/// Append a record to the log's lease stream.
struct append_lease_record
{
    lease_record record;
};
/// Stop or resume granting slots of the engine.
struct suspend_granting
{
    upstream_id id;
    bool suspended = false;
};
/// Send the order that loads the declared model, unless `valid_until` has passed, which must be
/// checked right before sending.
struct send_order
{
    managed_engine engine;
    log_offset fencing;
    time_point valid_until{};
    duration timeout{};
};
/// Write an event to the event log.
struct report_order_event
{
    event event_data;
};

using order_action =
    std::variant<append_lease_record, suspend_granting, send_order, report_order_event>;

/// Result of an order.
enum class order_result : std::uint8_t
{
    accepted,
    refused, ///< the engine refused it, e.g. for an old fencing number
    lost,    ///< no usable answer; the engine's next report shows the outcome
    expired, ///< the lease expired before it could be sent
};

/// Sends orders to engines whose reported model differs from the declared one.
///
/// The sender must hold the engine's lease on the log; the offset of its claim is the fencing
/// number. Concurrent model loads from the weight store are limited across the fleet by load
/// permits, which are leases too. An engine is drained before its order is sent. Performs no I/O;
/// not thread-safe.
class order_core final
{
public:
    order_core(order_settings settings, host_id self, incarnation_id incarnation);

    /// Applies a record of the lease stream.
    auto on_record(log_offset offset, log_time time, const lease_record& record) -> void;
    auto on_order_result(upstream_id id, order_result result, time_point now) -> void;
    /// Advances the model changes. `engines` are all engines that this host manages now; changes of
    /// other engines are dropped.
    auto on_tick(const std::vector<managed_engine>& engines, time_point now) -> void;
    auto set_concurrent_loads(std::int64_t count) -> void
    {
        this->settings.concurrent_loads = count;
    }

    /// True while a model change is in progress, which requires reading the lease stream.
    [[nodiscard]] auto is_busy() const -> bool { return !this->model_changes.empty(); }
    [[nodiscard]] auto table() const -> const lease_table& { return this->leases; }
    [[nodiscard]] auto take_actions() -> std::vector<order_action>;

private:
    /// A claim of this process that has not been read back.
    struct pending_claim
    {
        time_point sent{};
    };

    /// A lease held by this process, timed on its own clock.
    struct held_lease
    {
        log_offset fencing_number;
        time_point valid_until{}; ///< claim's append time plus lease length, less the margin
    };

    /// A model change of one engine in progress.
    struct model_change
    {
        bool granting_suspended = false; ///< the engine's slots are not granted
        bool ordered = false;            ///< an order was sent and its effect is not reported yet
        time_point ordered_at{};
        time_point not_before{}; ///< end of the backoff after a failure
        std::uint32_t failures = 0;
    };

    auto advance_change(const managed_engine& engine, model_change& change, time_point now) -> void;
    auto complete_change(const managed_engine& engine) -> void;
    auto drop_change(upstream_id id, const std::string& path) -> void;
    [[nodiscard]] auto valid_lease(const lease_name& name, time_point now) -> const held_lease*;
    [[nodiscard]] auto acquire_load_permit(time_point now) -> const held_lease*;
    auto claim_lease(const lease_name& name, time_point now) -> void;
    auto release_lease(const lease_name& name) -> void;
    auto report_event(event_code code, std::string detail) -> void;

    order_settings settings;
    host_id self;
    incarnation_id incarnation;
    lease_table leases;
    std::map<lease_name, pending_claim> claims;
    std::map<lease_name, held_lease> held;
    std::map<upstream_id, model_change> model_changes;
    std::map<upstream_id, std::string> engine_paths;
    std::vector<order_action> actions;
};

} // namespace poplardrift
