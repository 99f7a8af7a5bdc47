#pragma once

#include <optional>
#include <string>
#include <utility>

namespace poplardrift
{

/// Result of an operation that can fail: a value, or the last reason why there is none.
template <class T>
class [[nodiscard]] outcome final
{
public:
    outcome(T result) : held(std::move(result)) {} // NOLINT: implicit by intent

    /// An outcome without a value.
    [[nodiscard]] static auto failure(const std::string& why) -> outcome
    {
        outcome result;
        result.why = why;
        return result;
    }

    [[nodiscard]] explicit operator bool() const noexcept { return this->held.has_value(); }
    [[nodiscard]] auto operator*() const -> const T& { return *this->held; }
    [[nodiscard]] auto operator*() -> T& { return *this->held; }
    [[nodiscard]] auto operator->() const -> const T* { return &*this->held; }
    [[nodiscard]] auto value() const -> const std::optional<T>& { return this->held; }
    /// Why there is no value; empty when there is one.
    [[nodiscard]] auto last_reason() const -> const std::string& { return this->why; }

private:
    outcome() = default;
    std::optional<T> held;
    std::string why;
};

} // namespace poplardrift
