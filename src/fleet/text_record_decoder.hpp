#pragma once

#include "fleet/record_decoder.hpp"

#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>

namespace poplardrift::fleet
{

/// Decoder for tests with plain-text values. Operator records: the key "config" has a version
/// number as value; any other key is a zone, which is out while it has a value. Upstream records:
/// the first character is the start number, followed by an optional sequence number and optional
/// " leaving" and " cold"; "forged" is malformed.
class text_record_decoder final : public record_decoder
{
public:
    [[nodiscard]] auto decode(record_stream stream, const published_record& record) const
        -> outcome<fleet_change> override
    {
        using namespace std::chrono_literals;
        using result = outcome<fleet_change>;
        if (stream == record_stream::operators && record.key == "config")
        {
            auto configuration = std::make_shared<routing::routing_configuration>();
            configuration->version =
                routing::configuration_version(std::stoull(record.value.value_or("0")));
            routing::service_rules service;
            service.name = "s";
            service.cold_start = 3s;
            configuration->services.push_back(service);
            configuration->index({});
            return result(configuration_published{
                std::shared_ptr<const routing::routing_configuration>(configuration)});
        }
        if (stream == record_stream::operators)
        {
            return result(zone_switched{zone_name(record.key), record.value.has_value()});
        }
        if (!record.value)
        {
            return result(upstream_removed{routing::upstream_name(record.key)});
        }
        if (*record.value == "forged")
        {
            return result::failure("forged");
        }
        routing::upstream_entry entry;
        entry.name = routing::upstream_name(record.key);
        entry.service = "s";
        entry.zone = zone_name("a");
        entry.start_number = static_cast<std::uint64_t>(record.value->front());
        entry.sequence = std::atoll(record.value->substr(1).c_str());
        entry.leaving = record.value->find("leaving") != std::string::npos;
        entry.cold_remaining = record.value->find("cold") != std::string::npos ? duration(2s) : 0ns;
        return result(upstream_announced{entry});
    }
};

inline auto make_record(std::string key, std::uint64_t offset, std::optional<std::string> value,
                        store_era era = store_era()) -> published_record
{
    return {std::move(key), record_position(offset, era), std::move(value)};
}

} // namespace poplardrift::fleet
