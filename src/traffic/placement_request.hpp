#pragma once

#include "http/message.hpp"
#include "routing/placement.hpp"

#include <span>
#include <string_view>

namespace poplardrift::traffic
{

class traffic_service;

/// Returns the path of a request target, without query and fragment.
[[nodiscard]] auto path_of(std::string_view target) -> std::string_view;
/// Returns the host name in a request's Host field, without the port.
[[nodiscard]] auto host_name_of(const http::request_head& head) -> std::string_view;
/// Returns the index of one of a route's services, chosen by weight and deterministically by the
/// request's id.
[[nodiscard]] auto choose_service(const routing::route_rules& route, std::string_view request_id)
    -> std::size_t;

/// Builds the input for choosing an upstream of the service at index `target`. The result refers to
/// the arguments and to the service's current view. Traffic thread.
[[nodiscard]] auto make_placement_query(const traffic_service& service, std::size_t target,
                                        const std::optional<routing::prompt_metadata>& prompt,
                                        std::string_view request_id,
                                        std::span<const routing::upstream_state_id> tried)
    -> routing::placement_query;

} // namespace poplardrift::traffic
