#pragma once

#include "poplardrift/base/time.hpp"
#include "rollout/evidence.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace poplardrift::rollout
{

/// Requests whose times may be compared: of one route, at upstreams of one zone, with a similar
/// number of prompt tokens to read.
struct latency_class
{
    route_key route;
    std::uint32_t zone = 0; ///< hash of its name
    std::uint32_t prefill_tokens = 0;
};

/// The old version's usual times, as this host has seen them lately.
class latency_baseline final
{
public:
    /// True if `length` is far above the median of its class; nullopt while too little is known.
    [[nodiscard]] auto is_slow(const latency_class& of, duration length) const
        -> std::optional<bool>;
    /// Adds a time of the old version.
    auto add(const latency_class& of, duration length) -> void;

private:
    static constexpr std::size_t window = 31;
    struct samples
    {
        std::array<float, window> ms{};
        std::size_t count = 0; ///< of all added
    };
    struct cell
    {
        std::uint64_t group = 0; ///< hash of route and zone
        std::uint32_t bucket = 0;

        auto operator==(const cell&) const -> bool = default;
        template <class H>
        friend auto AbslHashValue(H state, const cell& item) -> H // NOLINT
        {
            return H::combine(std::move(state), item.group, item.bucket);
        }
    };

    [[nodiscard]] static auto cell_of(const latency_class& of) -> cell;
    /// Median in ms; nullopt with too few samples.
    [[nodiscard]] auto median(const cell& at) const -> std::optional<double>;

    absl::flat_hash_map<cell, samples> cells;
};

} // namespace poplardrift::rollout
