#include "poplardrift/base/crypto.hpp"
#include "poplardrift/config/configuration.hpp"

#include <catch2/catch.hpp>

using namespace poplardrift;

namespace
{

const std::string fleet_key = std::string(63, '0') + "1";
const std::string team_key = std::string(63, '0') + "2";
const std::string secret = "a secret of the hosts";

auto make_configuration() -> configuration
{
    configuration_settings settings;
    settings.fleet_public_key = *public_key_of(fleet_key);
    settings.host_secret = secret;
    return configuration(settings);
}

auto make_change(const std::string& id, const std::string& path, std::uint64_t expected, int value,
                 const std::string& team = "fleet", const std::string& key = fleet_key)
    -> nlohmann::json
{
    config_change change;
    change.id = id;
    change.author = "ana";
    change.team = team;
    change.sets = {{path, log_offset{expected}, nlohmann::json(value)}};
    change.signature = *sign_message(key, change.signed_text());
    return change.to_json();
}

auto apply(configuration& target, std::uint64_t offset, const nlohmann::json& record) -> void
{
    target.apply(log_offset{offset}, log_time{offset}, record);
}

auto value_of(const configuration& from, const std::string& path) -> int
{
    const auto found = from.entries().find(path);
    return found == from.entries().end() || !found->second.value ? -1
                                                                 : found->second.value->get<int>();
}

/// Declares the team `sales` with its key.
auto declare_team(configuration& target, std::uint64_t offset) -> void
{
    config_change change;
    change.id = "team";
    change.author = "ana";
    change.team = "fleet";
    change.sets = {{"/fleet/teams/sales", log_offset{},
                    nlohmann::json{{"public_key", *public_key_of(team_key)}}}};
    change.signature = *sign_message(fleet_key, change.signed_text());
    apply(target, offset, change.to_json());
}

} // namespace

TEST_CASE("of two changes based on the same version, every host refuses the later one")
{
    auto first = make_configuration();
    auto second = make_configuration();
    for (auto* host : {&first, &second})
    {
        apply(*host, 1, make_change("a", "/x/y", 0, 1));
        apply(*host, 2, make_change("b", "/x/y", 1, 2));
        apply(*host, 3, make_change("c", "/x/y", 1, 3));
    }
    CHECK(value_of(first, "/x/y") == 2);
    CHECK(first.digest() == second.digest());
    CHECK_FALSE(first.result_of("c")->accepted);
    CHECK(first.result_of("c")->reason.find("has version 2") != std::string::npos);
}

TEST_CASE("a change with one wrong expected version applies none of its assignments")
{
    auto host = make_configuration();
    apply(host, 1, make_change("a", "/x/one", 0, 1));
    config_change both;
    both.id = "b";
    both.author = "ana";
    both.team = "fleet";
    both.sets = {{"/x/two", log_offset{}, nlohmann::json(2)},
                 {"/x/one", log_offset{9}, nlohmann::json(9)}};
    both.signature = *sign_message(fleet_key, both.signed_text());
    apply(host, 2, both.to_json());
    CHECK(value_of(host, "/x/one") == 1);
    CHECK(value_of(host, "/x/two") == -1);
}

TEST_CASE("duplicate changes and already applied offsets are ignored")
{
    auto host = make_configuration();
    const auto first = make_change("a", "/x/y", 0, 1);
    apply(host, 1, first);
    apply(host, 2, make_change("b", "/x/y", 1, 2));
    // The response to the append was lost, so the change was appended twice.
    apply(host, 3, first);
    apply(host, 1, first);
    CHECK(value_of(host, "/x/y") == 2);
    CHECK(host.applied() == log_offset{3});
}

TEST_CASE("changes outside the team's subtree or with a wrong signature are refused")
{
    auto host = make_configuration();
    declare_team(host, 1);
    apply(host, 2, make_change("a", "/sales/routes/r", 0, 1, "sales", team_key));
    apply(host, 3, make_change("b", "/assist/routes/r", 0, 1, "sales", team_key));
    apply(host, 4, make_change("c", "/assist/routes/r", 0, 1, "fleet", team_key));
    auto forged = make_change("d", "/sales/routes/r", 2, 7, "sales", team_key);
    forged["sets"][0]["value"] = 8;
    apply(host, 5, forged);
    CHECK(value_of(host, "/sales/routes/r") == 1);
    CHECK(value_of(host, "/assist/routes/r") == -1);
    CHECK_FALSE(host.result_of("b")->accepted);
    CHECK_FALSE(host.result_of("c")->accepted);
    // A forged record does not make the authentic change with its id a duplicate.
    apply(host, 6, make_change("d", "/sales/routes/r", 2, 7, "sales", team_key));
    CHECK(value_of(host, "/sales/routes/r") == 7);
}

TEST_CASE("a host that starts after the log was trimmed applies changes only after a snapshot")
{
    auto old_host = make_configuration();
    apply(old_host, 1, make_change("a", "/x/y", 0, 1));
    const auto snapshot = old_host.snapshot();
    // Hosts that applied record 1 refuse it; a host without record 1 would accept it.
    const auto racing = make_change("b", "/x/y", 0, 5);
    apply(old_host, 2, racing);
    auto fresh = make_configuration();
    apply(fresh, 2, racing);
    CHECK_FALSE(fresh.is_complete());
    CHECK(value_of(fresh, "/x/y") == -1);
    apply(fresh, 3, snapshot);
    apply(old_host, 3, snapshot);
    CHECK(fresh.is_complete());
    CHECK(value_of(fresh, "/x/y") == 1);
    CHECK(fresh.digest() == old_host.digest());
    CHECK(fresh.applied() == old_host.applied());
}

TEST_CASE("merging a peer's state advances a host and never reverts a path")
{
    auto ahead = make_configuration();
    apply(ahead, 1, make_change("a", "/x/y", 0, 1));
    const auto older = ahead.snapshot();
    apply(ahead, 2, make_change("b", "/x/y", 1, 2));
    auto fresh = make_configuration();
    CHECK(fresh.merge(ahead.snapshot()));
    CHECK(value_of(fresh, "/x/y") == 2);
    CHECK(fresh.merge(older));
    CHECK(value_of(fresh, "/x/y") == 2);
    CHECK(fresh.applied() == log_offset{2});
    // A partial snapshot has only newer paths and cannot be merged by a host that lacks the rest.
    CHECK(fresh.snapshot(log_offset{1})["body"]["entries"].size() == 1);
    auto other = make_configuration();
    CHECK_FALSE(other.merge(fresh.snapshot(log_offset{1})));
}

TEST_CASE("a modified snapshot fails authentication and is not merged")
{
    auto host = make_configuration();
    auto snapshot = host.snapshot();
    snapshot["body"]["through"] = 99;
    CHECK_FALSE(host.merge(snapshot));
    CHECK(host.applied() == log_offset{});
}

TEST_CASE("changes after lost records are buffered until the fleet's operators accept the gap")
{
    auto host = make_configuration();
    apply(host, 1, make_change("a", "/x/y", 0, 1));
    apply(host, 5, make_change("b", "/x/y", 1, 2));
    CHECK_FALSE(host.is_complete());
    CHECK(value_of(host, "/x/y") == 1);
    config_change accepted;
    accepted.id = "gap";
    accepted.author = "ana";
    accepted.team = "fleet";
    accepted.sets = {{"/fleet/accepted-gap", log_offset{}, nlohmann::json{{"through", 4}}}};
    accepted.signature = *sign_message(fleet_key, accepted.signed_text());
    apply(host, 6, accepted.to_json());
    CHECK(host.is_complete());
    CHECK(value_of(host, "/x/y") == 2);
}

TEST_CASE("malformed log records are skipped")
{
    auto host = make_configuration();
    apply(host, 1, nlohmann::json("text"));
    apply(host, 2, nlohmann::json{{"type", "change"}, {"id", 7}});
    apply(host, 3, nlohmann::json{{"type", "snapshot"}, {"body", 1}, {"mac", "x"}});
    apply(host, 4, make_change("a", "/x/y", 0, 1));
    CHECK(value_of(host, "/x/y") == 1);
}

TEST_CASE("reading a declaration reports all its errors with the allowed values")
{
    std::vector<config_error> errors;
    declarations all;
    read_declaration(
        "/assist/upstreams/e1",
        nlohmann::json{{"adress", "127.0.0.1"}, {"port", 70000}, {"zone", "a"}, {"pool", "p"}}, all,
        errors, unknown_keys::refuse);
    std::string text;
    for (const auto& error : errors)
    {
        text += error.text() + "\n";
    }
    CHECK(text.find("/assist/upstreams/e1/address: is missing") != std::string::npos);
    CHECK(text.find("did you mean \"address\"") != std::string::npos);
    CHECK(text.find("/port: is 70000; allowed: a whole number from 1 to 65535") !=
          std::string::npos);
    // Daemons ignore keys written by a newer version.
    errors.clear();
    read_declaration("/fleet/zones/a", nlohmann::json{{"in_service", false}, {"newer", 1}}, all,
                     errors, unknown_keys::ignore);
    CHECK(errors.empty());
    CHECK_FALSE(all.zones.at("a").in_service);
}
