#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace poplardrift
{

/// Name of what a lease is for, such as an upstream's path.
using lease_name = strong_type<struct lease_name_tag, std::string>;

/// A claim of a lease, or the giving back of one, as it stands on the log.
struct lease_record
{
    lease_name name;
    host_id host;
    incarnation_id incarnation;
    log_time length{}; ///< zero gives the lease back
};

[[nodiscard]] auto to_json(const lease_record& record) -> nlohmann::json;
[[nodiscard]] auto lease_record_from_json(const nlohmann::json& document)
    -> std::optional<lease_record>;

/// A lease by the log.
struct lease
{
    host_id host;
    incarnation_id incarnation;
    log_time until{};          ///< on the log's clock
    log_offset fencing_number; ///< offset of the claim: the fencing number
};

/// Who holds which lease, folded from the log: a claim counts when no lease of another process runs
/// at its time, by the log's own clock. All hosts fold alike.
class lease_table final
{
public:
    /// Folds one record. True when it was a claim that counts.
    auto apply(log_offset offset, log_time time, const lease_record& record) -> bool;
    [[nodiscard]] auto find(const lease_name& name) const -> const lease*;
    [[nodiscard]] auto applied() const noexcept -> log_offset { return this->last_offset; }
    /// Time of the last record, on the log's clock.
    [[nodiscard]] auto last_time() const noexcept -> log_time { return this->latest_time; }

private:
    std::map<lease_name, lease> leases;
    log_offset last_offset;
    log_time latest_time{};
};

} // namespace poplardrift
