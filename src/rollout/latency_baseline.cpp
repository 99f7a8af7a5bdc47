#include "rollout/latency_baseline.hpp"

#include "poplardrift/base/ids.hpp"

#include <algorithm>
#include <bit>

namespace poplardrift::rollout
{

namespace
{

/// A response is slow from this multiple of the old version's median on.
constexpr double slow_factor = 2.5;
/// Differences below this are within the jitter of hosts and links.
constexpr double min_difference_ms = 5.0;
constexpr std::size_t min_samples = 5;
/// Bounds the memory if routes or zones are many.
constexpr std::size_t max_cells = 4'000;

} // namespace

auto latency_baseline::cell_of(const latency_class& of) -> cell
{
    return {hash_pair_64(of.route.value(), of.zone),
            static_cast<std::uint32_t>(std::bit_width(of.prefill_tokens))};
}

auto latency_baseline::median(const cell& at) const -> std::optional<double>
{
    const auto found = this->cells.find(at);
    if (found == this->cells.end() || found->second.count < min_samples)
    {
        return std::nullopt;
    }
    auto sorted = found->second.ms;
    const auto size = std::min(found->second.count, window);
    auto* const middle = sorted.data() + size / 2;
    std::nth_element(sorted.data(), middle, sorted.data() + size);
    return *middle;
}

auto latency_baseline::is_slow(const latency_class& of, duration length) const
    -> std::optional<bool>
{
    auto at = cell_of(of);
    // A prompt with twice the tokens to read takes at most twice the time. A new version has no
    // cache yet, so its prompts are often longer to read than the old version's.
    double factor = 1.0;
    auto usual = this->median(at);
    while (!usual && at.bucket > 0)
    {
        --at.bucket;
        factor *= 2.0;
        usual = this->median(at);
    }
    if (!usual)
    {
        return std::nullopt;
    }
    const auto limit = *usual * factor * slow_factor + min_difference_ms;
    return to_seconds(length) * 1000.0 > limit;
}

auto latency_baseline::add(const latency_class& of, duration length) -> void
{
    const auto at = cell_of(of);
    if (this->cells.size() >= max_cells && !this->cells.contains(at))
    {
        return;
    }
    auto& samples = this->cells[at];
    samples.ms[samples.count++ % window] = static_cast<float>(to_seconds(length) * 1000.0);
}

} // namespace poplardrift::rollout
