#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace poplardrift
{

/// Wraps a representation in a type of its own, so that ids and units cannot be mixed up.
/// `Tag` is never defined; it only tells one type from another. Costs nothing at run time.
template <class Tag, class Rep>
class strong_type final
{
public:
    using rep = Rep;

    constexpr strong_type() = default;
    constexpr explicit strong_type(Rep value) : wrapped(std::move(value)) {}

    /// The wrapped value.
    [[nodiscard]] constexpr auto value() const noexcept -> const Rep& { return this->wrapped; }

    // NOLINTNEXTLINE: the linter does not know a defaulted comparison
    [[nodiscard]] friend auto operator<=>(const strong_type&, const strong_type&) = default;

    /// Lets Abseil's containers hash the value.
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
