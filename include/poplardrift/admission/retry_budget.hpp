#pragma once

namespace poplardrift
{

/// Settings of the retry budget.
struct retry_budget_settings
{
    double retries_per_request = 0.1; ///< long-run share of retries
    double max_saved = 20.0;          ///< retries that may be saved up
};

/// Bounds retries to a share of the requests, so that a fleet under failure does not multiply its
/// own load. A token bucket fed by requests instead of time. Not thread-safe.
class retry_budget final
{
public:
    explicit retry_budget(retry_budget_settings settings)
        : settings(settings), saved(settings.max_saved)
    {
    }

    auto set_retry_ratio(double retries_per_request) -> void
    {
        this->settings.retries_per_request = retries_per_request;
    }
    auto on_request() -> void;
    /// Takes one retry out of the budget. False when there is none.
    [[nodiscard]] auto take() -> bool;

private:
    retry_budget_settings settings;
    double saved;
};

} // namespace poplardrift
