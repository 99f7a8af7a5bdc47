#include "fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace review
{

namespace
{

using std::chrono::steady_clock;

constexpr auto idle_limit = std::chrono::seconds(60);
constexpr auto heartbeat_interval = milliseconds(1200);

auto to_base64(const std::string& bytes) -> std::string
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
        {
            const auto byte =
                at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U;
            group = group << 8U | byte;
        }
        for (std::size_t digit = 0; digit < 4; ++digit)
        {
            const auto is_padding = at + digit > bytes.size();
            text.push_back(is_padding ? '=' : digits[group >> (18U - 6U * digit) & 0x3fU]);
        }
    }
    return text;
}

auto big_endian(std::uint64_t number, int bytes) -> std::string
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    {
        text.push_back(static_cast<char>(number >> static_cast<unsigned>(shift) & 0xffU));
    }
    return text;
}

auto parameter(const std::string& target, const std::string& name) -> std::string
{
    const auto found = target.find(name + "=");
    if (found == std::string::npos)
    {
        return {};
    }
    const auto begin = found + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

auto number_of(const std::string& text) -> std::uint64_t
{
    return text.empty() ? 0 : std::stoull(text);
}

auto response(int status, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Not Found") +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto configuration_text(const fleet_options& options) -> std::string
{
    std::ostringstream out;
    out << R"({"version":7,"routes":[)";
    const char* separator = "";
    for (const auto& one : options.routes)
    {
        out << separator << R"({"name":")" << one.name << R"(","hostname":")" << fleet::host_name
            << R"(","path_prefix":"/)" << one.name << R"(/","route_kind":")" << one.kind
            << R"(","timeout_ms":)" << one.timeout_ms << R"(,"slo_ms":)" << one.objective_ms
            << R"(,"priority":1,"service":")" << one.service << R"(","max_attempts":)"
            << one.max_attempts << R"(,"anonymous":false,"sticky":)"
            << (one.sticky ? "true" : "false") << R"(,"resumable":)"
            << (one.resumable ? "true" : "false") << R"(,"itl_target_ms":300})";
        separator = ",";
    }
    out << R"(],"services":[)";
    separator = "";
    for (const auto& name : options.services)
    {
        out << separator << R"({"name":")" << name
            << R"(","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,)"
               R"("cold_start_s":0.0,"cold_per_s":0.0})";
        separator = ",";
    }
    out << R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"hule930","api_keys":[")"
        << fleet::api_key << R"("]}]})";
    return out.str();
}

auto host_address(int host) -> std::string
{
    return "127.0.0." + std::to_string(host + 1);
}

auto settings_text(const fleet_options& options, int host, std::uint16_t first_port,
                   std::uint16_t store_port) -> std::string
{
    const auto ip = host_address(host);
    std::ostringstream out;
    out << "node_name=edge-poa-a-" << host + 1
        << "\nrole=router\nmachine_class=edge\nserves=edge,control\nip=" << ip
        << "\nzone=poa-a\nregion=sul-br\nzones.poa-a=sul-br\nlisten.frontend=" << ip << ':'
        << first_port << "\nlisten.ready=" << ip << ':' << first_port + 1
        << "\nlisten.control=" << ip << ':' << first_port + 2 << "\nport_range=" << first_port + 3
        << ',' << first_port + 18 << "\nseeds=";
    for (int seed = 0; seed < options.hosts; ++seed)
    {
        out << (seed > 0 ? "," : "") << host_address(seed) << ':' << first_port + 2;
    }
    out << "\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb="
        << options.memory_mb
        << "\nlimits.max_fds=4100\nlimits.link_mbps=" << (options.demands ? "200.0" : "1000.0")
        << "\nlimits.disk_mb=0\n"
           "discovery=platform\nentry=vip\nheartbeat_ms=1200\n"
           "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform\n"
           "tolerate.machines=1\ntolerate.zones=1\n"
        << (options.demands
                ? "bounds.contact_ms=4000\nbounds.drain_ms=3000\nbounds.config_ms=3000\n"
                  "bounds.retry_slack=206\n"
                : "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.config_ms=2000\n"
                  "bounds.retry_slack=56\n")
        << "bounds.grace_s=8\nbounds.loss_slack_ms=200\n"
           "bounds.retry_ratio=0.2\nbounds.retry_window_s=10\n"
           "bounds.cold_multiplier=1.5\nbounds.cold_start_slack=5\nbounds.cap_factor=2\n"
           "platform.address=127.0.0.1:"
        << store_port << "\nplatform.form=log\n";
    return out.str();
}

} // namespace

store::store()
    : server(std::make_unique<listener>(fleet::address,
                                        [this](connection& peer) { this->serve(peer); }))
{
}

store::~store()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
}

auto store::put(const std::string& topic, const std::string& key, const std::string& value) -> void
{
    {
        const std::lock_guard lock(this->mutex);
        this->topics[topic].push_back({key, value});
    }
    this->changed.notify_all();
}

auto store::append(const std::string& topic, std::string_view records) -> std::string
{
    const std::lock_guard lock(this->mutex);
    auto& entries = this->topics[topic];
    const auto offset = entries.size();
    while (records.size() >= 4)
    {
        std::size_t size = 0;
        for (const auto byte : records.substr(0, 4))
        {
            size = size << 8U | static_cast<unsigned char>(byte);
        }
        const auto content = records.substr(4, size);
        records.remove_prefix(std::min(records.size(), 4 + size));
        const auto key_size = static_cast<std::size_t>(static_cast<unsigned char>(content[0]));
        entries.push_back(
            {std::string(content.substr(1, key_size)), std::string(content.substr(1 + key_size))});
    }
    this->changed.notify_all();
    return response(200, "{\"offset\":" + std::to_string(offset) +
                             ",\"end_offset\":" + std::to_string(entries.size()) + "}");
}

auto store::read(const std::string& topic, std::uint64_t from, milliseconds wait) -> std::string
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, wait,
                           [&] { return this->stopping || this->topics[topic].size() > from; });
    const auto& entries = this->topics[topic];
    auto body = big_endian(entries.size(), 8) + big_endian(0, 8);
    for (auto at = from; at < entries.size(); ++at)
    {
        const auto& [key, value] = entries[at];
        body +=
            big_endian(1 + key.size() + value.size(), 4) + big_endian(key.size(), 1) + key + value;
    }
    return response(200, body);
}

auto store::list_newest(const std::string& topic) -> std::string
{
    const std::lock_guard lock(this->mutex);
    std::map<std::string, std::size_t> newest;
    const auto& entries = this->topics[topic];
    for (std::size_t at = 0; at < entries.size(); ++at)
    {
        newest[entries[at].key] = at;
    }
    std::ostringstream out;
    out << "{\"items\":[";
    const char* separator = "";
    for (const auto& [key, at] : newest)
    {
        if (entries[at].value.empty())
        {
            continue;
        }
        out << separator << "{\"key\":\"" << key << "\",\"value\":\""
            << to_base64(entries[at].value) << "\",\"offset\":" << at << "}";
        separator = ",";
    }
    out << "],\"has_more\":false,\"end_offset\":" << entries.size() << "}";
    return response(200, out.str());
}

auto store::serve(connection& peer) -> void
{
    while (const auto request = read_request(peer, idle_limit))
    {
        const auto target = request->word(1);
        const auto path = target.substr(0, target.find('?'));
        const auto topic = parameter(target, "topic");
        std::string text = response(404, "");
        if (path == "/-/log-append")
        {
            text = this->append(topic, request->body);
        }
        else if (path == "/-/log-read")
        {
            text = this->read(topic, number_of(parameter(target, "from")),
                              milliseconds(number_of(parameter(target, "wait_ms"))));
        }
        else if (path == "/-/log-newest")
        {
            text = this->list_newest(topic);
        }
        if (!peer.send(text))
        {
            return;
        }
    }
}

fleet::fleet(const fleet_options& options, record& log)
    : log(log), first_port(find_free_ports(options.hosts, 20)),
      processes(static_cast<std::size_t>(options.hosts), -1)
{
    this->platform.put("keyed.op", "config", configuration_text(options));
    auto pattern = std::filesystem::temp_directory_path().string() + "/case-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    for (int host = 0; host < options.hosts; ++host)
    {
        std::ofstream(this->folder + "/boot-" + std::to_string(host) + ".conf")
            << settings_text(options, host, this->first_port, this->platform.port());
        this->start(host);
    }
    this->heartbeat = std::thread([this] { this->beat(); });
}

fleet::~fleet()
{
    this->stopping = true;
    if (this->heartbeat.joinable())
    {
        this->heartbeat.join();
    }
    for (const auto process : this->processes)
    {
        if (process > 0)
        {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

auto fleet::start(int host) -> void
{
    const auto name = std::to_string(host);
    const auto output = this->folder + "/router-" + name + ".log";
    std::string program = "target/bin/poplardrift-router"; // the command of deploy/system.toml
    std::string variable = "POPLARDRIFT_BOOT=" + this->folder + "/boot-" + name + ".conf";
    std::array<char*, 2> arguments = {program.data(), nullptr};
    std::array<char*, 2> environment = {variable.data(), nullptr};
    const int log_file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const auto process = ::fork();
    if (process == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // never outlives the case
        ::dup2(log_file, STDOUT_FILENO);
        ::dup2(log_file, STDERR_FILENO);
        ::execve(program.c_str(), arguments.data(), environment.data());
        ::_exit(could_not_run);
    }
    ::close(log_file);
    if (process < 0)
    {
        throw std::runtime_error("the router cannot be started");
    }
    this->processes[static_cast<std::size_t>(host)] = process;
}

auto fleet::add(const runner_entry& runner) -> void
{
    const std::lock_guard lock(this->mutex);
    this->runners.push_back(runner);
    this->publish(runner);
}

auto fleet::remove(const std::string& id) -> void
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->runners, [&](const runner_entry& runner) { return runner.id == id; });
    this->expiring.emplace_back(id, steady_clock::now() + 3 * heartbeat_interval);
}

auto fleet::publish(const runner_entry& runner) -> void
{
    std::ostringstream out;
    out << R"({"service":")" << runner.service << R"(","address":"127.0.0.1:)" << runner.port
        << R"(","zone":"poa-a","version":"v1","slots":)" << runner.slots
        << R"(,"state":"ready","cold_left_ms":0,"sequence":)" << ++this->sequence << "}";
    this->platform.put("keyed.servers", runner.id, out.str());
}

auto fleet::beat() -> void
{
    auto next = steady_clock::now() + heartbeat_interval;
    while (!this->stopping)
    {
        std::this_thread::sleep_for(milliseconds(50));
        const auto now = steady_clock::now();
        const std::lock_guard lock(this->mutex);
        std::erase_if(this->expiring,
                      [&](const auto& entry)
                      {
                          const auto is_due = now >= entry.second;
                          if (is_due)
                          {
                              this->platform.put("keyed.servers", entry.first, "");
                          }
                          return is_due;
                      });
        if (now < next)
        {
            continue;
        }
        next += heartbeat_interval;
        for (const auto& runner : this->runners)
        {
            this->publish(runner);
        }
    }
}

auto fleet::is_ready(int host) -> bool
{
    auto probe = connect_to(host_address(host), static_cast<std::uint16_t>(this->first_port + 1));
    if (!probe)
    {
        return false;
    }
    probe->send("GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    const auto head = read_head(*probe, milliseconds(1000));
    return head && head->word(1) == "200";
}

auto fleet::wait_ready() -> bool
{
    const auto until = steady_clock::now() + std::chrono::seconds(15);
    for (int host = 0; host < static_cast<int>(this->processes.size()); ++host)
    {
        while (!this->is_ready(host))
        {
            if (steady_clock::now() > until || !this->is_running(host))
            {
                this->log.write("a router did not become ready");
                return false;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    // The registry may have been read before the last entry was written.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    this->log.write("ready");
    return true;
}

auto fleet::connect_caller(int host, socket_options options) -> std::optional<connection>
{
    return connect_to(host_address(host), this->first_port, options);
}

auto fleet::signal(int number, int host) -> void
{
    if (const auto process = this->processes[static_cast<std::size_t>(host)]; process > 0)
    {
        ::kill(process, number);
    }
}

auto fleet::is_running(int host) -> bool
{
    auto& process = this->processes[static_cast<std::size_t>(host)];
    int status = 0;
    if (process > 0 && ::waitpid(process, &status, WNOHANG) == process)
    {
        this->log.write("router " + std::to_string(host + 1) + " has ended, " +
                        (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                             : "exit code " + std::to_string(WEXITSTATUS(status))));
        process = -1;
    }
    return process > 0;
}

auto fleet::peak_memory(int host) -> std::size_t
{
    const auto process = this->processes[static_cast<std::size_t>(host)];
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with("VmHWM:"))
        {
            return std::stoul(line.substr(6)) * 1024;
        }
    }
    return 0;
}

auto request_head(const std::string& method, const route& on, const std::string& id,
                  int deadline_ms, std::optional<std::size_t> body_bytes, const std::string& more)
    -> std::string
{
    auto text = method + " /" + on.name + "/2f HTTP/1.1\r\nHost: " + fleet::host_name +
                "\r\nPoplardrift-Attempt-Id: " + id +
                "\r\nPoplardrift-Deadline-Ms: " + std::to_string(deadline_ms) +
                "\r\nX-Api-Key: " + fleet::api_key + "\r\n" + more;
    if (body_bytes)
    {
        text += "Content-Length: " + std::to_string(*body_bytes) + "\r\n";
    }
    return text + "\r\n";
}

auto success_head(const message& request) -> std::string
{
    return "HTTP/1.1 200 OK\r\nPoplardrift-Attempt-Id: " + request.field("Poplardrift-Attempt-Id") +
           "\r\nPoplardrift-Runner-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

auto has_trouble() -> bool
{
    const auto* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

auto run_case(const char* record_path, int (*run)(record&)) -> void
{
    record log(record_path);
    int code = could_not_run;
    try
    {
        code = run(log);
    }
    catch (const std::exception& error)
    {
        log.write(std::string("the case failed: ") + error.what());
    }
    log.write("exit code " + std::to_string(code));
    std::_Exit(code); // threads of stand-ins may still wait for input
}

} // namespace review
