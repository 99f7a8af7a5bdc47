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
    outcome(T result) : stored(std::move(result)) {} // NOLINT: implicit by intent

    /// An outcome without a value.
    [[nodiscard]] static auto failure(const std::string& reason) -> outcome
    {
        outcome result;
        result.reason = reason;
        return result;
    }

    [[nodiscard]] explicit operator bool() const noexcept { return this->stored.has_value(); }
    [[nodiscard]] auto operator*() const -> const T& { return *this->stored; }
    [[nodiscard]] auto operator*() -> T& { return *this->stored; }
    [[nodiscard]] auto operator->() const -> const T* { return &*this->stored; }
    [[nodiscard]] auto value() const -> const std::optional<T>& { return this->stored; }
    /// Why there is no value; empty when there is one.
    [[nodiscard]] auto failure_reason() const -> const std::string& { return this->reason; }

private:
    outcome() = default;
    std::optional<T> stored;
    std::string reason;
};

} // namespace poplardrift
