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

/// One assignment of a change: the new value of a path, or its removal.
struct change_set_item
{
    std::string path;
    log_offset expected; ///< version that the author based the change on; 0: no such path
    std::optional<nlohmann::json> value; ///< unset removes the path
};

/// A set of assignments that is applied atomically.
struct config_change
{
    std::string id;     ///< unique; a change with a known id is ignored
    std::string author; ///< name of the person, for the audit trail
    std::string team;   ///< team whose key signed it; `fleet` for the fleet's key
    std::vector<change_set_item> sets;
    std::string signature; ///< Ed25519, hex, over `signed_text`

    /// The bytes that the signature covers.
    [[nodiscard]] auto signed_text() const -> std::string;
    [[nodiscard]] auto to_json() const -> nlohmann::json;
    [[nodiscard]] static auto from_json(const nlohmann::json& document) -> outcome<config_change>;
};

/// True when a record of the log is a snapshot.
[[nodiscard]] auto is_snapshot(const nlohmann::json& record) -> bool;

/// Value of a path and the offset of the change that set it. A removed path keeps its version.
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
    std::string reason; ///< reason of a refusal; empty when accepted
    std::vector<std::string> paths;
    nlohmann::json before; ///< previous values by path
    nlohmann::json after;  ///< new values by path
};

/// Settings of `configuration`.
struct configuration_settings
{
    std::string fleet_public_key;           ///< Ed25519 key that may sign any change, hex
    std::string host_secret;                ///< shared by all hosts; key of the snapshot MACs
    std::size_t max_change_ids = 2'000;     ///< change ids kept to detect duplicates
    std::size_t max_audit_entries = 10'000; ///< audit entries kept in memory
};

/// The replicated configuration. Every host applies the same records of the platform's log in the
/// same order and therefore reaches the same state. Not thread-safe; used by the control thread.
class configuration final
{
public:
    explicit configuration(configuration_settings settings);

    /// Applies one record. Records at or below `last_read` are ignored. Records after a gap are
    /// buffered until a snapshot, a peer's state or a change of the fleet's operators closes the
    /// gap: checked against an incomplete state, a change could be accepted that all other hosts
    /// refused. Cost: one signature check and the size of the change.
    auto apply(log_offset offset, log_time time, const nlohmann::json& record) -> void;

    /// Merges a peer's state or a snapshot, keeping the higher version of each path. Never reverts
    /// a path. False when it is not authentic or starts after `applied`, which would leave a gap.
    auto merge(const nlohmann::json& snapshot) -> bool;

    /// Returns the paths with versions after `since`, authenticated with the hosts' secret.
    [[nodiscard]] auto snapshot(log_offset since = log_offset{}) const -> nlohmann::json;

    /// Checks a change against the current state. Returns the reason if it would be refused.
    [[nodiscard]] auto check(const config_change& change) const -> std::optional<std::string>;

    /// False while records are missing, e.g. because the log no longer has them.
    [[nodiscard]] auto is_complete() const noexcept -> bool
    {
        return this->missing_through == log_offset{};
    }
    /// Offset of the last applied record.
    [[nodiscard]] auto applied() const noexcept -> log_offset { return this->applied_offset; }
    /// Offset of the last record passed to `apply`, including buffered ones.
    [[nodiscard]] auto last_read() const -> log_offset
    {
        return this->buffered.empty() ? this->applied_offset : this->buffered.back().offset;
    }
    /// Changes whenever any value changes.
    [[nodiscard]] auto revision() const noexcept -> std::uint64_t { return this->revision_count; }
    [[nodiscard]] auto entries() const -> const std::map<std::string, config_entry>&
    {
        return this->state;
    }
    [[nodiscard]] auto values() const -> path_values;
    [[nodiscard]] auto audit() const -> const std::deque<audit_entry>& { return this->audit_log; }
    [[nodiscard]] auto result_of(const std::string& change_id) const -> std::optional<audit_entry>;
    /// Hash over all paths and versions. Equal on hosts with equal state.
    [[nodiscard]] auto digest() const -> std::uint64_t;

private:
    /// A record read after a gap, applied when the gap is closed.
    struct buffered_record
    {
        log_offset offset;
        log_time time{};
        nlohmann::json data;
    };

    auto buffer_record(log_offset offset, log_time time, const nlohmann::json& record) -> void;
    auto advance_to(log_offset through) -> void;
    auto close_gap(log_offset through) -> void;
    [[nodiscard]] auto accepts_gap(const nlohmann::json& record) const -> bool;
    auto apply_in_order(log_offset offset, log_time time, const nlohmann::json& record) -> void;
    auto apply_change(log_offset offset, log_time time, const config_change& change) -> void;
    auto record_change_id(const std::string& change_id) -> void;
    [[nodiscard]] auto is_authentic(const config_change& change) const -> bool;
    [[nodiscard]] auto key_of_team(const std::string& team) const -> std::string;
    [[nodiscard]] auto snapshot_mac(const nlohmann::json& body) const -> std::string;

    configuration_settings settings;
    std::map<std::string, config_entry> state;
    std::set<std::string> change_ids;
    std::deque<std::string> change_id_order;
    std::deque<audit_entry> audit_log;
    log_offset applied_offset;
    log_offset missing_through;           ///< offset of the last missing record; zero: none
    std::deque<buffered_record> buffered; ///< records after the gap, in log order
    std::uint64_t revision_count = 0;
};

} // namespace poplardrift
