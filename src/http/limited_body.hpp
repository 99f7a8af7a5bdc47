#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace poplardrift::http
{

/// Collects a body that is needed whole, up to a limit. Not thread-safe.
class limited_body final
{
public:
    explicit limited_body(std::size_t max_bytes) : max_bytes(max_bytes) {}

    /// False when the body would exceed its limit; the bytes are dropped then.
    [[nodiscard]] auto append(std::string_view more) -> bool
    {
        if (more.size() > this->max_bytes - this->bytes.size())
        {
            return false;
        }
        this->bytes.append(more);
        return true;
    }
    /// Returns the body and clears it.
    [[nodiscard]] auto take() -> std::string { return std::exchange(this->bytes, {}); }

private:
    std::size_t max_bytes;
    std::string bytes;
};

} // namespace poplardrift::http
