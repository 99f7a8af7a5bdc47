#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace poplardrift::traffic
{

/// What a descriptor is used for.
enum class descriptor_use : std::uint8_t
{
    caller,
    upstream,
};

/// Bounds the descriptors that the data path has open, by use; a connection counts until its socket
/// is closed, also while it lingers after its last response. Traffic thread.
class descriptor_budget final
{
public:
    /// Gives a descriptor back when it is destroyed. Must not outlive the budget.
    using lease = std::shared_ptr<void>;

    explicit descriptor_budget(std::size_t max_of_each_use) : max_of_each_use(max_of_each_use) {}

    [[nodiscard]] auto has_room(descriptor_use use) const -> bool
    {
        return this->count(use) < this->max_of_each_use;
    }
    [[nodiscard]] auto count(descriptor_use use) const -> std::size_t
    {
        return this->counts[static_cast<std::size_t>(use)];
    }
    /// Counts a descriptor, whether there is room or not.
    [[nodiscard]] auto take(descriptor_use use) -> lease
    {
        auto& count = this->counts[static_cast<std::size_t>(use)];
        ++count;
        return {&count, [](std::size_t* taken) { --*taken; }};
    }

private:
    std::size_t max_of_each_use;
    std::array<std::size_t, 2> counts{};
};

} // namespace poplardrift::traffic
