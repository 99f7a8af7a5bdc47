#include "load/experiment.hpp"

#include "net/clock.hpp"
#include "net/response_check.hpp"

#include <httplib.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>

namespace poplardrift::load
{

namespace
{

constexpr double fleet_patience_seconds = 40.0;
constexpr double end_patience_seconds = 40.0;
constexpr auto sample_interval = std::chrono::milliseconds(250);
constexpr const char* phase_defaults = R"({"chats_per_second":0,"bookings_per_second":0})";

auto read_shape(const nlohmann::json& plan) -> chat_shape
{
    const auto described = plan.value("chats", nlohmann::json::object());
    chat_shape shape;
    shape.first_prompt_tokens = described.value("first_prompt_tokens", shape.first_prompt_tokens);
    shape.turn_tokens = described.value("turn_tokens", shape.turn_tokens);
    shape.answer_tokens = described.value("answer_tokens", shape.answer_tokens);
    shape.pause_least = described.value("pause_least_s", shape.pause_least);
    shape.pause_most = described.value("pause_most_s", shape.pause_most);
    shape.most_turns = described.value("most_turns", shape.most_turns);
    shape.returning = described.value("returning", shape.returning);
    shape.echo_hint = described.value("echo_hint", shape.echo_hint);
    return shape;
}

auto end_name(request_end end) -> const char*
{
    static constexpr const char* names[] = {"done", "not_run", "unknown", "lost", "lost_with_host"};
    return names[static_cast<int>(end)];
}

auto process_of(const std::string& folder, const std::string& host) -> pid_t
{
    std::ifstream file(folder + "/host-" + host + ".pid");
    pid_t pid = 0;
    file >> pid;
    return pid;
}

/// Values of a metric by its `kind` label.
auto read_kinds(const std::string& text, const std::string& name) -> std::map<std::string, double>
{
    std::map<std::string, double> result;
    const auto start = "\n" + name + "{kind=\"";
    for (auto at = text.find(start); at != std::string::npos; at = text.find(start, at + 1))
    {
        const auto from = at + start.size();
        const auto to = text.find("\"} ", from);
        result[text.substr(from, to - from)] = std::strtod(text.c_str() + to + 3, nullptr);
    }
    return result;
}

} // namespace

experiment::experiment(nlohmann::json plan_document, nlohmann::json client_document)
    : plan(std::move(plan_document)), client(std::move(client_document)),
      hosts(this->client.at("hosts")),
      oracle(this->client.at("engines"),
             this->client.at("defaults").value("cache_tokens", std::int64_t{200'000}),
             this->client.value("load_bound", 1.25)),
      people(this->client, read_shape(this->plan), this->hosts, this->oracle, this->results,
             this->plan.value("seed", std::uint64_t{1}))
{
}

auto experiment::seconds_now() const -> double
{
    return to_seconds(monotonic_now().time_since_epoch()) - this->begin_seconds;
}

auto experiment::emulator_get(const std::string& path) -> nlohmann::json
{
    httplib::Client http(this->client["platform"]["address"].get<std::string>(),
                         this->client["platform"]["port"].get<int>());
    const auto answer = http.Get(path);
    return has_valid_response(answer) ? nlohmann::json::parse(answer->body, nullptr, false)
                                      : nlohmann::json();
}

auto experiment::emulator_post(const std::string& path, const nlohmann::json& body) -> void
{
    httplib::Client http(this->client["platform"]["address"].get<std::string>(),
                         this->client["platform"]["port"].get<int>());
    http.Post(path, body.dump(), "application/json");
}

auto experiment::control_bytes() -> bytes_by_host
{
    bytes_by_host result;
    for (const auto& host : this->client["hosts"])
    {
        httplib::Client http(host["address"].get<std::string>(), host["http_port"].get<int>());
        http.set_connection_timeout(1);
        const auto answer = http.Get("/metrics");
        if (has_valid_response(answer))
        {
            result[host["name"]] = read_kinds(answer->body, "poplardrift_control_bytes");
            this->placements[host["name"]] = read_kinds(answer->body, "poplardrift_placements");
        }
    }
    return result;
}

auto experiment::set_zone(const std::string& zone, bool in_service) -> void
{
    // The experiment's operator uses the operators' tool, as a person would.
    const auto folder = this->client["folder"].get<std::string>();
    std::string command = "${POPLARDRIFT_BIN:-build/bin}/poplardriftctl";
    for (const auto& host : this->client["hosts"])
    {
        command += " --admin " + host["address"].get<std::string>() + ":" +
                   std::to_string(this->client["admin_port"].get<int>());
    }
    command += std::string(" zone ") + (in_service ? "undrain " : "drain ") + zone + " --key " +
               folder + "/fleet.key --author experiment >/dev/null 2>>" + folder + "/ctl.log";
    if (std::system(command.c_str()) != 0)
    {
        this->results.add_mark(this->seconds_now(), "the zone change failed");
    }
    this->emulator_post("/control", {{"expect_out", {{"name", zone}, {"out", !in_service}}}});
    this->oracle.set_zone(zone, in_service);
}

auto experiment::do_event(const nlohmann::json& what) -> void
{
    const auto folder = this->client["folder"].get<std::string>();
    this->results.add_mark(this->seconds_now(), what.dump());
    if (what.contains("zone"))
    {
        this->set_zone(what["zone"], what.value("in_service", false));
    }
    if (what.contains("control"))
    {
        this->emulator_post("/control", what["control"]);
        const auto set = what["control"].value("set", nlohmann::json::object());
        if (set.value("cold", false) || set.value("down", false))
        {
            this->oracle.clear(what["control"].value("engine", ""));
        }
    }
    if (what.contains("kill"))
    {
        this->hosts.note_killed(what["kill"]);
        ::kill(process_of(folder, what["kill"]), SIGKILL);
    }
    if (what.contains("freeze"))
    {
        ::kill(process_of(folder, what["freeze"]), SIGSTOP);
    }
    if (what.contains("thaw"))
    {
        ::kill(process_of(folder, what["thaw"]), SIGCONT);
    }
    if (what.contains("stop"))
    {
        ::kill(process_of(folder, what["stop"]), SIGTERM);
    }
    if (what.contains("start"))
    {
        // The script that began the fleet starts it.
        std::ofstream(folder + "/host-" + what["start"].get<std::string>() + ".start");
    }
}

auto experiment::sample_loop() -> void
{
    while (!this->ended)
    {
        const auto stats = this->emulator_get("/stats");
        std::map<std::string, int> loads;
        for (const auto& item : stats.is_object() ? stats["engines"] : nlohmann::json::array())
        {
            loads[item["name"]] = item["in_flight"];
        }
        this->results.add_loads(this->seconds_now(), std::move(loads));
        std::this_thread::sleep_for(sample_interval);
    }
}

auto experiment::schedule_loop() -> void
{
    std::mt19937_64 generator(this->plan.value("seed", std::uint64_t{1}) + 1);
    auto events = this->plan.value("events", nlohmann::json::array());
    const auto ticket_share = this->plan.value("ticket_share", 0.0);
    const auto repeats = this->plan.value("repeats", 3);
    std::size_t next_event = 0;
    double phase_begin = 0;
    for (const auto& phase : this->plan.at("phases"))
    {
        const auto described = [&](const char* name)
        { return phase.value(name, nlohmann::json::parse(phase_defaults).at(name).get<double>()); };
        const auto chats = described("chats_per_second");
        const auto bookings = described("bookings_per_second");
        const auto workspace = phase.value("workspace", std::string());
        const auto surge = phase.value("surge_per_second", 0.0);
        const auto rate = chats + bookings + surge;
        const auto phase_end = phase_begin + phase.at("seconds").get<double>();
        double at = phase_begin;
        std::exponential_distribution<double> gap(std::max(rate, 0.001));
        std::uniform_real_distribution<double> pick(0.0, std::max(rate, 0.001));
        while (true)
        {
            at += rate > 0 ? gap(generator) : phase_end - phase_begin + 1;
            while (next_event < events.size() &&
                   events[next_event].at("at").get<double>() <= std::min(at, phase_end))
            {
                const auto wait = events[next_event]["at"].get<double>() - this->seconds_now();
                std::this_thread::sleep_for(std::chrono::duration<double>(std::max(wait, 0.0)));
                std::thread([this, what = events[next_event]["do"]] { this->do_event(what); })
                    .detach();
                ++next_event;
            }
            if (at >= phase_end)
            {
                break;
            }
            std::this_thread::sleep_for(
                std::chrono::duration<double>(std::max(at - this->seconds_now(), 0.0)));
            const auto kind = pick(generator);
            const auto with_ticket =
                std::uniform_real_distribution<double>(0, 1)(generator) < ticket_share;
            ++this->running;
            std::thread(
                [this, kind, chats, bookings, at, workspace, with_ticket, repeats]
                {
                    if (kind < chats)
                    {
                        this->people.chat(this->people.next_conversation(at, ""), at);
                    }
                    else if (kind < chats + bookings)
                    {
                        this->people.book(at, with_ticket, repeats);
                    }
                    else
                    {
                        this->people.chat(this->people.next_conversation(at, workspace), at);
                    }
                    --this->running;
                })
                .detach();
        }
        phase_begin = phase_end;
    }
}

auto experiment::run() -> bool
{
    if (!this->hosts.wait_ready(fleet_patience_seconds))
    {
        std::cerr << "not all hosts are ready; the fleet of " << this->client["folder"]
                  << " has to run\n";
        return false;
    }
    this->emulator_post("/stats/reset", nlohmann::json::object());
    const auto bytes_before = this->control_bytes();
    this->begin_seconds = to_seconds(monotonic_now().time_since_epoch());
    this->begin_ms = static_cast<double>(wall_clock_ms());
    this->people.set_begin(this->begin_seconds);
    const auto warm_seconds = this->plan.value("warm_seconds", 0.0);
    std::thread(
        [this, warm_seconds]
        {
            // What happens while engines warm up for the first time is no part of the skew.
            std::this_thread::sleep_for(std::chrono::duration<double>(warm_seconds));
            this->emulator_post("/stats/reset?keep_violations=1", nlohmann::json::object());
        })
        .detach();
    std::thread sampler([this] { this->sample_loop(); });
    this->schedule_loop();
    const auto seconds = this->seconds_now();
    for (double waited = 0; this->running > 0 && waited < end_patience_seconds; waited += 0.05)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    this->ended = true;
    sampler.join();
    this->judge(bytes_before, seconds);
    return true;
}

auto experiment::judge_chats() -> void
{
    std::int64_t cacheable = 0;
    std::int64_t cached = 0;
    std::int64_t ideal = 0;
    std::map<std::string, std::int64_t> ends;
    std::vector<double> first_tokens;
    std::vector<double> gaps;
    std::map<std::string, std::vector<double>> by_workspace;
    nlohmann::json complaints = nlohmann::json::array();
    const auto warm_seconds = this->plan.value("warm_seconds", 0.0);
    std::map<int, std::vector<double>> by_window;
    for (const auto& sample : this->results.chats())
    {
        ++ends[end_name(sample.end)];
        if (sample.end == request_end::done)
        {
            by_window[static_cast<int>(sample.at_seconds / 5) * 5].push_back(
                sample.first_token_seconds);
        }
        if (sample.end == request_end::done && sample.at_seconds < warm_seconds)
        {
            continue;
        }
        if (sample.end == request_end::done)
        {
            first_tokens.push_back(sample.first_token_seconds);
            by_workspace[sample.workspace].push_back(sample.first_token_seconds);
            gaps.insert(gaps.end(), sample.gaps_seconds.begin(), sample.gaps_seconds.end());
            cacheable += sample.cacheable_tokens;
            cached += sample.returning ? sample.cached_tokens : 0;
            ideal += sample.oracle_tokens;
        }
        else if (complaints.size() < 10)
        {
            complaints.push_back(std::string(end_name(sample.end)) + " at " +
                                 std::to_string(sample.at_seconds) + ": " +
                                 sample.why.substr(0, 200));
        }
    }
    const auto share = [&](std::int64_t part)
    { return cacheable > 0 ? static_cast<double>(part) / static_cast<double>(cacheable) : 0.0; };
    this->figures["cache_reuse"] = share(cached);
    this->figures["cache_reuse_oracle"] = share(ideal);
    this->figures["chats"] = ends;
    this->figures["first_token_p50_seconds"] = percentile(first_tokens, 0.5);
    this->figures["first_token_p95_seconds"] = percentile(first_tokens, 0.95);
    this->figures["first_token_p99_seconds"] = percentile(first_tokens, 0.99);
    this->figures["between_tokens_p95_seconds"] = percentile(gaps, 0.95);
    this->figures["complaints"] = complaints;
    for (auto& [window, values] : by_window)
    {
        this->figures["first_token_p95_by_time"][std::to_string(window)] = percentile(values, 0.95);
    }
    for (auto& [name, values] : by_workspace)
    {
        this->figures["by_workspace"][name] = {
            {"done", values.size()}, {"first_token_p95_seconds", percentile(values, 0.95)}};
    }
}

auto experiment::judge_bookings() -> void
{
    std::map<std::string, std::int64_t> ends;
    std::vector<double> times;
    std::int64_t falsely_not_run = 0;
    std::int64_t done_without_effect = 0;
    std::int64_t settled_later = 0;
    auto& complaints = this->figures["complaints"];
    for (const auto& sample : this->results.bookings())
    {
        ++ends[end_name(sample.end)];
        const auto ran = this->emulator_get("/bookings/" + sample.order).value("count", 0);
        falsely_not_run += sample.end == request_end::refused_not_run && ran > 0 ? 1 : 0;
        done_without_effect += sample.end == request_end::done && ran == 0 ? 1 : 0;
        if (sample.end == request_end::done)
        {
            times.push_back(sample.seconds);
            continue;
        }
        if (complaints.size() < 20)
        {
            complaints.push_back(std::string(end_name(sample.end)) + " booking at " +
                                 std::to_string(sample.at_seconds) + ": " +
                                 sample.why.substr(0, 200));
        }
        // The truth may be had later, at any host.
        const auto host = this->hosts.pick(0);
        httplib::Client http(host.address, host.port);
        const auto found = http.Get("/v1/transactions/" + sample.key,
                                    {{"Authorization", "Bearer " + sample.workspace_key}});
        const auto state = has_valid_response(found) && found->status == 200
                               ? nlohmann::json::parse(found->body).value("state", "")
                               : "";
        settled_later += state == "done" ? 1 : 0;
    }
    this->figures["asked"] = this->results.bookings().size();
    this->figures["done"] = ends["done"];
    this->figures["not_run"] = ends["not_run"];
    this->figures["unknown"] = ends["unknown"] + ends["lost"] + ends["lost_with_host"];
    this->figures["unknown_settled_later"] = settled_later;
    this->figures["falsely_not_run"] = falsely_not_run;
    this->figures["done_without_effect"] = done_without_effect;
    this->figures["booking_p50_seconds"] = percentile(times, 0.5);
    this->figures["booking_p99_seconds"] = percentile(times, 0.99);
    this->figures["bookings"] = ends;
}

auto experiment::judge(const bytes_by_host& bytes_before, double seconds) -> void
{
    this->figures["experiment"] = this->plan.at("name");
    this->figures["placement"] = this->client["placement"];
    this->figures["seconds"] = seconds;
    this->judge_chats();
    this->judge_bookings();
    const auto stats = this->emulator_get("/stats");
    double most_bytes = 0;
    for (const auto& [host, kinds] : this->control_bytes())
    {
        double sum = 0;
        nlohmann::json shown;
        for (const auto& [kind, bytes] : kinds)
        {
            const auto found = bytes_before.find(host);
            const auto before = found == bytes_before.end() || !found->second.contains(kind)
                                    ? 0.0
                                    : found->second.at(kind);
            // A host that was started anew counts from zero.
            const auto spent = (bytes - (before > bytes ? 0.0 : before)) / seconds;
            shown[kind] = spent;
            sum += spent;
        }
        for (const auto& [kind, count] : this->placements[host])
        {
            auto& all = this->figures["placements"][kind];
            all = (all.is_null() ? 0.0 : all.get<double>()) + count;
        }
        if (sum > most_bytes)
        {
            most_bytes = sum;
            this->figures["control_bytes_by_kind"] = shown;
        }
    }
    this->figures["control_bytes_per_host_second"] = most_bytes;
    this->figures["skew_max_over_mean"] = stats.value("skew_max_over_mean", 0.0);
    this->figures["doubled"] = stats.value("doubled", 0);
    this->figures["log_appends"] = stats["platform"]["appends"];
    auto violations = stats.value("violations", nlohmann::json::object());
    const auto chats = this->figures["chats"];
    const auto bookings = this->figures["bookings"];
    const auto lost =
        chats.value("lost", 0) + bookings.value("lost", 0) + chats.value("unknown", 0);
    const auto add = [&](const char* promise, std::int64_t count)
    {
        if (count > 0)
        {
            violations[promise] = count;
        }
    };
    add("falsely_not_run", this->figures["falsely_not_run"]);
    add("done_without_effect", this->figures["done_without_effect"]);
    this->figures["violations"] = violations;
    for (const auto& item : stats.value("violation_times_ms", nlohmann::json::array()))
    {
        const auto second = static_cast<int>((item[0].get<double>() - this->begin_ms) / 1000.0);
        auto& count = this->figures["violation_times"][std::to_string(second)];
        count = (count.is_null() ? 0 : count.get<int>()) + 1;
    }
    this->figures["requests"] = this->results.chats().size() + this->results.bookings().size();
    this->figures["requests_lost"] = lost;
}

} // namespace poplardrift::load
