#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace poplardrift
{

/// Wraps a value in a distinct type, so that ids and units cannot be mixed up.
/// `Tag` is an incomplete type that makes each instantiation distinct. No run-time overhead.
template <class Tag, class Rep>
class strong_type final
{
public:
    using rep = Rep;

    constexpr strong_type() = default;
    constexpr explicit strong_type(Rep value) : wrapped(std::move(value)) {}

    /// The wrapped value.
    [[nodiscard]] constexpr auto value() const noexcept -> const Rep& { return this->wrapped; }

    // NOLINTNEXTLINE: clang-tidy does not handle defaulted comparisons
    [[nodiscard]] friend auto operator<=>(const strong_type&, const strong_type&) = default;

    /// Hash support for Abseil containers.
    template <class H>
    friend auto AbslHashValue(H state, const strong_type& item) -> H // NOLINT
    {
        return H::combine(std::move(state), item.wrapped);
    }

private:
    Rep wrapped{};
};

} // namespace poplardrift

template <class Tag, class Rep>
struct std::hash<poplardrift::strong_type<Tag, Rep>>
{
    auto operator()(const poplardrift::strong_type<Tag, Rep>& item) const noexcept -> std::size_t
    {
        return std::hash<Rep>{}(item.value());
    }
};
