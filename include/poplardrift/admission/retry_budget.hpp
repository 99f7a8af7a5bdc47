#pragma once

namespace poplardrift
{

/// Settings of the retry budget.
struct retry_budget_settings
{
    double retries_per_request = 0.1; ///< long-run ratio of retries to requests
    double max_saved = 20.0;          ///< capacity of the token bucket, in retries
};

/// Limits retries to a ratio of the requests, so that retries do not amplify the load during
/// failures. A token bucket that is refilled by requests instead of time. Not thread-safe.
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
    /// Consumes one retry. False when the budget is exhausted.
    [[nodiscard]] auto take() -> bool;

private:
    retry_budget_settings settings;
    double saved;
};

} // namespace poplardrift
