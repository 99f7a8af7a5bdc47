#pragma once

#include "poplardrift/base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace poplardrift::routing
{

/// What an upstream says about its load in a response.
struct load_report
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work takes there now, in percent of the usual time.
    std::optional<int> work_time_percent;

    auto operator==(const load_report&) const -> bool = default;
};

/// Builds a report from its three or four figures in the order of load_report. Empty if their
/// number or one of them is absurd.
[[nodiscard]] auto make_load_report(std::span<const std::int64_t> figures)
    -> std::optional<load_report>;

/// Exponentially weighted moving average of a positive quantity, with its variance. Deterministic.
class learnt_time final
{
public:
    auto add(double sample, time_point now) -> void;

    [[nodiscard]] auto is_known() const -> bool { return this->samples > 0; }
    [[nodiscard]] auto get_mean() const -> double { return this->mean; }
    [[nodiscard]] auto get_variance() const -> double { return this->variance; }
    /// Number of samples that the average stands for; decreases with the time since the last one.
    [[nodiscard]] auto weight(time_point now) const -> double;

private:
    double mean = 0.0;
    double variance = 0.0;
    int samples = 0; ///< at most the length of the average
    time_point last_added_at{};
};

/// What this host has learnt about all upstreams of a service. Owned by the traffic thread.
struct service_speed
{
    learnt_time token_ms;          ///< time per prompt token, without slowness
    learnt_time response_ms;       ///< time per plain response, without slowness
    bool reports_slowness = false; ///< one of its upstreams has reported a work time

    [[nodiscard]] auto usual_token_ms() const -> double;
    [[nodiscard]] auto usual_response_ms() const -> double;
};

/// Time that one request in flight at an engine adds to each other one, by the engine's time per
/// prompt token: what slows down the reading of prompts slows down decode steps alike.
[[nodiscard]] auto in_flight_ms_of(double token_ms) -> double;

/// Inputs and result of the estimate by which a request was placed.
struct placement_estimate
{
    double expected_ms = 0.0; ///< until the first output; 0 if there is no estimate
    double slowness = 1.0;
    double turns = 1.0; ///< of a plain service: requests there by its slots, at least 1
    std::uint64_t waiting_tokens = 0; ///< prompt tokens of this host that waited there
};

/// Speed of one upstream as far as this host knows it: what the upstream reports and what its
/// responses have shown. Deterministic; owned by the traffic thread.
class upstream_speed final
{
public:
    auto on_load_report(const load_report& report, time_point now) -> void;
    /// A prompt, of which `tokens` were not cached, was read in `took`. It was placed by
    /// `estimate`; `in_flight` other requests were there.
    auto on_prompt_read(std::uint32_t tokens, int in_flight, const placement_estimate& estimate,
                        duration took, service_speed& service, time_point now) -> void;
    /// A plain response, which was placed by `estimate`, took `took`.
    auto on_response(const placement_estimate& estimate, duration took, service_speed& service,
                     time_point now) -> void;
    /// Sets the number of slots by the registry. A reported number takes precedence.
    auto set_registered_slots(int slots) -> void { this->registered_slots = slots; }

    /// Current factor on the usual time of work. Falls back to the mean of the reports as the last
    /// one gets older; 1 without reports.
    [[nodiscard]] auto slowness(time_point now) const -> double;
    /// Expected times without slowness. Near the service's mean until there are enough samples.
    [[nodiscard]] auto token_ms(const service_speed& service, time_point now) const -> double;
    [[nodiscard]] auto response_ms(const service_speed& service, time_point now) const -> double;
    /// Requests that run at once; 1 if unknown.
    [[nodiscard]] auto slots() const -> int;

    [[nodiscard]] auto get_report() const -> const std::optional<load_report>&
    {
        return this->report;
    }
    [[nodiscard]] auto get_reported_at() const -> time_point { return this->reported_at; }
    [[nodiscard]] auto get_learnt_token_ms() const -> const learnt_time& { return this->token; }
    [[nodiscard]] auto get_learnt_response_ms() const -> const learnt_time&
    {
        return this->response;
    }

private:
    auto add_slowness(double value, time_point now) -> void;

    std::optional<load_report> report;
    time_point reported_at{};
    time_point slowness_at{}; ///< last report with a work time
    double recent_slowness = 1.0;
    double mean_slowness = 1.0;
    bool has_slowness = false;
    learnt_time token;
    learnt_time response;
    int registered_slots = 0;
};

} // namespace poplardrift::routing
