#pragma once

#include "poplardrift/base/time.hpp"

#include <cmath>

namespace poplardrift::overload
{

/// Sum of events whose weight falls exponentially with their age. Not thread-safe.
class decayed_counter final
{
public:
    decayed_counter() = default;
    explicit decayed_counter(duration time_constant) : time_constant(to_seconds(time_constant)) {}

    auto add(time_point now, double amount = 1.0) -> void
    {
        this->value = this->total(now) + amount;
        this->updated_at = now;
    }
    [[nodiscard]] auto total(time_point now) const -> double
    {
        return now <= this->updated_at || this->value == 0.0
                   ? this->value
                   : this->value *
                         std::exp(-to_seconds(now - this->updated_at) / this->time_constant);
    }
    [[nodiscard]] auto per_second(time_point now) const -> double
    {
        return this->total(now) / this->time_constant;
    }

private:
    double time_constant = 1.0;
    double value = 0.0;
    time_point updated_at{};
};

} // namespace poplardrift::overload
