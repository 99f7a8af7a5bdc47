#pragma once

#include "poplardrift/base/time.hpp"

#include <cstdint>

namespace poplardrift::routing
{

/// How a request at an upstream went wrong.
enum class upstream_fault : std::uint8_t
{
    unreachable, ///< no connection
    silent,      ///< nothing came in the time in which something should have
    broken,      ///< an answer broke off or was none
    failed,      ///< a whole answer of failure; services have a usual share of these
};

/// Judges one upstream by what requests see: ejects it after faults, lets few requests probe it
/// when the ejection ends, and takes it back after successes. One thread.
class upstream_health final
{
public:
    auto on_success(time_point now) -> void;
    /// `baseline_share` is the share of failures that the whole service shows at present. With
    /// `may_eject` false, only an upstream that cannot be reached is ejected: too many others are
    /// out.
    auto on_fault(upstream_fault fault, time_point now, double baseline_share, bool may_eject)
        -> void;
    /// Another host has ejected this upstream.
    auto on_ejected_elsewhere(time_point now) -> void;

    [[nodiscard]] auto is_ejected(time_point now) const -> bool
    {
        return now < this->ejected_until;
    }
    /// True while it is ejected because no connection could be made; nothing is lost by trying, but
    /// time.
    [[nodiscard]] auto is_unreachable(time_point now) const -> bool
    {
        return this->is_ejected(now) && this->unreachable;
    }
    /// True after an ejection until requests have succeeded again: only few may be under way.
    [[nodiscard]] auto is_on_probation() const -> bool { return this->successes_needed > 0; }
    /// Recent share of requests that failed.
    [[nodiscard]] auto failure_share() const -> double { return this->recent_failure_share; }
    /// True while this host itself, not another one, has found the upstream faulty.
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
