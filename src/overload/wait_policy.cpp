#include "overload/wait_policy.hpp"

namespace poplardrift::overload
{

namespace
{

/// A request waits for at most its objective divided by this.
constexpr int wait_divisor = 8;

} // namespace

auto longest_wait_of(duration objective) -> duration
{
    return objective / wait_divisor;
}

auto has_time_for_send(duration time_left) -> bool
{
    return time_left > min_time_for_send;
}

auto may_wait(const waiting_request& request, const routing::placement_failure& failure) -> bool
{
    return failure.may_clear_soon && request.sends == 0 &&
           request.age < longest_wait_of(request.objective) && has_time_for_send(request.time_left);
}

} // namespace poplardrift::overload
