#include "fleet/exchange_plan.hpp"

#include <algorithm>

namespace poplardrift::fleet
{

namespace
{

using namespace std::chrono_literals;

constexpr duration min_beacon_interval = 100ms; ///< bounds the age of loads at peers
/// Number of peers up to which beacons use the minimum interval. Beyond it the interval grows in
/// proportion, so the beacon bandwidth of a host does not depend on the number of its peers.
constexpr std::size_t peers_at_min_interval = 8;
/// Largest mesh. Loads are then 0.5 s old, about as old as the sums of other cells.
constexpr std::size_t max_mesh_peers = 40;
/// Beacons a second that a host sends to all peers of other cells together.
constexpr double beacons_per_second_between_cells = 25.0;
constexpr int max_missed_beacons = 4;
constexpr duration min_alive_timeout = 1500ms;
constexpr duration speaker_interval = 500ms;
constexpr int max_missed_summaries = 4;

} // namespace

exchange_plan::exchange_plan(std::size_t cell_peers, std::size_t other_peers)
    : cell_peers(cell_peers), other_peers(other_peers),
      cells(cell_peers + other_peers > max_mesh_peers && other_peers > 0)
{
}

auto exchange_plan::beacon_interval(bool same_zone) const -> duration
{
    if (this->cells && !same_zone)
    {
        return std::max<duration>(min_beacon_interval,
                                  from_seconds(static_cast<double>(this->other_peers) /
                                               beacons_per_second_between_cells));
    }
    const auto peers = this->cells ? this->cell_peers : this->cell_peers + this->other_peers;
    return min_beacon_interval * std::max<std::size_t>(1, peers / peers_at_min_interval);
}

auto exchange_plan::alive_timeout(bool same_zone) const -> duration
{
    return std::max<duration>(min_alive_timeout,
                              this->beacon_interval(same_zone) * max_missed_beacons);
}

auto exchange_plan::summary_interval() const -> duration
{
    return speaker_interval;
}

auto exchange_plan::summary_timeout() const -> duration
{
    return this->cells ? speaker_interval * max_missed_summaries
                       : this->beacon_interval(false) * max_missed_beacons;
}

auto exchange_plan::safeguard_factor() const -> double
{
    const auto peers = static_cast<double>(this->cell_peers + this->other_peers);
    return std::max(1.0, peers / static_cast<double>(peers_at_min_interval));
}

} // namespace poplardrift::fleet
