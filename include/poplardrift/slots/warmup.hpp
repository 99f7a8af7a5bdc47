#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"
#include "poplardrift/gossip/messages.hpp"

#include <cstdint>
#include <optional>

namespace poplardrift
{

/// What an upstream says of itself when its owner asks.
struct upstream_report
{
    std::uint32_t incarnation = 0; ///< of its process; another one means that it restarted
    std::uint32_t in_flight = 0;   ///< requests that it works on
    std::uint32_t waiting = 0;     ///< requests in its own queue
    std::uint64_t served = 0;      ///< requests finished since its start
    bool cold = false;             ///< it says that it is in cold start
    bool leaving = false;          ///< it says that it will stop
    std::string model;             ///< model that it has loaded; empty: does not say
    std::string role;              ///< state of a change in progress; empty: none
};

/// Settings of warm-up, adaptive limits and ejection by the owner.
struct warmup_settings
{
    duration step = std::chrono::seconds(1);          ///< shortest time at one step
    double step_factor = 2.0;                         ///< growth of the limit from step to step
    duration base_ejection = std::chrono::seconds(2); ///< first ejection
    duration max_ejection = std::chrono::seconds(60);
    duration report_timeout = std::chrono::seconds(8); ///< without a report for that long: unknown
    duration fault_confirm_timeout =
        std::chrono::seconds(2); ///< a doubt that no report settles by then holds
    double decrease = 0.85;      ///< factor on the adaptive limit when the upstream has a queue
};

/// The owner's judgement of one upstream: how much it can bear now. Starts cold, grows by steps
/// that the upstream's own reports confirm, falls back at any sign of cold. Control thread only.
class warmup final
{
public:
    /// `declared_cold` and `capacity` are the declared limits; a service need not report.
    warmup(warmup_settings settings, std::uint32_t declared_cold, std::uint32_t capacity,
           bool needs_reports);

    /// Takes over what the former owner had published, if the upstream still is the same process.
    auto inherit(const upstream_status& published) -> void;
    auto on_report(const upstream_report& report, time_point now) -> void;
    /// A host's sign that the upstream turned cold (or fails, with `ejected`). An upstream that
    /// reports gets only its cold limit until its next report settles the doubt; of one that does
    /// not report, the sign is believed.
    auto on_fault_report(upstream_state suspected, time_point now) -> void;
    /// Use as the owner's ledger knows it; lets steps go on. `full_share` is what the upstream
    /// would carry of its pool's present load: a step that reaches it ends the cold start.
    auto on_tick(std::uint32_t in_use, std::uint32_t full_share, time_point now) -> void;
    auto set_declared(std::uint32_t declared_cold, std::uint32_t capacity) -> void;

    [[nodiscard]] auto state() const noexcept -> upstream_state { return this->current_state; }
    /// Most requests in flight from all hosts, apart from the bound by the pool's mean.
    [[nodiscard]] auto limit() const -> std::uint32_t;
    /// True while a sign waits for a report to settle it.
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
    std::optional<time_point> pending_fault; ///< when a sign came that no report has settled
    time_point reported{};
    time_point step_start{};
    std::uint64_t served_at_step = 0;
    std::uint32_t peak_use = 0;
    time_point ejected_until{};
    std::uint32_t ejections = 0;
};

} // namespace poplardrift
