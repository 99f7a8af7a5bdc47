#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/outcome.hpp"
#include "poplardrift/config/declarations.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace poplardrift
{

/// One assignment in a change: a new value for a path, or its removal.
struct change_set_item
{
    std::string path;
    log_offset expected;                 ///< version of the path that the author edited; 0: none
    std::optional<nlohmann::json> value; ///< nullopt removes the path
};

/// A set of assignments that is applied atomically: all or none.
struct config_change
{
    std::string id;     ///< unique; a repeated id is applied once
    std::string author; ///< name of the person, for the audit trail
    std::string team;   ///< team whose key signed it; `fleet` for the fleet's key
    std::vector<change_set_item> sets;
    std::string signature; ///< Ed25519, hex, over `signed_text`

    /// The bytes covered by the signature.
    [[nodiscard]] auto signed_text() const -> std::string;
    [[nodiscard]] auto to_json() const -> nlohmann::json;
    [[nodiscard]] static auto from_json(const nlohmann::json& document) -> outcome<config_change>;
};

/// True when a log record is a snapshot.
[[nodiscard]] auto is_snapshot(const nlohmann::json& record) -> bool;

/// Value of a path; its version is the offset of the last change to it, including its removal.
struct config_entry
{
    log_offset version;
    std::optional<nlohmann::json> value;
};

/// Result of one change, for the audit trail.
struct audit_entry
{
    log_offset offset;
    log_time time{};
    std::string change_id;
    std::string author;
    std::string team;
    bool accepted = false;
    std::string reason; ///< why the change was refused; empty when accepted
    std::vector<std::string> paths;
    nlohmann::json before; ///< previous values by path
    nlohmann::json after;  ///< new values by path
};

/// Settings of `configuration`.
struct configuration_settings
{
    std::string fleet_public_key;           ///< Ed25519 key that may change every path, hex
    std::string host_secret;                ///< shared secret of the hosts; authenticates snapshots
    std::size_t max_change_ids = 2'000;     ///< change ids kept to detect repeats
    std::size_t max_audit_entries = 10'000; ///< audit entries kept in memory
};

/// Configuration state, replicated from the platform's log. Every host applies the same records in
/// the same order and reaches the same state. Used by the control thread only.
class configuration final
{
public:
    explicit configuration(configuration_settings settings);

    /// Applies one record. Records at or below `last_read` are ignored. After a gap, records are
    /// deferred until a snapshot, a peer's state or an operator's change to `/fleet/accepted-gap`
    /// closes it: checked against an incomplete state, a change could be accepted that all other
    /// hosts have refused. Cost: up to two signature checks, and linear in the size of the change.
    auto apply(log_offset offset, log_time time, const nlohmann::json& record) -> void;

    /// Merges a peer's state or a snapshot: each path takes the higher of the two versions, so a
    /// path never reverts. False when it is not authentic, or starts after the last applied record.
    auto merge(const nlohmann::json& snapshot) -> bool;

    /// The paths with versions after `since`, authenticated (HMAC) with the hosts' shared secret.
    [[nodiscard]] auto snapshot(log_offset since = log_offset{}) const -> nlohmann::json;

    /// Checks a change against the current state; nullopt if acceptable, else the reason.
    [[nodiscard]] auto check(const config_change& change) const -> std::optional<std::string>;

    /// False while there is a gap: records are missing that the log no longer has.
    [[nodiscard]] auto is_complete() const noexcept -> bool
    {
        return this->missing_through == log_offset{};
    }
    /// Offset of the last applied record.
    [[nodiscard]] auto applied() const noexcept -> log_offset { return this->applied_offset; }
    /// Offset of the last record read, applied or deferred.
    [[nodiscard]] auto last_read() const -> log_offset
    {
        return this->pending_records.empty() ? this->applied_offset
                                             : this->pending_records.back().offset;
    }
    /// Counter that increases whenever a value changes.
    [[nodiscard]] auto revision() const noexcept -> std::uint64_t { return this->revision_count; }
    [[nodiscard]] auto entries() const -> const std::map<std::string, config_entry>&
    {
        return this->state;
    }
    [[nodiscard]] auto values() const -> path_values;
    [[nodiscard]] auto audit() const -> const std::deque<audit_entry>& { return this->audit_trail; }
    [[nodiscard]] auto result_of(const std::string& change_id) const -> std::optional<audit_entry>;
    /// Hash of all paths and their versions; equal on hosts with equal state.
    [[nodiscard]] auto digest() const -> std::uint64_t;

private:
    /// A record deferred until a gap is closed.
    struct pending_record
    {
        log_offset offset;
        log_time time{};
        nlohmann::json data;
    };

    auto defer_record(log_offset offset, log_time time, const nlohmann::json& record) -> void;
    auto close_gap_if_covered(log_offset through) -> void;
    auto close_gap(log_offset through) -> void;
    [[nodiscard]] auto is_gap_acceptance(const nlohmann::json& record) const -> bool;
    auto apply_to_state(log_offset offset, log_time time, const nlohmann::json& record) -> void;
    auto apply_change(log_offset offset, log_time time, const config_change& change) -> void;
    auto remember_change_id(const std::string& change_id) -> void;
    [[nodiscard]] auto is_authentic(const config_change& change) const -> bool;
    [[nodiscard]] auto key_of_team(const std::string& team) const -> std::string;
    [[nodiscard]] auto snapshot_mac(const nlohmann::json& body) const -> std::string;

    configuration_settings settings;
    std::map<std::string, config_entry> state;
    std::set<std::string> known_change_ids;
    std::deque<std::string> change_id_order;
    std::deque<audit_entry> audit_trail;
    log_offset applied_offset;
    log_offset missing_through;                 ///< last missing offset of a gap; zero: no gap
    std::deque<pending_record> pending_records; ///< records read after the gap
    std::uint64_t revision_count = 0;
};

} // namespace poplardrift
