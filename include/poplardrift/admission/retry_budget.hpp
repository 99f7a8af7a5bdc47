#pragma once

namespace poplardrift
{

/// Settings of the retry budget.
struct retry_budget_settings
{
    double retries_a_request = 0.1; ///< long-run share of retries
    double most_saved = 20.0;       ///< retries that may be saved up
};

/// Bounds retries to a share of the requests, so that a fleet under failure does not multiply its
/// own load. A token bucket fed by requests instead of time. Not thread-safe.
class retry_budget final
{
public:
    explicit retry_budget(retry_budget_settings settings)
        : settings(settings), saved(settings.most_saved)
    {
    }

    auto set_share(double retries_a_request) -> void
    {
        this->settings.retries_a_request = retries_a_request;
    }
    auto on_request() -> void;
    /// Takes one retry out of the budget. False when there is none.
    [[nodiscard]] auto take() -> bool;

private:
    retry_budget_settings settings;
    double saved;
};

} // namespace poplardrift
