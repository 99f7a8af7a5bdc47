#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <cstdint>
#include <optional>

namespace poplardrift
{

/// Status report of an upstream, requested by its owner.
struct upstream_report
{
    std::uint32_t incarnation = 0; ///< identifies its process; changes on a restart
    std::uint32_t in_flight = 0;   ///< requests in progress
    std::uint32_t waiting = 0;     ///< requests in its own queue
    std::uint64_t served = 0;      ///< requests finished since the process started
    bool cold = false;             ///< in cold start
    bool leaving = false;          ///< about to stop
    std::string model;             ///< loaded model; empty: not reported
    std::string role;              ///< state of a change in progress; empty: none
};

/// Settings of slow start, adaptive concurrency limits and ejection by the owner.
struct warmup_settings
{
    duration step = std::chrono::seconds(1); ///< minimum duration of a step
    double step_factor = 2.0;                ///< factor on the limit from step to step
    /// Duration of the first ejection; doubles with each further one up to `max_ejection`.
    duration base_ejection = std::chrono::seconds(2);
    duration max_ejection = std::chrono::seconds(60);
    /// A warm upstream without a report for this long turns cold.
    duration report_timeout = std::chrono::seconds(8);
    /// A fault report is confirmed if no status report clears it within this time.
    duration fault_confirm_timeout = std::chrono::seconds(2);
    double decrease = 0.85; ///< when requests wait: new limit as a share of in-flight ones
};

/// Computes the concurrency limit of one upstream on its owner. The upstream starts cold; its limit
/// grows in steps that its own reports confirm and returns to the cold limit when a restart, cold
/// start or fault is reported. Control thread only.
class warmup final
{
public:
    /// `declared_cold` and `capacity` are the declared limits. `needs_reports` is true for engines;
    /// services do not send reports.
    warmup(warmup_settings settings, std::uint32_t declared_cold, std::uint32_t capacity,
           bool needs_reports);

    /// Stores the status that the former owner published. The first report applies it if the
    /// upstream is still the same process.
    auto inherit(const upstream_status& published) -> void;
    auto on_report(const upstream_report& report, time_point now) -> void;
    /// Handles a host's report that the upstream turned cold (or fails, with `ejected`). An
    /// upstream that sends reports is limited to its cold limit until its next report clears the
    /// fault. One that does not is ejected at once if `suspected` is `ejected`.
    auto on_fault_report(upstream_state suspected, time_point now) -> void;
    /// Advances the warm-up. `in_use` is the number of requests in flight by the owner's ledger.
    /// `full_share` is the upstream's share of its pool's current load: a step that reaches it ends
    /// the cold start.
    auto on_tick(std::uint32_t in_use, std::uint32_t full_share, time_point now) -> void;
    auto set_declared(std::uint32_t declared_cold, std::uint32_t capacity) -> void;

    [[nodiscard]] auto state() const noexcept -> upstream_state { return this->current_state; }
    /// Maximum number of requests in flight from all hosts, before the bound by the pool's mean
    /// load is applied.
    [[nodiscard]] auto limit() const -> std::uint32_t;
    /// True while a fault report is neither cleared nor confirmed.
    [[nodiscard]] auto has_pending_fault() const -> bool { return this->pending_fault.has_value(); }
    [[nodiscard]] auto incarnation() const noexcept -> std::uint32_t
    {
        return this->known_incarnation;
    }
    [[nodiscard]] auto last_report() const -> const std::optional<upstream_report>&
    {
        return this->report;
    }

private:
    auto reset_to_cold(time_point now) -> void;
    auto start_step(time_point now) -> void;
    [[nodiscard]] auto step_confirmed(time_point now) const -> bool;

    warmup_settings settings;
    std::uint32_t declared_cold;
    std::uint32_t capacity;
    bool needs_reports;
    upstream_state current_state = upstream_state::cold;
    std::uint32_t step_limit;
    double adaptive_limit;
    std::uint32_t known_incarnation = 0;
    std::optional<upstream_report> report;
    std::optional<upstream_status> inherited;
    std::optional<time_point>
        pending_fault; ///< time of a fault report that is not yet cleared or confirmed
    time_point reported{};
    time_point step_start{};
    std::uint64_t served_at_step = 0;
    std::uint32_t peak_use = 0;
    time_point ejected_until{};
    std::uint32_t ejections = 0;
};

} // namespace poplardrift
