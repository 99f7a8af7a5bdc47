#include "traffic/memory_budget.hpp"

#include <utility>

namespace poplardrift::traffic
{

namespace
{

/// A workspace or a caller address leaves one part in this many to the others.
constexpr std::size_t part_for_others = 4;

template <class Map, class Key>
auto amount_of(const Map& map, const Key& key) -> std::size_t
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

template <class Map, class Key>
auto subtract(Map& map, const Key& key, std::size_t bytes) -> void
{
    const auto found = map.find(key);
    found->second -= bytes;
    if (found->second == 0)
    {
        map.erase(found);
    }
}

} // namespace

auto to_text(room_shortage shortage) -> const char*
{
    switch (shortage)
    {
    case room_shortage::none:
        return "none";
    case room_shortage::process:
        return "memory";
    case room_shortage::workspace:
        return "memory_of_workspace";
    case room_shortage::address:
        return "memory_of_address";
    }
    return "none";
}

auto memory_budget::try_take(const std::string& workspace, std::uint32_t address, std::size_t bytes)
    -> room_shortage
{
    const auto max_part = this->max_bytes - this->max_bytes / part_for_others;
    const auto of_workspace = amount_of(this->by_workspace, workspace);
    const auto of_address = amount_of(this->by_address, address);
    // Connections whose workspace isn't known yet are bounded by their address alone.
    if (!workspace.empty() && bytes > max_part - of_workspace)
    {
        return room_shortage::workspace;
    }
    if (bytes > max_part - of_address)
    {
        return room_shortage::address;
    }
    if (bytes > this->max_bytes - this->taken)
    {
        return room_shortage::process;
    }
    if (bytes > 0)
    {
        this->taken += bytes;
        this->by_workspace[workspace] = of_workspace + bytes;
        this->by_address[address] = of_address + bytes;
    }
    return room_shortage::none;
}

auto memory_budget::give_back(const std::string& workspace, std::uint32_t address,
                              std::size_t bytes) -> void
{
    if (bytes == 0)
    {
        return;
    }
    this->taken -= bytes;
    subtract(this->by_workspace, workspace, bytes);
    subtract(this->by_address, address, bytes);
}

auto memory_reservation::operator=(memory_reservation&& other) noexcept -> memory_reservation&
{
    if (this != &other)
    {
        this->release();
        this->budget = std::exchange(other.budget, nullptr);
        this->workspace = std::move(other.workspace);
        this->address = other.address;
        this->bytes = std::exchange(other.bytes, 0);
    }
    return *this;
}

auto memory_reservation::try_resize(std::size_t wanted) -> room_shortage
{
    if (wanted <= this->bytes)
    {
        if (this->budget != nullptr)
        {
            this->budget->give_back(this->workspace, this->address, this->bytes - wanted);
        }
        this->bytes = wanted;
        return room_shortage::none;
    }
    const auto shortage =
        this->budget->try_take(this->workspace, this->address, wanted - this->bytes);
    if (shortage == room_shortage::none)
    {
        this->bytes = wanted;
    }
    return shortage;
}

auto memory_reservation::try_assign(std::string_view name) -> room_shortage
{
    if (name == this->workspace)
    {
        return room_shortage::none;
    }
    const auto wanted = this->bytes;
    this->clear();
    this->workspace = name;
    return this->try_resize(wanted);
}

auto memory_reservation::clear() -> void
{
    static_cast<void>(this->try_resize(0));
}

auto memory_reservation::release() -> void
{
    this->clear();
    this->budget = nullptr;
}

auto closing_rank(const memory_holding& holding) -> double
{
    // Without the constant, a connection that has just received a byte would rank as if it held
    // nothing.
    constexpr double base_seconds = 1.0;
    return static_cast<double>(holding.bytes) * (holding.seconds_without_progress + base_seconds);
}

} // namespace poplardrift::traffic
