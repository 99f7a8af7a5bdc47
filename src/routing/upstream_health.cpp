#include "routing/upstream_health.hpp"

#include <algorithm>

namespace poplardrift::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr double share_memory = 0.9;        ///< of the failure share kept at each new outcome
constexpr int least_samples = 8;            ///< outcomes before a share of failures means anything
constexpr double least_faulty_share = 0.35; ///< a smaller share of failures never ejects
constexpr double multiple_of_usual = 2.0;   ///< of the service's own share: faulty beyond it
constexpr int faults_that_eject = 2;        ///< broken or silent, in a row
constexpr duration same_cause = 100ms;      ///< faults within this time count once
constexpr duration unreachable_length = 400ms; ///< a restarted process is back in about a second
constexpr duration failing_length = 1500ms;
constexpr duration elsewhere_length = 600ms; ///< a finding of another host is repeated by then
constexpr duration longest_length = 5s;
constexpr int successes_after_ejection = 3;

} // namespace

auto upstream_health::on_success(time_point now) -> void
{
    this->share *= share_memory;
    ++this->samples;
    this->faults_in_a_row = 0;
    if (this->successes_needed > 0 && now >= this->ejected_until && --this->successes_needed == 0)
    {
        this->last_length = {};
        this->own_finding = false;
    }
}

auto upstream_health::on_fault(upstream_fault fault, time_point now, double usual_share,
                               bool may_eject) -> void
{
    if (fault == upstream_fault::unreachable)
    {
        this->eject(now, unreachable_length);
        this->unreachable = true;
        return;
    }
    this->share = this->share * share_memory + (1.0 - share_memory);
    ++this->samples;
    this->count_in_a_row(fault, now);
    const auto limit = std::max(least_faulty_share, multiple_of_usual * usual_share);
    const auto failing = this->samples >= least_samples && this->share > limit;
    if (may_eject && (failing || this->faults_in_a_row >= faults_that_eject))
    {
        this->eject(now, failing_length);
    }
}

auto upstream_health::count_in_a_row(upstream_fault fault, time_point now) -> void
{
    if (fault == upstream_fault::failed)
    {
        // A whole answer shows that the upstream works; what it says may be the request's fault.
        this->faults_in_a_row = 0;
        return;
    }
    // Requests that break together show one cause, which may lie on the way.
    if (now - this->last_fault >= same_cause)
    {
        ++this->faults_in_a_row;
        this->last_fault = now;
    }
}

auto upstream_health::on_ejected_elsewhere(time_point now) -> void
{
    if (this->is_ejected(now))
    {
        return;
    }
    this->ejected_until = now + elsewhere_length;
    this->successes_needed = std::max(this->successes_needed, 1);
}

auto upstream_health::eject(time_point now, duration first_length) -> void
{
    if (this->is_ejected(now) && this->own_finding)
    {
        return; // requests that were under way when it was ejected
    }
    this->last_length = std::clamp(this->last_length * 2, first_length, longest_length);
    this->ejected_until = now + this->last_length;
    this->successes_needed = successes_after_ejection;
    this->own_finding = true;
    this->unreachable = false;
}

} // namespace poplardrift::routing
