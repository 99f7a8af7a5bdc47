#pragma once

#include "overload/decayed_counter.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace poplardrift::overload
{

/// Standing of a request's workspace.
enum class workspace_standing : std::uint8_t
{
    underserved, ///< served less than a quarter as often as all
    usual,
    excess, ///< far above its usual rate, compared with the others
};

/// Compares the rate of each workspace with its usual one. Answers a workspace that sends many
/// times its usual load, whose excess would otherwise displace the requests of others.
///
/// A rise that most workspaces share is not excess: the rate of each is compared with the median
/// rise. The usual rate is learnt without congestion only. Not thread-safe.
class workspace_shares final
{
public:
    /// Counts an arrival.
    [[nodiscard]] auto on_arrival(std::uint64_t workspace, bool congested, time_point now)
        -> workspace_standing;
    auto on_admitted(std::uint64_t workspace, time_point now) -> void;

private:
    struct usage
    {
        decayed_counter recent;
        decayed_counter usual;
        decayed_counter arrived;
        decayed_counter admitted;
        double allowed = 0.0; ///< requests that are not excess
        time_point allowed_at{};
        usage();
    };

    auto advance_calm_time(bool congested, time_point now) -> void;
    auto find_growth(time_point now) -> void;
    [[nodiscard]] auto is_underserved(const usage& use, time_point now) const -> bool;
    [[nodiscard]] auto takes_allowed(usage& use, time_point now) const -> bool;

    absl::flat_hash_map<std::uint64_t, usage> workspaces;
    std::vector<std::pair<double, double>> ratios; ///< growth and weight of each workspace
    usage all;
    double growth = 1.0;     ///< median rise above the usual rate
    double mean_usual = 0.0; ///< rate of a workspace
    time_point growth_at{};  ///< when these two were computed
    time_point calm_time{};  ///< stands still under congestion
    time_point advanced_at{};
};

} // namespace poplardrift::overload
