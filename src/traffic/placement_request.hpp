#pragma once

#include "http/message.hpp"
#include "routing/placement.hpp"

#include <span>
#include <string_view>

namespace poplardrift::traffic
{

class traffic_service;

/// Path of a request's target, without query and fragment.
[[nodiscard]] auto path_of(std::string_view target) -> std::string_view;
/// Host that a request is meant for, without the port.
[[nodiscard]] auto host_name_of(const http::request_head& head) -> std::string_view;
/// Picks one of a route's services by their weights; the same request gets the same one.
[[nodiscard]] auto choose_service(const routing::route_rules& route, std::string_view request_id)
    -> std::size_t;

/// What the choice of an upstream for a request depends on. It points into its arguments and into
/// the service's present view. Traffic thread.
[[nodiscard]] auto make_placement_query(const traffic_service& service, std::size_t target,
                                        const std::optional<routing::prompt_metadata>& prompt,
                                        std::string_view request_id,
                                        std::span<const routing::upstream_state* const> tried)
    -> routing::placement_query;

} // namespace poplardrift::traffic
