#pragma once

#include "poplardrift/base/time.hpp"

#include <cstdint>

namespace poplardrift::routing
{

/// How a request to an upstream failed.
enum class upstream_fault : std::uint8_t
{
    unreachable, ///< no connection could be made
    silent,      ///< no byte was received within the timeout
    broken,      ///< the response was cut off or invalid
    failed,      ///< a complete failure response; services have a baseline share of these
};

/// Outlier detection for one upstream. Ejects it after faults, allows a few probe requests when the
/// ejection ends (half-open), and readmits it after successes. Not thread-safe.
class upstream_health final
{
public:
    auto on_success(time_point now) -> void;
    /// `baseline_share` is the current failure share of the whole service. If `may_eject` is false
    /// because too many other upstreams are ejected, only an unreachable upstream is ejected.
    auto on_fault(upstream_fault fault, time_point now, double baseline_share, bool may_eject)
        -> void;
    /// Ejects the upstream after another host reported that it has ejected it.
    auto on_ejected_elsewhere(time_point now) -> void;

    [[nodiscard]] auto is_ejected(time_point now) const -> bool
    {
        return now < this->ejected_until;
    }
    /// True while the upstream is ejected because no connection could be made. Another attempt
    /// costs only time.
    [[nodiscard]] auto is_unreachable(time_point now) const -> bool
    {
        return this->is_ejected(now) && this->unreachable;
    }
    /// True from an ejection until enough requests have succeeded. Callers limit the requests in
    /// flight meanwhile.
    [[nodiscard]] auto is_on_probation() const -> bool { return this->successes_needed > 0; }
    /// Moving average of the share of requests that failed.
    [[nodiscard]] auto failure_share() const -> double { return this->recent_failure_share; }
    /// True from an ejection by this host, rather than by a report of another host, until the
    /// upstream has recovered.
    [[nodiscard]] auto is_ejected_locally() const -> bool { return this->ejected_locally; }

private:
    auto count_consecutive_fault(upstream_fault fault, time_point now) -> void;
    auto eject(time_point now, duration initial_ejection_duration) -> void;

    time_point ejected_until{};
    duration last_ejection_duration{};
    double recent_failure_share = 0.0;
    int outcomes_seen = 0;
    int consecutive_faults = 0;
    int successes_needed = 0;
    time_point last_fault{};
    bool ejected_locally = false;
    bool unreachable = false;
};

} // namespace poplardrift::routing
