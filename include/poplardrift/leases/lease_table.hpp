#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace poplardrift
{

/// Name of the leased resource, such as an upstream's path.
using lease_name = strong_type<struct lease_name_tag, std::string>;

/// Log record that claims or releases a lease.
struct lease_record
{
    lease_name name;
    host_id host;
    incarnation_id incarnation;
    log_time length{}; ///< zero releases the lease
};

[[nodiscard]] auto to_json(const lease_record& record) -> nlohmann::json;
[[nodiscard]] auto lease_record_from_json(const nlohmann::json& document)
    -> std::optional<lease_record>;

/// A lease as granted by the log.
struct lease
{
    host_id host;
    incarnation_id incarnation;
    log_time until{};          ///< on the log's clock
    log_offset fencing_number; ///< offset of the claim on the log
};

/// Holders of all leases, computed by applying the log's lease records. A claim is granted when no
/// other process holds an unexpired lease at the claim's time on the log's clock. All hosts that
/// apply the same records reach the same state.
class lease_table final
{
public:
    /// Applies one record. True when it is a claim that was granted. Records at or before the last
    /// applied offset are ignored.
    auto apply(log_offset offset, log_time time, const lease_record& record) -> bool;
    [[nodiscard]] auto find(const lease_name& name) const -> const lease*;
    [[nodiscard]] auto applied() const noexcept -> log_offset { return this->last_offset; }
    /// Time of the last applied record, on the log's clock.
    [[nodiscard]] auto last_time() const noexcept -> log_time { return this->latest_time; }

private:
    std::map<lease_name, lease> leases;
    log_offset last_offset;
    log_time latest_time{};
};

} // namespace poplardrift
