#pragma once

#include "poplardrift/base/outcome.hpp"
#include "rollout/rollout.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace poplardrift::fleet
{

/// First member of a datagram with a host's report on a roll-out.
constexpr std::uint32_t rollout_report_version = 96 + 3;

/// A datagram's report, with the incarnation of its sender.
struct rollout_message
{
    std::uint32_t incarnation = 0;
    rollout::rollout_report report;
};

/// Encodes as MessagePack. Counters only grow and receivers take the larger ones, so a message that
/// has only a part of the routes is valid: it begins at the route with index `first_route` and has
/// as many as fit into one packet. `only_bad` leaves out routes without bad or slow responses of
/// the new version.
[[nodiscard]] auto encode_rollout(const rollout_message& message, std::size_t first_route,
                                  bool only_bad, time_point now) -> std::string;
/// Fails with the reason for a malformed datagram.
[[nodiscard]] auto decode_rollout_message(std::string_view bytes, time_point now)
    -> outcome<rollout_message>;

} // namespace poplardrift::fleet
