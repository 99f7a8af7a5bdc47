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

/// Settings of orders to engines.
struct order_settings
{
    duration lease = std::chrono::seconds(12);        ///< length of a lease
    duration margin = std::chrono::seconds(4);        ///< no order is sent so close to its end
    duration order_timeout = std::chrono::seconds(2); ///< an order that takes longer is given up
    duration claim_timeout = std::chrono::seconds(3); ///< wait for a claim to be read back
    duration backoff = std::chrono::seconds(2);       ///< pause after a failure, doubled each time
    duration max_backoff = std::chrono::seconds(60);
    std::int64_t concurrent_loads = 1; ///< model loads at once, whole fleet
};

/// An engine that this host is responsible for, as it stands.
struct managed_engine
{
    upstream_id id;
    std::string path;
    std::string address;
    std::uint16_t port = 0;
    std::string declared_model; ///< empty: leave it alone
    std::string reported_model; ///< empty: not known
    std::uint32_t in_use = 0;   ///< requests in flight from all hosts, granted slots included
};

/// Append this to the log's lease stream.
struct append_lease_record
{
    lease_record record;
};
/// Stop granting slots of the engine, or grant them again.
struct hold_engine
{
    upstream_id id;
    bool held = false;
};
/// Send the order now, unless `valid_until` has passed; it must be checked right before sending.
struct send_order
{
    managed_engine engine;
    log_offset fencing;
    time_point valid_until{};
    duration timeout{};
};
struct report_order_event
{
    event what;
};

using order_action = std::variant<append_lease_record, hold_engine, send_order, report_order_event>;

/// How an order ended.
enum class order_result : std::uint8_t
{
    accepted,
    refused, ///< the engine refused it, as for an old fencing number
    lost,    ///< no answer: the engine's next report will tell
    expired, ///< the lease had ended before it could be sent
};

/// Brings engines to their declared models by orders. One holder an engine, by a lease of the log,
/// whose offset is the fencing number; loads are bounded for the whole fleet by leases on the
/// weight store's places. An engine is drained first. Free of I/O; one thread.
class order_core final
{
public:
    order_core(order_settings settings, host_id self, incarnation_id incarnation);

    /// Records of the lease stream.
    auto on_record(log_offset offset, log_time time, const lease_record& record) -> void;
    auto on_order_result(upstream_id id, order_result result, time_point now) -> void;
    /// Lets time pass over the engines that this host is responsible for now.
    auto on_tick(const std::vector<managed_engine>& engines, time_point now) -> void;
    auto set_concurrent_loads(std::int64_t count) -> void
    {
        this->settings.concurrent_loads = count;
    }

    /// True while there is something to read the lease stream for.
    [[nodiscard]] auto is_busy() const -> bool { return !this->model_changes.empty(); }
    [[nodiscard]] auto table() const -> const lease_table& { return this->leases; }
    [[nodiscard]] auto take_actions() -> std::vector<order_action>;

private:
    /// A claim of this process on its way.
    struct pending_claim
    {
        time_point sent{};
    };

    /// A lease that this process holds, as its own clock sees it.
    struct held_lease
    {
        log_offset fencing_number;
        time_point valid_until{}; ///< from before the claim's append, less the margin
    };

    /// The change of one engine.
    struct model_change
    {
        bool held = false;    ///< its slots are not granted
        bool ordered = false; ///< an order is on its way, or waits for a report
        time_point ordered_at{};
        time_point not_before{}; ///< end of the pause after a failure
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
