#include "routing/upstream_health.hpp"

#include <algorithm>

namespace poplardrift::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr double failure_share_decay = 0.9;         ///< EWMA weight of the previous share
constexpr int min_samples = 8;                      ///< outcomes before the failure share is used
constexpr double min_ejecting_share = 0.35;         ///< a smaller failure share never ejects
constexpr double baseline_multiple = 2.0;           ///< of the service's share; ejects above it
constexpr int ejecting_fault_count = 2;             ///< consecutive broken or silent requests
constexpr duration fault_coalescing_window = 100ms; ///< faults within this time count as one
constexpr duration unreachable_ejection_duration = 400ms; ///< a process restarts in about 1 s
constexpr duration failing_ejection_duration = 1500ms;
constexpr duration remote_ejection_duration = 600ms; ///< other hosts repeat their report by then
constexpr duration max_ejection_duration = 5s;
constexpr int required_successes = 3;

} // namespace

auto upstream_health::on_success(time_point now) -> void
{
    this->recent_failure_share *= failure_share_decay;
    ++this->outcomes_seen;
    this->consecutive_faults = 0;
    if (this->successes_needed > 0 && now >= this->ejected_until && --this->successes_needed == 0)
    {
        this->last_ejection_duration = {};
        this->ejected_locally = false;
    }
}

auto upstream_health::on_fault(upstream_fault fault, time_point now, double baseline_share,
                               bool may_eject) -> void
{
    if (fault == upstream_fault::unreachable)
    {
        this->eject(now, unreachable_ejection_duration);
        this->unreachable = true;
        return;
    }
    this->recent_failure_share =
        this->recent_failure_share * failure_share_decay + (1.0 - failure_share_decay);
    ++this->outcomes_seen;
    this->count_consecutive_fault(fault, now);
    const auto limit = std::max(min_ejecting_share, baseline_multiple * baseline_share);
    const auto failing = this->outcomes_seen >= min_samples && this->recent_failure_share > limit;
    if (may_eject && (failing || this->consecutive_faults >= ejecting_fault_count))
    {
        this->eject(now, failing_ejection_duration);
    }
}

auto upstream_health::count_consecutive_fault(upstream_fault fault, time_point now) -> void
{
    if (fault == upstream_fault::failed)
    {
        // A complete response shows that the upstream works; the request may have caused the
        // failure.
        this->consecutive_faults = 0;
        return;
    }
    // Requests that break at the same time have one cause, which may be the network.
    if (now - this->last_fault >= fault_coalescing_window)
    {
        ++this->consecutive_faults;
        this->last_fault = now;
    }
}

auto upstream_health::on_ejected_elsewhere(time_point now) -> void
{
    if (this->is_ejected(now))
    {
        return;
    }
    this->ejected_until = now + remote_ejection_duration;
    this->successes_needed = std::max(this->successes_needed, 1);
}

auto upstream_health::eject(time_point now, duration initial_ejection_duration) -> void
{
    if (this->is_ejected(now) && this->ejected_locally)
    {
        return; // the fault is from a request that was in flight at the ejection
    }
    this->last_ejection_duration = std::clamp(this->last_ejection_duration * 2,
                                              initial_ejection_duration, max_ejection_duration);
    this->ejected_until = now + this->last_ejection_duration;
    this->successes_needed = required_successes;
    this->ejected_locally = true;
    this->unreachable = false;
}

} // namespace poplardrift::routing
