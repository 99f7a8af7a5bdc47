#include "rollout/early_verdicts.hpp"

#include "rollout/verdict.hpp"

namespace poplardrift::rollout
{

namespace
{

/// Part of the bad responses so far that may come before the next early verdict.
constexpr std::uint64_t growth_divisor = 8;

} // namespace

auto early_verdicts::is_due_at_bad_response() -> bool
{
    if (++this->bad_responses < this->due_at)
    {
        return false;
    }
    this->due_at = this->bad_responses < certain_bad_responses
                       ? this->bad_responses + 1
                       : this->bad_responses + this->bad_responses / growth_divisor;
    return true;
}

} // namespace poplardrift::rollout
