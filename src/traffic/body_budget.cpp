#include "traffic/body_budget.hpp"

#include <utility>

namespace poplardrift::traffic
{

namespace
{

/// A workspace leaves one part in this many to the others.
constexpr std::size_t part_for_others = 4;

} // namespace

auto body_budget::try_take(const std::string& workspace, std::size_t bytes) -> bool
{
    const auto found = this->by_workspace.find(workspace);
    const auto own = found == this->by_workspace.end() ? 0 : found->second;
    const auto max_own = this->max_bytes - this->max_bytes / part_for_others;
    if (bytes > this->max_bytes - this->taken || bytes > max_own - own)
    {
        return false;
    }
    this->taken += bytes;
    this->by_workspace[workspace] = own + bytes;
    return true;
}

auto body_budget::give_back(const std::string& workspace, std::size_t bytes) -> void
{
    this->taken -= bytes;
    const auto found = this->by_workspace.find(workspace);
    found->second -= bytes;
    if (found->second == 0)
    {
        this->by_workspace.erase(found);
    }
}

auto body_reservation::operator=(body_reservation&& other) noexcept -> body_reservation&
{
    if (this != &other)
    {
        this->release();
        this->budget = std::exchange(other.budget, nullptr);
        this->workspace = std::move(other.workspace);
        this->bytes = std::exchange(other.bytes, 0);
    }
    return *this;
}

auto body_reservation::try_grow_to(std::size_t wanted) -> bool
{
    if (wanted <= this->bytes)
    {
        return true;
    }
    if (!this->budget->try_take(this->workspace, wanted - this->bytes))
    {
        return false;
    }
    this->bytes = wanted;
    return true;
}

auto body_reservation::release() -> void
{
    if (this->budget != nullptr && this->bytes > 0)
    {
        this->budget->give_back(this->workspace, this->bytes);
    }
    this->budget = nullptr;
    this->bytes = 0;
}

} // namespace poplardrift::traffic
