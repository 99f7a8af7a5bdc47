#pragma once

#include "poplardrift/base/time.hpp"

#include <cstddef>

namespace poplardrift::fleet
{

/// Which hosts exchange what, and how often. Answers the size of the fleet: a host's messages must
/// not grow with it, while the age of the loads that it decides by must not either.
///
/// A small fleet is a mesh: each host sends its loads to all others. In a larger one the hosts of
/// each availability zone form a cell. Loads go to the hosts of the cell; two hosts of the cell
/// send their sum to each other cell, to one of its hosts after the other, which passes it on
/// within its cell. Between cells hosts only tell each other that they are alive.
///
/// Pure; built anew from the current peers.
class exchange_plan final
{
public:
    /// `cell_peers` and `other_peers` are the numbers of peers in and outside the own zone.
    exchange_plan(std::size_t cell_peers, std::size_t other_peers);

    /// False for a mesh.
    [[nodiscard]] auto uses_cells() const -> bool { return this->cells; }
    /// Time between beacons to one peer.
    [[nodiscard]] auto beacon_interval(bool same_zone) const -> duration;
    /// Time without a beacon after which a peer counts as silent; several beacons, because single
    /// datagrams get lost.
    [[nodiscard]] auto alive_timeout(bool same_zone) const -> duration;
    /// Time between the sums that one speaker sends to one other cell.
    [[nodiscard]] auto summary_interval() const -> duration;
    /// Age after which a cell's sum is no longer used, and its zone counts as silent.
    [[nodiscard]] auto summary_timeout() const -> duration;
    /// Factor for the intervals of reads that each host makes only as a safeguard, so that the
    /// reads of all hosts together do not grow with the fleet.
    [[nodiscard]] auto safeguard_factor() const -> double;

private:
    std::size_t cell_peers;
    std::size_t other_peers;
    bool cells;
};

/// Hosts that send the sum of a cell to each other one: the first in the other zone's rendezvous
/// order. Two, so that the loss of one leaves it updated, half as often.
constexpr std::size_t speaker_count = 2;

} // namespace poplardrift::fleet
