#pragma once

#include "overload/decayed_counter.hpp"
#include "poplardrift/base/strong_type.hpp"
#include "routing/sliding_counter.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace poplardrift::overload
{

/// Identifies a service between hosts: hash of its name.
using service_key = strong_type<struct service_key_tag, std::uint32_t>;

/// What one host, or the sum of several, sees of a service.
struct service_figures
{
    service_key service{0};
    double arrivals = 0.0;    ///< requests a second, admitted or not
    double completions = 0.0; ///< complete responses a second
    double delay = 0.0;       ///< mean time to first output as a part of the objective
};

/// Sums over other hosts, and the mean age of what they consist of.
struct remote_figures
{
    std::vector<service_figures> sums;
    duration age{};
};

/// Adds figures of another host; the delay is weighted by completions.
auto add_figures(std::vector<service_figures>& sums, const std::vector<service_figures>& more)
    -> void;

/// Estimates how many requests a second the upstreams of a service complete, and this host's share.
/// Responds to the time to first output as a part of the objective, which includes the upstreams'
/// queues, and to requests that upstreams decline.
///
/// The capacity is the highest number of completions a second over all hosts in the last seconds,
/// because completions fall with the load and when admission is limited. It is corrected by the
/// delay that this host sees now, which is fresher than the figures of other hosts.
class capacity_estimate final
{
public:
    capacity_estimate();
    auto on_arrival(time_point now) -> void;
    /// Time to first output of a response, as a part of the objective.
    auto on_first_output(double delay, time_point now) -> void;
    auto on_declined(time_point now) -> void;
    auto on_completion(duration took, time_point now) -> void;
    /// Sum of the figures of other hosts, all 0 if none are known, and their mean age.
    auto set_remote(const service_figures& sum, duration age) -> void;
    /// Slots of all upstreams of the service, and hosts that may be alive.
    auto set_fleet(int slots, std::size_t hosts) -> void;
    /// Call about every 100 ms.
    auto update(time_point now) -> void;

    [[nodiscard]] auto get_local(time_point now) -> service_figures;
    [[nodiscard]] auto is_congested() const -> bool { return this->congested; }
    [[nodiscard]] auto get_delay() const -> double { return this->delay; }
    /// Delay above which the service counts as congested.
    [[nodiscard]] auto get_delay_limit() const -> double;
    /// Requests a second of all hosts.
    [[nodiscard]] auto get_capacity() const -> double { return this->capacity; }
    /// Requests a second that this host may send.
    [[nodiscard]] auto get_rate_of_host() const -> double { return this->rate; }

private:
    [[nodiscard]] auto measure_delay(time_point now) const -> double;
    [[nodiscard]] auto lowest_capacity(double share, time_point now) const -> double;
    [[nodiscard]] auto share_of_host() const -> double;

    routing::sliding_counter arrivals{std::chrono::seconds(2)};
    routing::sliding_counter completions{std::chrono::seconds(1)};
    decayed_counter delay_sum;
    decayed_counter delay_count;
    decayed_counter took_sum;
    decayed_counter took_count;
    service_figures remote;
    duration remote_age{};
    /// One for each 100 ms: completions of all hosts and arrivals of this one.
    std::array<double, 30> recent_completions{};
    std::array<double, 30> recent_arrivals{};
    std::int64_t current_step = 0;
    double base_delay; ///< lowest recent delay
    double delay = 0.0;
    double capacity = 0.0;
    double rate = 0.0;
    int slots = 0;
    std::size_t hosts = 1;
    bool congested = false;
};

} // namespace poplardrift::overload
