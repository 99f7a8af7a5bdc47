#include "poplardrift/admission/retry_budget.hpp"

#include <algorithm>

namespace poplardrift
{

auto retry_budget::on_request() -> void
{
    this->saved =
        std::min(this->saved + this->settings.retries_per_request, this->settings.max_saved);
}

auto retry_budget::take() -> bool
{
    if (this->saved < 1.0)
    {
        return false;
    }
    this->saved -= 1.0;
    return true;
}

} // namespace poplardrift
