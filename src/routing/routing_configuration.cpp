#include "routing/routing_configuration.hpp"

#include <algorithm>
#include <utility>

namespace poplardrift::routing
{

namespace
{

/// The hash maps accept only absl::string_view for heterogeneous lookup.
auto to_absl_view(std::string_view text) -> absl::string_view
{
    return {text.data(), text.size()};
}

} // namespace

auto routing_configuration::index(absl::flat_hash_map<std::string, std::size_t> workspace_by_key)
    -> void
{
    this->by_key = std::move(workspace_by_key);
    for (std::size_t position = 0; position < this->services.size(); ++position)
    {
        this->by_service[this->services[position].name] = position;
    }
    for (std::size_t position = 0; position < this->routes.size(); ++position)
    {
        this->by_host[this->routes[position].host_name].push_back(position);
    }
    for (auto& [host_name, positions] : this->by_host)
    {
        std::stable_sort(positions.begin(), positions.end(),
                         [this](std::size_t left, std::size_t right) {
                             return this->routes[left].path_prefix.size() >
                                    this->routes[right].path_prefix.size();
                         });
    }
}

auto routing_configuration::find_route(std::string_view host_name, std::string_view path) const
    -> const route_rules*
{
    const auto found = this->by_host.find(to_absl_view(host_name));
    if (found == this->by_host.end())
    {
        return nullptr;
    }
    for (const auto position : found->second)
    {
        const auto& candidate = this->routes[position];
        if (path.substr(0, candidate.path_prefix.size()) == candidate.path_prefix)
        {
            return &candidate;
        }
    }
    return nullptr;
}

auto routing_configuration::find_workspace(std::string_view key) const -> const workspace_rules*
{
    const auto found = this->by_key.find(to_absl_view(key));
    return found == this->by_key.end() ? nullptr : &this->workspaces[found->second];
}

auto routing_configuration::key_count_of(std::size_t workspace) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(this->by_key.begin(), this->by_key.end(),
                                                  [&](const auto& entry)
                                                  { return entry.second == workspace; }));
}

auto routing_configuration::find_service(std::string_view name) const -> std::optional<std::size_t>
{
    const auto found = this->by_service.find(to_absl_view(name));
    return found == this->by_service.end() ? std::nullopt : std::optional(found->second);
}

} // namespace poplardrift::routing
