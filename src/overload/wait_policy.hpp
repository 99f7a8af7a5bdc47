#pragma once

#include "routing/placement.hpp"

namespace poplardrift::overload
{

/// A request for which no upstream is eligible now.
struct waiting_request
{
    duration age{};       ///< since its last byte was received
    duration objective{}; ///< latency objective of its route
    duration time_left{}; ///< until its deadline
    int sends = 0;
};

/// Decides whether such a request waits at this host or is refused. Answers short gaps, in which an
/// upstream becomes eligible sooner than a refused caller would return, without holding requests
/// through long ones.
///
/// A request waits only while an upstream may become eligible soon, for a small part of its
/// objective, and while it could still be answered afterwards. Otherwise it is refused at once, so
/// that its caller has the most time left. Requests that have been sent before do not wait.
[[nodiscard]] auto may_wait(const waiting_request& request,
                            const routing::placement_failure& failure) -> bool;

/// Shortest time in which upstreams respond to small requests.
constexpr duration min_time_for_send = std::chrono::milliseconds(40);

/// Longest time that a request waits at this host before it is refused.
[[nodiscard]] auto longest_wait_of(duration objective) -> duration;

/// True while there is enough time left for an upstream to respond. With less, a send only costs
/// the upstream work.
[[nodiscard]] auto has_time_for_send(duration time_left) -> bool;

} // namespace poplardrift::overload
