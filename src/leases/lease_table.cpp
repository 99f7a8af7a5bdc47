#include "poplardrift/leases/lease_table.hpp"

namespace poplardrift
{

auto to_json(const lease_record& record) -> nlohmann::json
{
    return {{"l", record.name.value()},
            {"h", record.host.value()},
            {"i", record.incarnation.value()},
            {"d", record.length.count()}};
}

auto lease_record_from_json(const nlohmann::json& document) -> std::optional<lease_record>
{
    try
    {
        return lease_record{lease_name{document.at("l").get<std::string>()},
                            host_id{document.at("h").get<std::uint32_t>()},
                            incarnation_id{document.at("i").get<std::uint64_t>()},
                            log_time{document.at("d").get<std::int64_t>()}};
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

auto lease_table::find(const lease_name& name) const -> const lease*
{
    const auto found = this->leases.find(name);
    return found == this->leases.end() ? nullptr : &found->second;
}

auto lease_table::apply(log_offset offset, log_time time, const lease_record& record) -> bool
{
    if (offset <= this->last_offset)
    {
        return false;
    }
    this->last_offset = offset;
    this->latest_time = time;
    const auto found = this->leases.find(record.name);
    const auto is_active = found != this->leases.end() && time < found->second.until;
    const auto is_owner = found != this->leases.end() && found->second.host == record.host &&
                          found->second.incarnation == record.incarnation;
    if (record.length == log_time{})
    {
        if (is_owner)
        {
            this->leases.erase(found);
        }
        return false;
    }
    if (is_active && !is_owner)
    {
        return false;
    }
    this->leases[record.name] = {record.host, record.incarnation, time + record.length, offset};
    return true;
}

} // namespace poplardrift
