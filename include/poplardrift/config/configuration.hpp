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
    log_offset expected;                 ///< version of the path that the author saw; 0: none
    std::optional<nlohmann::json> value; ///< nothing removes the path
};

/// A set of assignments that is accepted whole or not at all.
struct config_change
{
    std::string id;     ///< unique; a repeated id counts once
    std::string author; ///< name of the person, for the audit trail
    std::string team;   ///< whose key signed it; `fleet` for the fleet's own key
    std::vector<change_set_item> sets;
    std::string signature; ///< Ed25519, hex, over `signed_text`

    /// The bytes that the signature covers.
    [[nodiscard]] auto signed_text() const -> std::string;
    [[nodiscard]] auto to_json() const -> nlohmann::json;
    [[nodiscard]] static auto from_json(const nlohmann::json& document) -> outcome<config_change>;
};

/// True when a record of the log is a snapshot.
[[nodiscard]] auto is_snapshot(const nlohmann::json& record) -> bool;

/// A path's value and the offset of the change that set it. A removed path keeps its version.
struct config_entry
{
    log_offset version;
    std::optional<nlohmann::json> value;
};

/// What became of one record, for the audit trail.
struct audit_entry
{
    log_offset offset;
    log_time time{};
    std::string change_id;
    std::string author;
    std::string team;
    bool accepted = false;
    std::string reason; ///< why it was refused; empty when accepted
    std::vector<std::string> paths;
    nlohmann::json before; ///< former values by path
    nlohmann::json after;  ///< new values by path
};

/// Settings of the configuration fold.
struct configuration_settings
{
    std::string fleet_public_key;           ///< Ed25519 key that may change everything, hex
    std::string host_secret;                ///< shared by hosts; authenticates snapshots
    std::size_t max_change_ids = 2'000;     ///< change ids kept for telling repeats
    std::size_t max_audit_entries = 10'000; ///< audit entries kept in memory
};

/// The configuration as folded from the platform's log. Every host folds the same records in the
/// same order and so holds the same state. Only the control thread calls it.
class configuration final
{
public:
    explicit configuration(configuration_settings settings);

    /// Folds one record. Records at or below `applied` change nothing. After a gap, changes are
    /// held back until a snapshot, a peer or the fleet's operators fill it: judged on a state that
    /// lacks records, a change could be accepted that all others have refused. Cost: one signature
    /// check and the size of the change.
    auto apply(log_offset offset, log_time time, const nlohmann::json& record) -> void;

    /// Takes a peer's state or a snapshot, path by path, the higher version of each. Never reverts.
    /// False when it is not authentic or leaves a gap to what is held.
    auto merge(const nlohmann::json& snapshot) -> bool;

    /// The state, authenticated by the hosts' secret: the paths with versions after `since`.
    [[nodiscard]] auto snapshot(log_offset since = log_offset{}) const -> nlohmann::json;

    /// Says whether a change would be accepted on the present state; the reason if not.
    [[nodiscard]] auto check(const config_change& change) const -> std::optional<std::string>;

    /// False while records are missing that the log no longer gives.
    [[nodiscard]] auto is_complete() const noexcept -> bool
    {
        return this->missing_through == log_offset{};
    }
    /// Offset of the last record that is folded in.
    [[nodiscard]] auto applied() const noexcept -> log_offset { return this->applied_offset; }
    /// Offset of the last record that was read, held back or not.
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
    /// Hash over all paths and versions; equal on hosts with equal state.
    [[nodiscard]] auto digest() const -> std::uint64_t;

private:
    /// A record that waits for a gap to be filled.
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
    log_offset missing_through;           ///< records up to here are missing; zero: none
    std::deque<buffered_record> buffered; ///< read after the gap
    std::uint64_t revision_count = 0;
};

} // namespace poplardrift
