#pragma once

#include <optional>
#include <string>
#include <utility>

namespace poplardrift
{

/// Result of an operation that can fail: a value, or the reason for the failure.
template <class T>
class [[nodiscard]] outcome final
{
public:
    outcome(T result) : stored(std::move(result)) {} // NOLINT: implicit on purpose

    /// A failed outcome, with the reason.
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
    /// Reason for the failure; empty on success.
    [[nodiscard]] auto failure_reason() const -> const std::string& { return this->reason; }

private:
    outcome() = default;
    std::optional<T> stored;
    std::string reason;
};

} // namespace poplardrift
