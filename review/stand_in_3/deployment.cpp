#include "deployment.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>

extern char** environ; // NOLINT

namespace review
{

using namespace std::chrono_literals;
using nlohmann::json;

const char* const small_bounds = "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\n"
                                 "bounds.contact_ms=3000\nbounds.ack_ms=4000\n"
                                 "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
                                 "bounds.loss_slack_ms=200\nbounds.config_ms=2000\n"
                                 "bounds.downgrade_ms=250\nbounds.partition_ms=5000\n"
                                 "bounds.revoke_strict=false\nbounds.revoke_ms=5000\n"
                                 "bounds.retry_ratio=0.2\nbounds.retry_window_s=10\n"
                                 "bounds.retry_slack=56\nbounds.cold_multiplier=1.5\n"
                                 "bounds.cold_start_slack=5\nbounds.evacuate_ms=5000\n"
                                 "bounds.recover_s=12\nbounds.event_lag_ms=120\n"
                                 "bounds.retry_after_s=10\nbounds.cap_factor=2\n";

const char* const grown_bounds =
    "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=4000\nbounds.ack_ms=6000\n"
    "bounds.catch_up_s=6\nbounds.drain_ms=3000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n"
    "bounds.config_ms=3000\nbounds.downgrade_ms=250\nbounds.partition_ms=6000\n"
    "bounds.revoke_strict=false\nbounds.revoke_ms=5000\nbounds.retry_ratio=0.2\n"
    "bounds.retry_window_s=10\nbounds.retry_slack=208\nbounds.cold_multiplier=1.5\n"
    "bounds.cold_start_slack=5\nbounds.evacuate_ms=5000\nbounds.recover_s=15\n"
    "bounds.event_lag_ms=200\nbounds.retry_after_s=10\nbounds.cap_factor=2\n";

auto record_file::seconds() const -> double
{
    return std::chrono::duration<double>(clock::now() - this->started).count();
}

auto record_file::write(const std::string& line) -> void
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", this->seconds());
    const std::lock_guard lock(this->mutex);
    this->file << time.data() << line << std::endl;
}

auto own_address(int number) -> std::string
{
    const auto process = static_cast<int>(::getpid());
    return "127." + std::to_string(64 + process / 250 % 128) + "." + std::to_string(process % 250) +
           "." + std::to_string(number);
}

router_process::router_process(router_settings chosen, const std::string& folder)
    : settings(std::move(chosen)), settings_path(folder + "/" + this->settings.name + ".conf"),
      log_path(folder + "/" + this->settings.name + ".log"),
      pid_path(folder + "/" + this->settings.name + ".pid")
{
    std::ofstream file(this->settings_path);
    file << "node_name=" << this->settings.name << "\nrole=router\nmachine_class=edge\n"
         << "serves=edge,control\nip=" << this->settings.address << "\nzone=" << this->settings.zone
         << "\nregion=" << this->settings.region << "\nlisten.frontend=" << this->settings.address
         << ":" << this->settings.callers << "\nlisten.ready=" << this->settings.address << ":"
         << this->settings.readiness << "\nport_range=" << this->settings.first_port << ","
         << this->settings.first_port + 15 << "\nseeds=" << this->settings.seeds
         << "\nbootstrap=true\nlimits.memory_mb=" << this->settings.memory_mb
         << "\nlimits.max_fds=" << this->settings.descriptors << "\ndiscovery=platform\n"
         << "entry=vip\nheartbeat_ms=1200\n"
         << "contracts=" << this->settings.contracts << "\n"
         << this->settings.bounds << "platform.address=" << this->settings.store
         << "\nplatform.form=log\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n";
}

router_process::~router_process()
{
    this->kill();
}

auto router_process::start() -> void
{
    std::string program = "target/bin/poplardrift-router";
    std::vector<std::string> variables = {"POPLARDRIFT_BOOT=" + this->settings_path};
    for (const auto* const name : {"PATH", "HOME", "LANG"})
    {
        if (const auto* const value = std::getenv(name))
        {
            variables.push_back(std::string(name) + "=" + value);
        }
    }
    std::vector<char*> environment;
    for (auto& variable : variables)
    {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    std::array<char*, 2> arguments = {program.data(), nullptr};
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, this->log_path.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    if (::posix_spawn(&this->process, program.c_str(), &files, nullptr, arguments.data(),
                      environment.data()) != 0)
    {
        this->process = -1;
    }
    ::posix_spawn_file_actions_destroy(&files);
    if (this->process > 0)
    {
        std::ofstream(this->pid_path) << this->process;
    }
}

auto router_process::send_signal(int signal) const -> void
{
    if (this->process > 0)
    {
        ::kill(this->process, signal);
    }
}

auto router_process::kill() -> void
{
    this->send_signal(SIGKILL);
    if (this->process > 0)
    {
        ::waitpid(this->process, nullptr, 0);
    }
    this->forget();
}

auto router_process::forget() -> void
{
    this->process = -1;
    static_cast<void>(std::remove(this->pid_path.c_str()));
}

auto router_process::wait_for_end(milliseconds limit) -> bool
{
    const auto end = clock::now() + limit;
    while (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == 0)
    {
        if (clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(5ms);
    }
    this->forget();
    return true;
}

auto router_process::is_ready() const -> bool
{
    const auto answer =
        ask(this->settings.address, this->settings.readiness,
            "GET /-/readyz HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n", 1s);
    return answer && answer->status() == 200;
}

auto router_process::wait_until_ready(milliseconds limit) const -> bool
{
    const auto end = clock::now() + limit;
    while (!this->is_ready())
    {
        if (clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(50ms);
    }
    return true;
}

plain_runner::plain_runner(record_file& record, std::string id, std::string service,
                           const std::string& zone, int number)
    : record(record), id(std::move(id)), service(std::move(service)), zone(zone),
      address(own_address(number)), born(std::chrono::duration_cast<milliseconds>(
                                             std::chrono::system_clock::now().time_since_epoch())
                                             .count()),
      listener(this->address, [this](connection& link) { this->serve(link); })
{
}

auto plain_runner::set_behaviour(behaviour next) -> void
{
    const std::lock_guard lock(this->mutex);
    this->behave = std::move(next);
}

auto plain_runner::set_writer(writer next) -> void
{
    const std::lock_guard lock(this->mutex);
    this->write_response = std::move(next);
}

auto plain_runner::entry(std::uint64_t sequence) const -> std::string
{
    return json{{"service", this->service},
                {"address", this->address + ":" + std::to_string(this->listener.port())},
                {"zone", this->zone},
                {"version", "v1"},
                {"slots", 6},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"born", this->born},
                {"sequence", sequence}}
        .dump();
}

auto plain_runner::runs() const -> std::vector<run_entry>
{
    const std::lock_guard lock(this->mutex);
    return this->entries;
}

auto plain_runner::seal_fields(const message& request) -> std::string
{
    return "Poplardrift-Attempt-Id: " + request.field("poplardrift-attempt-id") +
           "\r\nPoplardrift-Runner-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

auto plain_runner::serve(connection& link) -> void
{
    while (const auto request = link.read(60s, false))
    {
        behaviour current;
        writer current_writer;
        {
            const std::lock_guard lock(this->mutex);
            current = this->behave;
            current_writer = this->write_response;
        }
        std::optional<std::string> text;
        if (request->field("poplardrift-expect-runner") != this->id)
        {
            text = response(421,
                            "Poplardrift-Runner-Id: " + this->id + "\r\nPoplardrift-Attempt-Id: " +
                                request->field("poplardrift-attempt-id") + "\r\n",
                            "");
        }
        else if (current_writer && current_writer(*request, link))
        {
            if (!link.is_open())
            {
                return;
            }
            continue;
        }
        else if (current)
        {
            text = current(*request);
        }
        if (!text)
        {
            text = response(200, seal_fields(*request), "ok " + this->id + "\n");
        }
        const auto status = std::atoi(text->substr(9, 3).c_str());
        const auto path = request->target();
        const auto attempt = request->field("poplardrift-attempt-id");
        this->record.write("runner " + this->id + " got " + attempt + " " + path + " -> " +
                           std::to_string(status));
        {
            const std::lock_guard lock(this->mutex);
            this->entries.push_back({this->record.seconds(), attempt, path, this->id, status});
        }
        if (!link.write(*text))
        {
            return;
        }
    }
}

heartbeats::heartbeats(platform_store& store, std::vector<plain_runner*> all)
    : store(store), runners(std::move(all))
{
    this->write_all();
    this->writer = std::thread(
        [this]
        {
            auto next = clock::now() + 1200ms;
            while (!this->stopping)
            {
                std::this_thread::sleep_for(20ms);
                if (clock::now() >= next)
                {
                    next += 1200ms;
                    this->write_all();
                }
            }
        });
}

heartbeats::~heartbeats()
{
    this->stopping = true;
    this->writer.join();
}

auto heartbeats::write(const plain_runner& runner) -> void
{
    static_cast<void>(
        this->store.put("keyed.servers", runner.get_id(), runner.entry(++this->sequence)));
}

auto heartbeats::hold(const plain_runner& runner, bool is_held) -> void
{
    const std::lock_guard lock(this->mutex);
    this->held[runner.get_id()] = is_held;
    if (!is_held)
    {
        this->write(runner);
    }
}

auto heartbeats::write_all() -> void
{
    const std::lock_guard lock(this->mutex);
    for (const auto* const runner : this->runners)
    {
        if (!this->held[runner->get_id()])
        {
            this->write(*runner);
        }
    }
}

auto client_request(const std::string& method, const std::string& path, const std::string& id,
                    const std::string& key, int deadline_ms) -> std::string
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: site.example\r\nPoplardrift-Attempt-Id: " + id +
           "\r\nPoplardrift-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nX-Api-Key: " + key +
           "\r\n" + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
}

auto new_attempt_id() -> std::string
{
    static std::atomic<unsigned> count{0};
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%08x%08x", static_cast<unsigned>(::getpid()), ++count);
    return text.data();
}

auto has_trouble() -> bool
{
    const auto* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
