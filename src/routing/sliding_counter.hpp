#pragma once

#include "poplardrift/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace poplardrift::routing
{

/// Counts events in a sliding window of 64 buckets. The buckets cover up to one bucket more than
/// the window, so a limit on the total holds for every interval of the window's length. Does not
/// allocate. Not thread-safe.
class sliding_counter final
{
public:
    explicit sliding_counter(duration window) : step(window / (steps - 1)) {}

    auto add(time_point now, std::uint32_t count = 1) -> void
    {
        this->advance(now);
        this->counts[this->position] += count;
        this->sum += count;
    }
    /// Number of events in the window that ends at `now`.
    [[nodiscard]] auto total(time_point now) -> std::uint64_t
    {
        this->advance(now);
        return this->sum;
    }

private:
    static constexpr std::size_t steps = 64;

    auto advance(time_point now) -> void
    {
        const auto target = now.time_since_epoch() / this->step;
        if (target - this->current >= static_cast<std::int64_t>(steps))
        {
            this->counts.fill(0);
            this->sum = 0;
            this->current = target;
            return;
        }
        while (this->current < target)
        {
            ++this->current;
            this->position = (this->position + 1) % steps;
            this->sum -= this->counts[this->position];
            this->counts[this->position] = 0;
        }
    }

    duration step;
    std::array<std::uint32_t, steps> counts{};
    std::size_t position = 0;
    std::uint64_t sum = 0;
    std::int64_t current = 0;
};

} // namespace poplardrift::routing
