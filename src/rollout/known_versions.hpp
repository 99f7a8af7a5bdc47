#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift::rollout
{

/// Version of one upstream in the registry.
struct registered_version
{
    std::string_view version;
    std::uint64_t start_number = 0; ///< larger for later starts; 0 if unknown
    bool leaving = false;
};

/// The versions of one service that requests may run on without an order: those that the registry
/// had before, and the one of a completed order.
class known_versions final
{
public:
    /// Takes the current registry. `ordered` is the version of an order that isn't complete, or
    /// empty. Versions that appear later stay unused while upstreams of the known ones are there.
    auto update(std::span<const registered_version> registry, std::string_view ordered) -> void;
    /// An order to move to `version` is complete.
    auto replace_by(std::string_view version) -> void
    {
        this->versions = {std::string(version)};
        this->forbidden.erase(std::string(version));
    }
    /// An order to move to `version` has come. The host may have taken the version for a known one
    /// if it has read the registry before the order; it stays one if there is no other.
    auto set_aside(std::string_view version) -> void;
    /// An order to move to `version` was rolled back: it isn't used until another order.
    auto forbid(std::string_view version) -> void;
    [[nodiscard]] auto contains(std::string_view version) const -> bool
    {
        return this->versions.contains(version);
    }
    [[nodiscard]] auto empty() const -> bool { return this->versions.empty(); }

private:
    std::set<std::string, std::less<>> versions;
    std::set<std::string, std::less<>> forbidden;
};

} // namespace poplardrift::rollout
