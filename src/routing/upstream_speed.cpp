#include "routing/upstream_speed.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr std::int64_t max_figure = 100'000;
constexpr std::int64_t min_work_time_percent = 5;
constexpr std::int64_t max_work_time_percent = 10'000;
constexpr std::int64_t max_running_per_slot = 4;

/// Bounds of slowness, and of a learnt time as a multiple of its service's: reports that are wrong
/// have a bounded effect.
constexpr double min_slowness = 0.25;
constexpr double max_slowness = 8.0;
/// Speeds change many times a second, so a report says less the older it is, and nothing after
/// `slowness_lifetime`.
constexpr duration slowness_lifetime = 1s;
/// Averaging time of reports that follow each other closely.
constexpr duration slowness_filter = 100ms;
constexpr duration slowness_mean_filter = 5s;

/// Samples that an average stands for; older ones lose weight.
constexpr int average_length = 32;
/// Samples of an upstream that weigh as much as its service's mean.
constexpr double prior_samples = 4.0;
/// Time in which an estimate without new samples returns to the service's mean, so that an upstream
/// that was slow once gets work again.
constexpr duration estimate_lifetime = 120s;
/// A sample counts as at most this multiple of the average: a response may wait for a cause that
/// has nothing to do with the speed.
constexpr double max_sample_ratio = 8.0;

/// Times of a typical engine and plain service, used until responses have been seen.
constexpr double default_token_ms = 1.0 / 101.0;
constexpr double default_in_flight_ms = 1.5;
constexpr double default_response_ms = 50.0;
/// Shorter prompts are not learnt from: fixed times outweigh the time per token.
constexpr std::uint32_t min_learnt_tokens = 512;

/// Weight of the last value of an average over `length` after `age`.
auto decay(duration age, duration length) -> double
{
    return std::exp(-to_seconds(std::max(age, duration{})) / to_seconds(length));
}

/// Part of the lifetime that is left at an age, from 1 to 0.
auto part_left(duration age, duration lifetime) -> double
{
    return std::clamp(1.0 - to_seconds(age) / to_seconds(lifetime), 0.0, 1.0);
}

auto to_ms(duration length) -> double
{
    return to_seconds(length) * 1e3;
}

/// Weighs an upstream's average against its service's mean.
auto estimate(const learnt_time& own, double usual, time_point now) -> double
{
    const auto weight = own.weight(now);
    const auto mean = (own.get_mean() * weight + usual * prior_samples) / (weight + prior_samples);
    return std::clamp(mean, usual * min_slowness, usual * max_slowness);
}

} // namespace

auto make_load_report(std::span<const std::int64_t> figures) -> std::optional<load_report>
{
    constexpr std::size_t figures_without_work_time = 3;
    if (figures.size() != figures_without_work_time &&
        figures.size() != figures_without_work_time + 1)
    {
        return std::nullopt;
    }
    const auto is_absurd = [](std::int64_t figure) { return figure < 0 || figure > max_figure; };
    if (std::any_of(figures.begin(), figures.end(), is_absurd) ||
        figures[0] > max_running_per_slot * figures[2])
    {
        return std::nullopt;
    }
    load_report report{static_cast<int>(figures[0]), static_cast<int>(figures[1]),
                       static_cast<int>(figures[2]), std::nullopt};
    if (figures.size() > figures_without_work_time)
    {
        const auto percent = figures.back();
        if (percent < min_work_time_percent || percent > max_work_time_percent)
        {
            return std::nullopt;
        }
        report.work_time_percent = static_cast<int>(percent);
    }
    return report;
}

auto learnt_time::add(double sample, time_point now) -> void
{
    if (!std::isfinite(sample) || sample <= 0.0)
    {
        return;
    }
    this->last_added_at = now;
    if (this->samples == 0)
    {
        this->mean = sample;
        this->samples = 1;
        return;
    }
    const auto bounded =
        std::clamp(sample, this->mean / max_sample_ratio, this->mean * max_sample_ratio);
    this->samples = std::min(this->samples + 1, average_length);
    const auto share = 1.0 / this->samples;
    const auto difference = bounded - this->mean;
    this->mean += share * difference;
    this->variance = (1.0 - share) * (this->variance + share * difference * difference);
}

auto learnt_time::weight(time_point now) const -> double
{
    return this->samples * part_left(now - this->last_added_at, estimate_lifetime);
}

auto service_speed::usual_token_ms() const -> double
{
    return this->token_ms.is_known() ? this->token_ms.get_mean() : default_token_ms;
}

auto service_speed::usual_response_ms() const -> double
{
    return this->response_ms.is_known() ? this->response_ms.get_mean() : default_response_ms;
}

auto in_flight_ms_of(double token_ms) -> double
{
    return default_in_flight_ms * token_ms / default_token_ms;
}

auto upstream_speed::on_load_report(const load_report& next, time_point now) -> void
{
    this->report = next;
    this->reported_at = now;
    if (next.work_time_percent)
    {
        constexpr double percent = 100.0;
        this->add_slowness(
            std::clamp(*next.work_time_percent / percent, min_slowness, max_slowness), now);
    }
}

auto upstream_speed::add_slowness(double value, time_point now) -> void
{
    if (!this->has_slowness)
    {
        this->has_slowness = true;
        this->recent_slowness = value;
        this->mean_slowness = value;
        this->slowness_at = now;
        return;
    }
    const auto age = now - this->slowness_at;
    this->slowness_at = now;
    // Reports of the same moment differ in what their requests met, so each has some weight.
    constexpr double min_weight = 0.3;
    const auto recent_weight = std::max(min_weight, 1.0 - decay(age, slowness_filter));
    this->recent_slowness += recent_weight * (value - this->recent_slowness);
    this->mean_slowness += (1.0 - decay(age, slowness_mean_filter)) * (value - this->mean_slowness);
}

auto upstream_speed::slowness(time_point now) const -> double
{
    const auto left = part_left(now - this->slowness_at, slowness_lifetime);
    return this->mean_slowness + (this->recent_slowness - this->mean_slowness) * left * left;
}

auto upstream_speed::on_prompt_read(std::uint32_t tokens, int in_flight,
                                    const placement_estimate& estimate, duration took,
                                    service_speed& service, time_point now) -> void
{
    if (tokens < min_learnt_tokens)
    {
        return;
    }
    const auto usual = service.usual_token_ms();
    const auto whole_ms = to_ms(took) / estimate.slowness;
    // The other requests explain only part of the time, whatever their number.
    constexpr double max_others_share = 0.5;
    const auto others_ms = std::min(in_flight_ms_of(this->token_ms(service, now)) * in_flight,
                                    max_others_share * whole_ms);
    const auto read_tokens = static_cast<double>(tokens + estimate.waiting_tokens);
    const auto sample = std::clamp((whole_ms - others_ms) / read_tokens, usual / max_sample_ratio,
                                   usual * max_sample_ratio);
    this->token.add(sample, now);
    service.token_ms.add(sample, now);
}

auto upstream_speed::on_response(const placement_estimate& estimate, duration took,
                                 service_speed& service, time_point now) -> void
{
    const auto sample = to_ms(took) / (estimate.slowness * estimate.turns);
    this->response.add(sample, now);
    service.response_ms.add(sample, now);
}

auto upstream_speed::token_ms(const service_speed& service, time_point now) const -> double
{
    return estimate(this->token, service.usual_token_ms(), now);
}

auto upstream_speed::response_ms(const service_speed& service, time_point now) const -> double
{
    return estimate(this->response, service.usual_response_ms(), now);
}

auto upstream_speed::slots() const -> int
{
    const auto reported = this->report ? this->report->slots : 0;
    return std::max(1, reported > 0 ? reported : this->registered_slots);
}

} // namespace poplardrift::routing
