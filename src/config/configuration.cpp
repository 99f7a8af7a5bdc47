#include "poplardrift/config/configuration.hpp"

#include "poplardrift/base/crypto.hpp"
#include "poplardrift/base/json_text.hpp"

#include <algorithm>

namespace poplardrift
{

namespace
{

auto sets_to_json(const std::vector<change_set_item>& sets) -> nlohmann::json
{
    auto result = nlohmann::json::array();
    for (const auto& item : sets)
    {
        result.push_back({{"path", item.path},
                          {"expected", item.expected.value()},
                          {"value", item.value ? *item.value : nlohmann::json(nullptr)}});
    }
    return result;
}

/// Path where the fleet's operators accept the loss of records, up to offset `through`.
constexpr const char* accepted_gap_path = "/fleet/accepted-gap";

/// True when the member is present and a string.
auto has_string(const nlohmann::json& document, const char* name) -> bool
{
    return document.contains(name) && document[name].is_string();
}

} // namespace

auto is_snapshot(const nlohmann::json& record) -> bool
{
    return record.is_object() && has_string(record, "type") && record["type"] == "snapshot";
}

auto config_change::signed_text() const -> std::string
{
    // nlohmann::json sorts members, so every host and client produces the same text.
    const nlohmann::json body = {{"id", this->id},
                                 {"author", this->author},
                                 {"team", this->team},
                                 {"sets", sets_to_json(this->sets)}};
    return to_json_text(body);
}

auto config_change::to_json() const -> nlohmann::json
{
    return {{"type", "change"},
            {"id", this->id},
            {"author", this->author},
            {"team", this->team},
            {"sets", sets_to_json(this->sets)},
            {"signature", this->signature}};
}

auto config_change::from_json(const nlohmann::json& document) -> outcome<config_change>
{
    const auto well_formed = document.is_object() && has_string(document, "id") &&
                             has_string(document, "author") && has_string(document, "team") &&
                             has_string(document, "signature") && document.contains("sets") &&
                             document["sets"].is_array() && !document["sets"].empty();
    if (!well_formed)
    {
        return outcome<config_change>::failure(
            "a change needs id, author, team, sets and signature");
    }
    config_change change;
    change.id = document["id"];
    change.author = document["author"];
    change.team = document["team"];
    change.signature = document["signature"];
    for (const auto& item : document["sets"])
    {
        const auto fits = item.is_object() && has_string(item, "path") &&
                          item.contains("expected") && item["expected"].is_number_unsigned() &&
                          item.contains("value");
        if (!fits)
        {
            return outcome<config_change>::failure("each set needs path, expected and value");
        }
        change_set_item set;
        set.path = item["path"];
        set.expected = log_offset{item["expected"].get<std::uint64_t>()};
        if (!item["value"].is_null())
        {
            set.value = item["value"];
        }
        change.sets.push_back(std::move(set));
    }
    return change;
}

configuration::configuration(configuration_settings settings) : settings(std::move(settings))
{
}

auto configuration::key_of_team(const std::string& team) const -> std::string
{
    if (team == "fleet")
    {
        return this->settings.fleet_public_key;
    }
    const auto found = this->state.find("/fleet/teams/" + team);
    if (found == this->state.end() || !found->second.value)
    {
        return "";
    }
    const auto& value = *found->second.value;
    return has_string(value, "public_key") ? value["public_key"].get<std::string>() : "";
}

auto configuration::is_authentic(const config_change& change) const -> bool
{
    const auto key = this->key_of_team(change.team);
    return !key.empty() && verify_signature(key, change.signed_text(), change.signature);
}

auto configuration::check(const config_change& change) const -> std::optional<std::string>
{
    // Authentication.
    if (this->key_of_team(change.team).empty())
    {
        return "team " + change.team + " is not declared";
    }
    if (!this->is_authentic(change))
    {
        return "the signature is not that of team " + change.team;
    }
    for (const auto& item : change.sets)
    {
        // Authorization: a team may change its own subtree only.
        if (change.team != "fleet" && team_of(item.path) != change.team)
        {
            return item.path + " is outside the subtree of team " + change.team;
        }
        // Optimistic concurrency control: the path must not have changed since the author read it.
        const auto found = this->state.find(item.path);
        const auto version = found == this->state.end() ? log_offset{} : found->second.version;
        if (version != item.expected)
        {
            return item.path + " has version " + std::to_string(version.value()) + ", not " +
                   std::to_string(item.expected.value());
        }
    }
    return std::nullopt;
}

auto configuration::remember_change_id(const std::string& change_id) -> void
{
    if (!this->known_change_ids.insert(change_id).second)
    {
        return;
    }
    this->change_id_order.push_back(change_id);
    while (this->change_id_order.size() > this->settings.max_change_ids)
    {
        this->known_change_ids.erase(this->change_id_order.front());
        this->change_id_order.pop_front();
    }
}

auto configuration::apply_change(log_offset offset, log_time time, const config_change& change)
    -> void
{
    if (this->known_change_ids.contains(change.id))
    {
        return;
    }
    audit_entry entry;
    entry.offset = offset;
    entry.time = time;
    entry.change_id = change.id;
    entry.author = change.author;
    entry.team = change.team;
    const auto authentic = this->is_authentic(change);
    const auto refusal = this->check(change);
    entry.accepted = !refusal;
    entry.reason = refusal.value_or("");
    for (const auto& item : change.sets)
    {
        entry.paths.push_back(item.path);
        auto& slot = this->state[item.path];
        entry.before[item.path] = slot.value ? *slot.value : nlohmann::json(nullptr);
        entry.after[item.path] = item.value ? *item.value : nlohmann::json(nullptr);
        if (entry.accepted)
        {
            slot.version = offset;
            slot.value = item.value;
        }
        else if (slot.version == log_offset{})
        {
            this->state.erase(item.path);
        }
    }
    // A forged record must not block the genuine change with the same id.
    if (authentic)
    {
        this->remember_change_id(change.id);
    }
    this->revision_count += entry.accepted ? 1 : 0;
    this->audit_trail.push_back(std::move(entry));
    if (this->audit_trail.size() > this->settings.max_audit_entries)
    {
        this->audit_trail.pop_front();
    }
}

auto configuration::apply_to_state(log_offset offset, log_time time, const nlohmann::json& record)
    -> void
{
    if (is_snapshot(record))
    {
        this->merge(record);
    }
    else if (const auto change = config_change::from_json(record))
    {
        this->apply_change(offset, time, *change);
    }
    this->applied_offset = std::max(this->applied_offset, offset);
}

auto configuration::apply(log_offset offset, log_time time, const nlohmann::json& record) -> void
{
    if (offset <= this->last_read())
    {
        return;
    }
    const auto next = offset.value() == this->applied_offset.value() + 1;
    if (next && this->is_complete())
    {
        this->apply_to_state(offset, time, record);
        return;
    }
    this->defer_record(offset, time, record);
}

auto configuration::defer_record(log_offset offset, log_time time, const nlohmann::json& record)
    -> void
{
    this->missing_through =
        std::max(this->missing_through,
                 this->pending_records.empty() ? log_offset{offset.value() - 1} : log_offset{});
    this->pending_records.push_back({offset, time, record});
    if (is_snapshot(record))
    {
        this->merge(record);
    }
    else if (this->is_gap_acceptance(record))
    {
        this->close_gap(this->missing_through);
    }
}

auto configuration::is_gap_acceptance(const nlohmann::json& record) const -> bool
{
    const auto change = config_change::from_json(record);
    if (!change || change->team != "fleet" || !this->is_authentic(*change))
    {
        return false;
    }
    return std::any_of(change->sets.begin(), change->sets.end(),
                       [&](const auto& item)
                       {
                           return item.path == accepted_gap_path && item.value &&
                                  item.value->is_object() &&
                                  item.value->value("through", std::uint64_t{0}) >=
                                      this->missing_through.value();
                       });
}

auto configuration::close_gap_if_covered(log_offset through) -> void
{
    if (this->is_complete() || through >= this->missing_through)
    {
        this->close_gap(through);
    }
}

auto configuration::close_gap(log_offset through) -> void
{
    this->missing_through = log_offset{};
    this->applied_offset = std::max(this->applied_offset, through);
    const auto deferred = std::exchange(this->pending_records, {});
    for (const auto& item : deferred)
    {
        // If there is another gap among them, `apply` defers the remaining records again.
        this->apply(item.offset, item.time, item.data);
    }
}

auto configuration::snapshot_mac(const nlohmann::json& body) const -> std::string
{
    return to_hex(hmac_sha256(this->settings.host_secret, to_json_text(body)));
}

auto configuration::snapshot(log_offset since) const -> nlohmann::json
{
    auto paths = nlohmann::json::array();
    for (const auto& [path, entry] : this->state)
    {
        if (entry.version <= since)
        {
            continue;
        }
        paths.push_back(
            {path, entry.version.value(), entry.value ? *entry.value : nlohmann::json(nullptr)});
    }
    nlohmann::json body = {{"through", this->applied_offset.value()},
                           {"since", since.value()},
                           {"entries", std::move(paths)},
                           {"change_ids", this->change_id_order}};
    auto mac = this->snapshot_mac(body);
    return {{"type", "snapshot"}, {"body", std::move(body)}, {"mac", std::move(mac)}};
}

auto configuration::merge(const nlohmann::json& snapshot) -> bool
{
    const auto authentic = snapshot.is_object() && snapshot.contains("body") &&
                           has_string(snapshot, "mac") &&
                           equal_constant_time(this->snapshot_mac(snapshot["body"]),
                                               snapshot["mac"].get_ref<const std::string&>());
    if (!authentic)
    {
        return false;
    }
    const auto& body = snapshot["body"];
    const log_offset through{body["through"].get<std::uint64_t>()};
    const log_offset since{body["since"].get<std::uint64_t>()};
    if (since > this->applied_offset)
    {
        return false;
    }
    for (const auto& item : body["entries"])
    {
        const log_offset version{item[1].get<std::uint64_t>()};
        auto& slot = this->state[item[0].get<std::string>()];
        if (version > slot.version)
        {
            slot.version = version;
            slot.value = item[2].is_null() ? std::nullopt : std::optional(item[2]);
            ++this->revision_count;
        }
    }
    for (const auto& id : body["change_ids"])
    {
        this->remember_change_id(id.get<std::string>());
    }
    const auto is_ahead = through > this->applied_offset;
    this->applied_offset = std::max(this->applied_offset, through);
    if (is_ahead || !this->is_complete())
    {
        this->close_gap_if_covered(through);
    }
    return true;
}

auto configuration::values() const -> path_values
{
    path_values result;
    for (const auto& [path, entry] : this->state)
    {
        if (entry.value)
        {
            result[path] = *entry.value;
        }
    }
    return result;
}

auto configuration::result_of(const std::string& change_id) const -> std::optional<audit_entry>
{
    for (auto entry = this->audit_trail.rbegin(); entry != this->audit_trail.rend(); ++entry)
    {
        if (entry->change_id == change_id)
        {
            return *entry;
        }
    }
    return std::nullopt;
}

auto configuration::digest() const -> std::uint64_t
{
    std::uint64_t result = 0;
    for (const auto& [path, entry] : this->state)
    {
        result = hash_pair_64(result, hash_bytes_64(path, entry.version.value()));
    }
    return result;
}

} // namespace poplardrift
