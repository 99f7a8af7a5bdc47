#include "routing/upstream_health.hpp"

#include <algorithm>

namespace poplardrift::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr double share_memory = 0.9;        ///< of the failure share kept at each new outcome
constexpr int least_samples = 6;            ///< outcomes before a share of failures means anything
constexpr double share_above_usual = 0.25;  ///< beyond the service's own share: faulty
constexpr int faults_that_eject = 3;        ///< in a row, whatever the share
constexpr int silences_that_eject = 2;      ///< in a row
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

auto upstream_health::on_fault(upstream_fault fault, time_point now, double usual_share) -> void
{
    ++this->faults_in_a_row;
    if (fault == upstream_fault::unreachable)
    {
        this->eject(now, unreachable_length);
        return;
    }
    this->share = this->share * share_memory + (1.0 - share_memory);
    ++this->samples;
    const auto failing =
        this->samples >= least_samples && this->share > usual_share + share_above_usual;
    const auto enough_in_a_row =
        fault == upstream_fault::silent ? silences_that_eject : faults_that_eject;
    if (failing || this->faults_in_a_row >= enough_in_a_row || this->is_on_probation())
    {
        this->eject(now, failing_length);
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
}

} // namespace poplardrift::routing
