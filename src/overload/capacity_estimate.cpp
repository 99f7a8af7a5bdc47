#include "overload/capacity_estimate.hpp"

#include <algorithm>
#include <limits>

namespace poplardrift::overload
{

namespace
{

using namespace std::chrono_literals;

constexpr duration step_length = 100ms;
/// Of the counter of arrivals. Hosts with few requests need 2 s for a steady share.
constexpr double arrivals_window_seconds = 2.0;
constexpr duration delay_memory = 250ms;
constexpr duration took_memory = 5s;
/// Part of the objective above which the mean delay means congestion.
constexpr double lowest_delay_limit = 0.5;
/// Above this mean most responses miss the objective, however fast the service is without load.
constexpr double highest_delay_limit = 0.8;
/// Services that are slow without any queue are congested above this multiple of that delay.
constexpr double base_delay_factor = 1.5;
/// The lowest delay is forgotten at this rate, so that a change of the service is followed.
constexpr double base_growth_per_step = 0.003;
/// Part of the limit that admission steers for.
constexpr double target_part = 0.95;
/// Change of the rate for a delay off its target by a whole objective. At 1.5 and more the queues
/// of the upstreams oscillate when hosts act on the same delay.
constexpr double gain = 1.0;
constexpr double lowest_correction = 0.5;
constexpr double highest_correction = 1.25;
/// A full queue answers at once; its delay would have been above the objective.
constexpr double declined_delay = 1.5;
/// Figures of other hosts count as this many responses of this host.
constexpr double remote_weight = 3.0;
/// Part of an equal share that a host has whose arrivals have only begun.
constexpr double least_share = 0.25;
/// Fewer responses than this do not show congestion.
constexpr double min_responses = 4.0;

} // namespace

auto add_figures(std::vector<service_figures>& sums, const std::vector<service_figures>& more)
    -> void
{
    for (const auto& figures : more)
    {
        const auto found =
            std::find_if(sums.begin(), sums.end(),
                         [&](const auto& sum) { return sum.service == figures.service; });
        if (found == sums.end())
        {
            sums.push_back(figures);
            continue;
        }
        const auto completions = found->completions + figures.completions;
        if (completions > 0.0)
        {
            found->delay =
                (found->delay * found->completions + figures.delay * figures.completions) /
                completions;
        }
        found->completions = completions;
        found->arrivals += figures.arrivals;
    }
}

capacity_estimate::capacity_estimate()
    : delay_sum(delay_memory), delay_count(delay_memory), took_sum(took_memory),
      took_count(took_memory), base_delay(std::numeric_limits<double>::infinity())
{
}

auto capacity_estimate::on_arrival(time_point now) -> void
{
    this->arrivals.add(now);
}

auto capacity_estimate::on_first_output(double delay, time_point now) -> void
{
    // One response from a stuck upstream must not stand for the queue of all.
    constexpr double longest_delay = 2.0;
    this->delay_sum.add(now, std::clamp(delay, 0.0, longest_delay));
    this->delay_count.add(now);
}

auto capacity_estimate::on_declined(time_point now) -> void
{
    this->delay_sum.add(now, declined_delay);
    this->delay_count.add(now);
}

auto capacity_estimate::on_completion(duration took, time_point now) -> void
{
    this->completions.add(now);
    this->took_sum.add(now, to_seconds(took));
    this->took_count.add(now);
}

auto capacity_estimate::set_remote(const service_figures& sum, duration age) -> void
{
    this->remote = sum;
    this->remote_age = age;
}

auto capacity_estimate::set_fleet(int slots, std::size_t hosts) -> void
{
    this->slots = slots;
    this->hosts = std::max<std::size_t>(hosts, 1);
}

auto capacity_estimate::get_local(time_point now) -> service_figures
{
    const auto count = this->delay_count.total(now);
    return {service_key(0),
            static_cast<double>(this->arrivals.total(now)) / arrivals_window_seconds,
            static_cast<double>(this->completions.total(now)),
            count > 0.0 ? this->delay_sum.total(now) / count : 0.0};
}

auto capacity_estimate::get_delay_limit() const -> double
{
    return std::clamp(this->base_delay * base_delay_factor, lowest_delay_limit,
                      highest_delay_limit);
}

auto capacity_estimate::measure_delay(time_point now) const -> double
{
    const auto weight =
        this->remote.completions > 0.0
            ? remote_weight * std::exp(-to_seconds(this->remote_age) / to_seconds(delay_memory))
            : 0.0;
    const auto count = this->delay_count.total(now) + weight;
    return count > 0.0 ? (this->delay_sum.total(now) + weight * this->remote.delay) / count : 0.0;
}

auto capacity_estimate::lowest_capacity(double share, time_point now) const -> double
{
    // As many requests as there are slots find no queue. Without this bound a service that is slow
    // for another reason would be limited further and further.
    const auto count = this->took_count.total(now);
    const auto took = this->took_sum.total(now);
    const auto own_share =
        this->remote.arrivals > 0.0 ? share : 1.0 / static_cast<double>(this->hosts);
    return took > 0.0 ? own_share * this->slots * count / took : 0.0;
}

auto capacity_estimate::share_of_host() const -> double
{
    // Own arrivals are taken from the time of the other figures. Compared with older ones, a rise
    // or fall of the whole load would look like one of this host's share.
    const auto size = static_cast<std::int64_t>(this->recent_arrivals.size());
    const auto steps_back = std::clamp<std::int64_t>(this->remote_age / step_length, 0, size - 1);
    const auto position = (this->current_step - steps_back + size) % size;
    const auto own = this->recent_arrivals[static_cast<std::size_t>(position)];
    const auto all = own + this->remote.arrivals;
    const auto least =
        this->remote.arrivals > 0.0 ? least_share / static_cast<double>(this->hosts) : 1.0;
    return all > 0.0 ? std::max(own / all, least) : 1.0;
}

auto capacity_estimate::update(time_point now) -> void
{
    const auto local = this->get_local(now);
    const auto step = now.time_since_epoch() / step_length;
    const auto size = static_cast<std::int64_t>(this->recent_completions.size());
    const auto all_completions = local.completions + this->remote.completions;
    this->current_step = std::max(this->current_step, step - size);
    while (this->current_step < step)
    {
        ++this->current_step;
        this->recent_completions[static_cast<std::size_t>(this->current_step % size)] =
            all_completions;
        this->recent_arrivals[static_cast<std::size_t>(this->current_step % size)] = local.arrivals;
        this->base_delay *= 1.0 + base_growth_per_step;
    }
    this->capacity =
        *std::max_element(this->recent_completions.begin(), this->recent_completions.end());
    this->delay = this->measure_delay(now);
    const auto has_responses = this->delay_count.total(now) >= min_responses;
    if (has_responses)
    {
        this->base_delay = std::min(this->base_delay, this->delay);
    }
    const auto limit = this->get_delay_limit();
    const auto is_known = this->capacity > 0.0 && (has_responses || this->remote.completions > 0.0);
    this->congested = is_known && this->delay > limit;
    const auto share = this->share_of_host();
    const auto correction = std::clamp(1.0 + gain * (target_part * limit - this->delay),
                                       lowest_correction, highest_correction);
    this->rate = std::max(this->capacity * correction * share, this->lowest_capacity(share, now));
}

} // namespace poplardrift::overload
