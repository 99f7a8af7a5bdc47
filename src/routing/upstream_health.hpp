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
    /// `usual_share` is the share of failures that the whole service shows at present.
    auto on_fault(upstream_fault fault, time_point now, double usual_share) -> void;
    /// Another host has ejected this upstream.
    auto on_ejected_elsewhere(time_point now) -> void;

    [[nodiscard]] auto is_ejected(time_point now) const -> bool
    {
        return now < this->ejected_until;
    }
    /// True after an ejection until requests have succeeded again: only few may be under way.
    [[nodiscard]] auto is_on_probation() const -> bool { return this->successes_needed > 0; }
    /// Recent share of requests that failed.
    [[nodiscard]] auto failure_share() const -> double { return this->share; }
    /// True while this host itself, not another one, has found the upstream faulty.
    [[nodiscard]] auto is_own_finding() const -> bool { return this->own_finding; }

private:
    auto eject(time_point now, duration first_length) -> void;

    time_point ejected_until{};
    duration last_length{};
    double share = 0.0;
    int samples = 0;
    int faults_in_a_row = 0;
    int successes_needed = 0;
    bool own_finding = false;
};

} // namespace poplardrift::routing
