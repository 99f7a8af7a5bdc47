#pragma once

#include "poplardrift/base/strong_type.hpp"
#include "poplardrift/base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace poplardrift::rollout
{

/// Position of the order's record in the operators' stream. With the service it identifies an
/// order.
using order_position = strong_type<struct order_position_tag, std::uint64_t>;

/// Limits on the sum over all hosts while a new version is tried.
struct rollout_bounds
{
    double exposure_share = 0.0; ///< of the service's requests that may reach a bad version
    double exposure_slack = 50.0;
    /// Time after the 50th bad response within which a bad version must get no more requests.
    duration rollback_within = std::chrono::seconds(5);

    auto operator==(const rollout_bounds&) const -> bool = default;
};

/// An operator's order to move a service's requests to another version of its software.
struct rollout_order
{
    std::string service;
    std::string to;
    duration length{}; ///< the roll-out has to end within this time
    order_position position;
    time_point seen_at{};
    /// The record arrived while this host followed the stream, so the order's age is known.
    bool is_fresh = false;

    auto operator==(const rollout_order&) const -> bool = default;
};

enum class rollout_phase : std::uint8_t
{
    in_progress, ///< the new version gets its canary requests
    shifting,    ///< all new requests go to the new version, within the exposure budget
    rolled_back,
    complete,
};

[[nodiscard]] constexpr auto is_final(rollout_phase phase) -> bool
{
    return phase == rollout_phase::rolled_back || phase == rollout_phase::complete;
}

[[nodiscard]] constexpr auto to_text(rollout_phase phase) -> std::string_view
{
    switch (phase)
    {
    case rollout_phase::in_progress:
        return "in_progress";
    case rollout_phase::shifting:
        return "shifting";
    case rollout_phase::rolled_back:
        return "rolled_back";
    case rollout_phase::complete:
        return "complete";
    }
    return "";
}

} // namespace poplardrift::rollout
