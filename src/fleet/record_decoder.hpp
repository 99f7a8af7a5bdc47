#pragma once

#include "fleet/published_record.hpp"
#include "poplardrift/base/outcome.hpp"
#include "routing/fleet_view.hpp"

#include <memory>
#include <variant>

namespace poplardrift::fleet
{

/// A configuration was published.
struct configuration_published
{
    std::shared_ptr<const routing::routing_configuration> configuration;
};

/// Operators took a zone out of service or returned it to service.
struct zone_switched
{
    zone_name zone;
    bool out = false;
};

/// An upstream published or renewed its registry entry.
struct upstream_announced
{
    routing::upstream_entry entry;
};

/// The registry entry of an upstream was removed or expired.
struct upstream_removed
{
    routing::upstream_name name;
};

/// Operators ordered a roll-out. Replaces the service's former order.
struct rollout_ordered
{
    std::string service;
    std::string to;
    duration length{};
};

/// Operators withdrew the order of a service.
struct rollout_withdrawn
{
    std::string service;
};

/// A record without effect on the router, such as one with an unknown key.
struct irrelevant_record
{
};

using fleet_change =
    std::variant<configuration_published, zone_switched, upstream_announced, upstream_removed,
                 rollout_ordered, rollout_withdrawn, irrelevant_record>;

/// Decodes records of the platform into changes of the fleet state. Stateless.
class record_decoder
{
public:
    record_decoder() = default;
    record_decoder(const record_decoder&) = delete;
    auto operator=(const record_decoder&) -> record_decoder& = delete;
    virtual ~record_decoder() = default;

    /// Fails for a malformed record, with the reason.
    [[nodiscard]] virtual auto decode(record_stream stream, const published_record& record) const
        -> outcome<fleet_change> = 0;
};

} // namespace poplardrift::fleet
