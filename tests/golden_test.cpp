#include "poplardrift/transactions/transaction_core.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>

using namespace poplardrift;

namespace
{

const workspace_id workspace{5};

/// Converts an action to its JSON form in a session file.
struct action_to_json
{
    auto operator()(const append_transaction_record& item) const -> nlohmann::json
    {
        return {{"append", to_json(item.record)}};
    }
    auto operator()(const run_transaction& item) const -> nlohmann::json
    {
        return {{"run", item.id.value()}};
    }
    auto operator()(const replay_answer& item) const -> nlohmann::json
    {
        return {{"replay", item.id.value()},
                {"status", item.answer.status},
                {"body", item.answer.body}};
    }
    auto operator()(const forward_transaction& item) const -> nlohmann::json
    {
        return {{"forward", item.id.value()}, {"to", item.to.value()}};
    }
    auto operator()(const refuse_transaction& item) const -> nlohmann::json
    {
        return {{"refuse", item.id.value()},
                {"why", to_text(item.reason)},
                {"outcome", guarantees_not_run(item.reason) ? "not-run" : "unknown"}};
    }
    auto operator()(const report_transaction_event& item) const -> nlohmann::json
    {
        return {{"event", static_cast<int>(item.event_data.code)}};
    }
};

/// Replays one recorded session with two hosts and a shared log.
class session final
{
public:
    session()
    {
        this->restart("1");
        this->restart("2");
    }

    /// Applies one input event and returns the resulting actions by host.
    auto feed(const nlohmann::json& event) -> nlohmann::json
    {
        const auto name = event.at("event").get<std::string>();
        const auto host_name = event.value("host", "1");
        auto& host = this->hosts[host_name];
        this->now += std::chrono::milliseconds(event.value("after_ms", 1));
        if (name == "begin")
        {
            transaction_request request;
            request.id = request_id{event.at("id").get<std::uint64_t>()};
            request.workspace = workspace;
            request.key = event.value("key", "");
            request.fingerprint = request_fingerprint{event.value("fingerprint", "f")};
            request.forwarded = event.value("forwarded", false);
            request.deadline = this->now + std::chrono::seconds(60);
            host.core->begin(request, this->now);
        }
        else if (name == "append")
        {
            this->append(host, event.value("result", "appended"));
        }
        else if (name == "read")
        {
            this->read(host);
        }
        else if (name == "result")
        {
            host.core->on_run_result(request_id{event.at("id").get<std::uint64_t>()},
                                     result_of(event), this->now);
        }
        else if (name == "tick")
        {
            host.core->on_tick(this->now);
        }
        else if (name == "log_down")
        {
            host.core->on_log_reachable(false);
        }
        else if (name == "crash")
        {
            this->restart(host_name);
        }
        return this->collect_actions();
    }

private:
    struct host_state
    {
        std::unique_ptr<transaction_core> core;
        std::vector<append_transaction_record> outgoing;
        std::size_t read_to = 0;
    };

    static auto result_of(const nlohmann::json& event) -> run_result
    {
        const auto what = event.at("result").get<std::string>();
        if (what == "answered")
        {
            return run_answered{{201, "text/plain", event.value("body", "booked"), true}};
        }
        return what == "unknown" ? run_result{run_unknown{}} : run_result{run_not_sent{}};
    }

    auto restart(const std::string& name) -> void
    {
        transaction_settings settings;
        settings.host_secret = "a secret of the hosts";
        const host_id id{static_cast<std::uint32_t>(std::stoul(name))};
        const incarnation_id incarnation{++this->incarnations};
        this->hosts[name] = {std::make_unique<transaction_core>(settings, id, incarnation), {}, 0};
        for (auto& [other, host] : this->hosts)
        {
            host.core->on_host_seen(id, incarnation);
        }
    }

    auto append(host_state& host, const std::string& result) -> void
    {
        REQUIRE_FALSE(host.outgoing.empty());
        const auto item = host.outgoing.front();
        host.outgoing.erase(host.outgoing.begin());
        if (result != "refused")
        {
            this->log.push_back(item.record);
        }
        if (item.number)
        {
            host.core->on_append(*item.number,
                                 result == "refused" ? append_result::not_appended
                                 : result == "lost"  ? append_result::lost
                                                     : append_result::appended,
                                 this->now);
        }
    }

    auto read(host_state& host) -> void
    {
        host.core->on_log_reachable(true);
        for (; host.read_to < this->log.size(); ++host.read_to)
        {
            const auto time = std::chrono::duration_cast<log_time>(this->now.time_since_epoch());
            host.core->on_record(log_offset{host.read_to + 1}, time, this->log[host.read_to],
                                 this->now);
        }
        host.core->on_recovered();
    }

    auto collect_actions() -> nlohmann::json
    {
        auto result = nlohmann::json::object();
        for (auto& [name, host] : this->hosts)
        {
            for (auto& action : host.core->take_actions())
            {
                result[name].push_back(std::visit(action_to_json{}, action));
                if (const auto* item = std::get_if<append_transaction_record>(&action))
                {
                    host.outgoing.push_back(*item);
                }
            }
        }
        return result;
    }

    std::map<std::string, host_state> hosts;
    std::vector<transaction_record> log;
    time_point now = time_point(std::chrono::seconds(1000));
    std::uint64_t incarnations = 0;
};

/// Replays the events of a file; returns the file's text and the text that the replay produces.
auto replay(const std::string& path) -> std::pair<std::string, std::string>
{
    std::ifstream file(path);
    std::string line;
    std::string expected;
    std::string actual;
    session run;
    while (std::getline(file, line))
    {
        expected += line + "\n";
        const auto document = nlohmann::json::parse(line);
        if (document.contains("in"))
        {
            actual += nlohmann::json{{"in", document["in"]}}.dump() + "\n";
            actual += nlohmann::json{{"out", run.feed(document["in"])}}.dump() + "\n";
        }
    }
    return {expected, actual};
}

} // namespace

TEST_CASE("golden sessions: replayed events produce the recorded actions")
{
    // POPLARDRIFT_ACCEPT=1 overwrites the files with the actual output; review the diff before
    // committing.
    const auto accept = std::getenv("POPLARDRIFT_ACCEPT") != nullptr;
    int sessions = 0;
    for (const auto& item :
         std::filesystem::directory_iterator(std::string(POPLARDRIFT_SOURCE_DIR) + "/tests/golden"))
    {
        INFO(item.path().filename().string());
        const auto [expected, actual] = replay(item.path().string());
        if (accept)
        {
            std::ofstream(item.path()) << actual;
        }
        else
        {
            CHECK(expected == actual);
        }
        ++sessions;
    }
    CHECK(sessions >= 5);
}
