#include "traffic/placement_request.hpp"

#include "net/clock.hpp"
#include "traffic/traffic_service.hpp"

namespace poplardrift::traffic
{

namespace
{

/// Requests with the same shared parts get the same affinity; the last part is specific to the
/// request.
auto affinity_of(const routing::prompt_metadata& prompt, std::string_view request_id)
    -> std::uint64_t
{
    const auto& parts = prompt.parts;
    if (parts.empty())
    {
        return hash_bytes_64(request_id);
    }
    return parts.size() > 1 ? parts[parts.size() - 2].chain_hash : parts.back().chain_hash;
}

} // namespace

auto path_of(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find_first_of("?#"));
}

auto host_name_of(const http::request_head& head) -> std::string_view
{
    const auto value = head.fields.find("Host").value_or("");
    return value.substr(0, value.find(':'));
}

auto choose_service(const routing::route_rules& route, std::string_view request_id) -> std::size_t
{
    double sum = 0.0;
    for (const auto& share : route.shares)
    {
        sum += share.weight;
    }
    auto point = sum * static_cast<double>(hash_bytes_64(request_id) >> 11) * 0x1.0p-53;
    for (const auto& share : route.shares)
    {
        point -= share.weight;
        if (point < 0.0)
        {
            return share.service;
        }
    }
    return route.shares.back().service;
}

auto make_placement_query(const traffic_service& service, std::size_t target,
                          const std::optional<routing::prompt_metadata>& prompt,
                          std::string_view request_id,
                          std::span<const routing::upstream_state_id> tried)
    -> routing::placement_query
{
    const auto& view = service.get_view();
    routing::placement_query query;
    query.service = target;
    query.rules = &view.configuration->services[target];
    if (prompt && query.rules->engine)
    {
        query.prompt = &*prompt;
        query.affinity = affinity_of(*prompt, request_id);
    }
    query.tried = tried;
    query.own_zone = &service.get_zone();
    query.now = boot_clock_now();
    query.bounds = &view.bounds;
    query.hosts = &view.hosts;
    // Learnt costs are used for plain services only: with those of prompts, hosts that act on the
    // same picture send more than the load bound to the fastest engines.
    if (query.prompt == nullptr)
    {
        query.speed = service.get_speeds().find(query.rules->name, view.bounds.learn_speeds);
    }
    query.draw = hash_bytes_64(request_id, tried.size());
    return query;
}

} // namespace poplardrift::traffic
