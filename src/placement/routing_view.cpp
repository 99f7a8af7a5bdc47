#include "poplardrift/placement/routing_view.hpp"

#include "poplardrift/base/assert.hpp"

#include <algorithm>

namespace poplardrift
{

namespace
{

auto matches_prefix(std::string_view target, std::string_view prefix) -> bool
{
    if (!target.starts_with(prefix))
    {
        return false;
    }
    // A prefix matches only whole path segments.
    return prefix.ends_with('/') || target.size() == prefix.size() ||
           target[prefix.size()] == '/' || target[prefix.size()] == '?';
}

auto make_upstream_view(const upstream_declaration& declared, const upstream_runtime_info& known,
                        bool in_service) -> upstream_view
{
    upstream_view item;
    item.id = make_upstream_id(declared.path);
    item.path = declared.path;
    item.address = declared.address;
    item.port = static_cast<std::uint16_t>(declared.port);
    item.zone = declared.zone;
    item.kind = declared.kind;
    item.weight = declared.weight;
    item.refusals_are_true = declared.refusals_are_true;
    item.owner = known.owner;
    item.state = known.status.state;
    const auto accepts_work =
        item.state == upstream_state::cold || item.state == upstream_state::warm;
    item.eligible = in_service && accepts_work;
    return item;
}

auto make_pools(const declarations& declared,
                const std::map<upstream_id, upstream_runtime_info>& known) -> std::vector<pool_view>
{
    std::map<std::string, pool_view> by_name;
    for (const auto& [path, item] : declared.upstreams)
    {
        auto& pool = by_name[item.pool];
        const auto found = known.find(make_upstream_id(path));
        const auto runtime_info = found == known.end() ? upstream_runtime_info{} : found->second;
        pool.upstreams.push_back(
            make_upstream_view(item, runtime_info, is_in_service(declared, item)));
    }
    std::vector<pool_view> result;
    for (auto& [name, pool] : by_name)
    {
        pool.name = name;
        pool.id = make_pool_id(name);
        auto& upstreams = pool.upstreams;
        std::sort(upstreams.begin(), upstreams.end(),
                  [](const auto& left, const auto& right) { return left.id < right.id; });
        pool.equal_weights =
            std::all_of(upstreams.begin(), upstreams.end(),
                        [&](const auto& item) { return item.weight == upstreams.front().weight; });
        result.push_back(std::move(pool));
    }
    return result;
}

} // namespace

auto is_in_service(const declarations& declared, const upstream_declaration& item) -> bool
{
    const auto zone = declared.zones.find(item.zone);
    return item.in_service && (zone == declared.zones.end() || zone->second.in_service);
}

auto routing_view::match(std::string_view method, std::string_view target) const
    -> const route_view*
{
    for (const auto& route : this->routes)
    {
        const auto method_matches = route.declared.method == "*" || route.declared.method == method;
        if (method_matches && matches_prefix(target, route.declared.prefix))
        {
            return &route;
        }
    }
    return nullptr;
}

auto routing_view::find(pool_index pool, upstream_id id) const -> const upstream_view*
{
    POPLARDRIFT_ASSERT(pool.value() < this->pools.size());
    const auto& upstreams = this->pools[pool.value()].upstreams;
    const auto found =
        std::lower_bound(upstreams.begin(), upstreams.end(), id,
                         [](const auto& item, upstream_id key) { return item.id < key; });
    return found != upstreams.end() && found->id == id ? &*found : nullptr;
}

auto make_routing_view(const declarations& declared,
                       const std::map<upstream_id, upstream_runtime_info>& known,
                       log_offset configuration, std::uint64_t revision)
    -> std::shared_ptr<const routing_view>
{
    auto view = std::make_shared<routing_view>();
    view->revision = revision;
    view->configuration = configuration;
    view->limits = declared.limits;
    view->pools = make_pools(declared, known);
    for (const auto& [path, item] : declared.routes)
    {
        const auto pool = std::find_if(view->pools.begin(), view->pools.end(),
                                       [&wanted = item.pool](const auto& candidate)
                                       { return candidate.name == wanted; });
        if (pool != view->pools.end())
        {
            const auto position = static_cast<std::uint32_t>(pool - view->pools.begin());
            view->routes.push_back({item, pool_index{position}});
        }
    }
    std::stable_sort(view->routes.begin(), view->routes.end(),
                     [](const auto& left, const auto& right)
                     { return left.declared.prefix.size() > right.declared.prefix.size(); });
    for (const auto& [path, item] : declared.workspaces)
    {
        const workspace_index position{static_cast<std::uint32_t>(view->workspaces.size())};
        view->workspaces.push_back({make_workspace_id(path), item});
        for (const auto& hash : item.key_hashes)
        {
            view->workspaces_by_key.emplace(hash, position);
        }
    }
    return view;
}

} // namespace poplardrift
