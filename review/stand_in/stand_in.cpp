#include "stand_in.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace review
{

namespace
{

const auto started_at = steady::now();

auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

auto socket_address(const std::string& ip, int port) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

/// Waits for an event on a socket; false when the time is up.
auto wait_for(int socket, short events, steady::time_point limit) -> bool
{
    while (true)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(limit - steady::now()).count();
        if (left < 0)
        {
            return false;
        }
        pollfd item{socket, events, 0};
        const auto count = ::poll(&item, 1, static_cast<int>(std::min<long>(left + 1, 1000)));
        if (count > 0)
        {
            return true;
        }
        if (count < 0 && errno != EINTR)
        {
            return false;
        }
    }
}

auto parse_head(const std::string& text) -> message
{
    message result;
    std::size_t at = 0;
    while (at < text.size())
    {
        const auto end = std::min(text.find("\r\n", at), text.size());
        const auto line = text.substr(at, end - at);
        at = end + 2;
        if (result.start_line.empty())
        {
            result.start_line = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos)
        {
            const auto value = line.find_first_not_of(' ', colon + 1);
            result.fields[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
    }
    return result;
}

auto query_value(const std::string& target, const std::string& name) -> std::string
{
    auto at = target.find('?');
    while (at != std::string::npos)
    {
        const auto end = std::min(target.find('&', at + 1), target.size());
        const auto item = target.substr(at + 1, end - at - 1);
        if (item.rfind(name + "=", 0) == 0)
        {
            std::string value;
            for (std::size_t index = name.size() + 1; index < item.size(); ++index)
            {
                if (item[index] == '%' && index + 2 < item.size())
                {
                    value.push_back(
                        static_cast<char>(std::stoi(item.substr(index + 1, 2), nullptr, 16)));
                    index += 2;
                    continue;
                }
                value.push_back(item[index]);
            }
            return value;
        }
        at = end == target.size() ? std::string::npos : end;
    }
    return {};
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

/// A key as a JSON string. Bytes that are not ASCII become the replacement character.
auto to_json_text(const std::string& key) -> std::string
{
    std::string text;
    for (const auto letter : key)
    {
        const auto byte = static_cast<unsigned char>(letter);
        text += byte >= 0x80 || byte < 0x20       ? "\\ufffd"
                : letter == '"' || letter == '\\' ? std::string("\\") + letter
                                                  : std::string(1, letter);
    }
    return "\"" + text + "\"";
}

auto to_base64(const std::string& bytes) -> std::string
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
        {
            group =
                group << 8U |
                (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit)
        {
            text.push_back(at + digit > bytes.size() ? '='
                                                     : digits[group >> (18U - 6U * digit) & 63U]);
        }
    }
    return text;
}

} // namespace

auto now_s() -> double
{
    return std::chrono::duration<double>(steady::now() - started_at).count();
}

auto unix_ms() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto sleep_until_s(double moment) -> void
{
    std::this_thread::sleep_until(started_at + std::chrono::duration_cast<steady::duration>(
                                                   std::chrono::duration<double>(moment)));
}

recorder::recorder(const std::string& path) : file(std::fopen(path.c_str(), "w"))
{
}

recorder::~recorder()
{
    if (this->file != nullptr)
    {
        std::fclose(this->file);
    }
}

auto recorder::line(const std::string& text) -> void
{
    const std::lock_guard lock(this->mutex);
    if (this->file != nullptr)
    {
        std::fprintf(this->file, "%9.3f %s\n", now_s(), text.c_str());
        std::fflush(this->file);
    }
}

auto message::field(const std::string& name) const -> std::string
{
    const auto found = this->fields.find(lower(name));
    return found == this->fields.end() ? "" : found->second;
}

auto message::method() const -> std::string
{
    return this->start_line.substr(0, this->start_line.find(' '));
}

auto message::target() const -> std::string
{
    const auto begin = this->start_line.find(' ') + 1;
    return this->start_line.substr(begin, this->start_line.find(' ', begin) - begin);
}

connection::~connection()
{
    ::close(this->socket);
}

auto connection::send(std::string_view bytes) -> bool
{
    while (!bytes.empty())
    {
        const auto count = ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

auto connection::read_more(steady::time_point limit) -> bool
{
    char bytes[16384];
    if (!wait_for(this->socket, POLLIN, limit))
    {
        return false;
    }
    const auto count = ::recv(this->socket, bytes, sizeof bytes, 0);
    if (count <= 0)
    {
        this->ended = true;
        this->was_reset = count < 0;
        return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

auto connection::read_head(steady::time_point limit) -> std::optional<message>
{
    while (true)
    {
        const auto end = this->buffer.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            auto head = parse_head(this->buffer.substr(0, end));
            this->buffer.erase(0, end + 4);
            return head;
        }
        if (!this->read_more(limit))
        {
            return std::nullopt;
        }
    }
}

auto connection::read_request() -> std::optional<message>
{
    const auto limit = steady::now() + 300s;
    auto request = this->read_head(limit);
    if (!request)
    {
        return std::nullopt;
    }
    const auto length_text = request->field("Content-Length");
    const auto length = length_text.empty() ? 0 : std::stoul(length_text);
    while (this->buffer.size() < length)
    {
        if (!this->read_more(limit))
        {
            return std::nullopt;
        }
    }
    request->body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return request;
}

auto connection::is_closed_by_peer() const -> bool
{
    char byte = 0;
    const auto count = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

auto connection::abort() -> void
{
    const linger at_once{1, 0};
    ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::shutdown(this->socket, SHUT_RD);
    // Dissolves the association, which sends a reset at once.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    ::connect(this->socket, &none, sizeof none);
}

auto address::text() const -> std::string
{
    return this->ip + ":" + std::to_string(this->port);
}

auto connect_to(const address& to, milliseconds limit) -> std::unique_ptr<connection>
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto peer = socket_address(to.ip, to.port);
    auto result = std::make_unique<connection>(socket);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0 &&
        errno != EINPROGRESS)
    {
        return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof error;
    if (!wait_for(socket, POLLOUT, steady::now() + limit) ||
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
        return nullptr;
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return result;
}

server::server(const std::string& ip, int port, handler handle) : handle(std::move(handle))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto own_address = socket_address(ip, port);
    socklen_t size = sizeof own_address;
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&own_address), size) != 0 ||
        ::listen(this->listener, 1024) != 0 ||
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&own_address), &size) != 0)
    {
        std::perror("stand-in: cannot listen");
        std::_Exit(2);
    }
    this->own = {ip, ntohs(own_address.sin_port)};
    this->acceptor = std::thread([this] { this->accept_all(); });
}

server::~server()
{
    this->stop();
}

auto server::accept_all() -> void
{
    while (!this->stopping)
    {
        if (!wait_for(this->listener, POLLIN, steady::now() + 50ms))
        {
            continue;
        }
        const auto socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto peer = std::make_shared<connection>(socket);
        {
            const std::lock_guard lock(this->mutex);
            this->open.insert(peer);
        }
        ++this->running;
        std::thread(
            [this, peer]
            {
                while (auto request = peer->read_request())
                {
                    if (this->stopping || !this->handle(*peer, *request))
                    {
                        break;
                    }
                }
                {
                    const std::lock_guard lock(this->mutex);
                    this->open.erase(peer);
                }
                --this->running;
            })
            .detach();
    }
}

auto server::stop() -> void
{
    if (this->stopping.exchange(true))
    {
        return;
    }
    this->acceptor.join();
    ::close(this->listener);
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& peer : this->open)
        {
            peer->abort();
        }
    }
    while (this->running > 0)
    {
        std::this_thread::sleep_for(1ms);
    }
}

store::store(const std::string& ip)
    : listener(std::make_unique<server>(ip, 0,
                                        [this](connection& peer, const message& request)
                                        { return this->serve(peer, request); }))
{
}

auto store::add(topic& target, const std::string& name, const std::string& content) -> void
{
    const auto offset = target.records.size();
    target.records.push_back({content});
    if (name.rfind("keyed.", 0) == 0 && !content.empty())
    {
        const auto key_size = static_cast<std::size_t>(static_cast<unsigned char>(content[0]));
        const auto key = content.substr(1, key_size);
        target.newest.erase(key);
        if (content.size() > 1 + key_size)
        {
            target.newest[key] = {content.substr(1 + key_size), offset};
        }
    }
}

auto store::put(const std::string& topic_name, const std::string& key,
                const std::optional<std::string>& value) -> void
{
    const std::lock_guard lock(this->mutex);
    this->add(this->topics[topic_name], topic_name,
              std::string(1, static_cast<char>(key.size())) + key + value.value_or(""));
    this->changed.notify_all();
}

auto store::newest(const std::string& topic_name, const std::string& key)
    -> std::optional<std::string>
{
    const std::lock_guard lock(this->mutex);
    const auto& entries = this->topics[topic_name].newest;
    const auto found = entries.find(key);
    return found == entries.end() ? std::nullopt : std::optional(found->second.value);
}

auto store::append(const message& request) -> std::string
{
    const std::lock_guard lock(this->mutex);
    const auto name = query_value(request.target(), "topic");
    auto& target = this->topics[name];
    const auto offset = target.records.size();
    const auto& body = request.body;
    for (std::size_t at = 0; at + 4 <= body.size();)
    {
        std::size_t size = 0;
        for (std::size_t index = 0; index < 4; ++index)
        {
            size = size << 8U | static_cast<unsigned char>(body[at + index]);
        }
        this->add(target, name, body.substr(at + 4, size));
        at += 4 + size;
    }
    this->changed.notify_all();
    return make_response("200 OK", "Content-Type: application/json\r\n",
                         "{\"offset\":" + std::to_string(offset) +
                             ",\"end_offset\":" + std::to_string(target.records.size()) + "}");
}

auto store::read(const message& request) -> std::string
{
    std::unique_lock lock(this->mutex);
    auto& target = this->topics[query_value(request.target(), "topic")];
    const auto from = std::stoull("0" + query_value(request.target(), "from"));
    const auto wait_ms = std::stoull("0" + query_value(request.target(), "wait_ms"));
    this->changed.wait_for(lock, milliseconds(wait_ms),
                           [&] { return from < target.records.size(); });
    constexpr std::size_t max_bytes = 1'000'000;
    auto body = big_endian(target.records.size(), 8) + big_endian(0, 8);
    for (auto offset = from; offset < target.records.size() && body.size() < max_bytes; ++offset)
    {
        const auto& content = target.records[offset].content;
        body += big_endian(content.size(), 4) + content;
    }
    return make_response("200 OK", "Content-Type: application/octet-stream\r\n", body);
}

auto store::list(const message& request) -> std::string
{
    const std::lock_guard lock(this->mutex);
    auto& target = this->topics[query_value(request.target(), "topic")];
    const auto after = query_value(request.target(), "after");
    constexpr std::size_t page_size = 500;
    std::string items;
    std::size_t count = 0;
    auto next = after.empty() ? target.newest.begin() : target.newest.upper_bound(after);
    for (; next != target.newest.end() && count < page_size; ++next, ++count)
    {
        items += (items.empty() ? "" : ",") + std::string("{\"key\":") + to_json_text(next->first) +
                 ",\"value\":\"" + to_base64(next->second.value) +
                 "\",\"offset\":" + std::to_string(next->second.offset) + "}";
    }
    return make_response("200 OK", "Content-Type: application/json\r\n",
                         "{\"items\":[" + items +
                             "],\"has_more\":" + (next == target.newest.end() ? "false" : "true") +
                             ",\"end_offset\":" + std::to_string(target.records.size()) + "}");
}

auto store::serve(connection& peer, const message& request) -> bool
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    if (path == "/-/log-append")
    {
        return peer.send(this->append(request));
    }
    if (path == "/-/log-read")
    {
        return peer.send(this->read(request));
    }
    if (path == "/-/log-newest")
    {
        return peer.send(this->list(request));
    }
    return peer.send(make_response("404 Not Found", "", ""));
}

router::router(std::string folder, std::string name, std::string ip, std::string zone)
    : folder(std::move(folder)), name(std::move(name)), ip(std::move(ip)), zone(std::move(zone))
{
}

router::~router()
{
    this->kill();
}

auto router::write_settings(const ports& own_ports, const address& store_address,
                            const std::vector<std::string>& seeds) -> void
{
    this->on = own_ports;
    std::string seed_list;
    for (const auto& seed : seeds)
    {
        seed_list += (seed_list.empty() ? "" : ",") + address{seed, own_ports.control}.text();
    }
    std::ofstream(this->folder + "/" + this->name + ".settings")
        << "node_name=" << this->name << "\nrole=router\nmachine_class=edge\nserves=edge,control\n"
        << "ip=" << this->ip << "\nzone=" << this->zone << "\nregion=r\n"
        << "zones.z-a=r\nzones.z-b=r\n"
        << "listen.frontend=" << address{this->ip, own_ports.callers}.text() << "\n"
        << "listen.ready=" << address{this->ip, own_ports.ready}.text() << "\n"
        << "listen.control=" << address{this->ip, own_ports.control}.text() << "\n"
        << "port_range=" << own_ports.range << "," << own_ports.range + 15 << "\n"
        << "seeds=" << seed_list << "\nbootstrap=true\nfault_counted=false\n"
        << "limits.cpu_share=0.75\nlimits.cores=1\nlimits.memory_mb=" << this->memory_mb
        << "\nlimits.max_fds=" << this->descriptors << "\n"
        << "limits.link_mbps=3000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n"
        << "heartbeat_ms=1200\n"
        << "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform\n"
        << "tolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\n"
        << "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\n"
        << "bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
        << "bounds.loss_slack_ms=200\nbounds.config_ms=2000\nbounds.downgrade_ms=250\n"
        << "bounds.partition_ms=5000\nbounds.revoke_strict=false\nbounds.revoke_ms=5000\n"
        << "bounds.retry_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=56\n"
        << "bounds.cold_multiplier=1.5\nbounds.cold_start_slack=5\nbounds.evacuate_ms=5000\n"
        << "bounds.recover_s=12\nbounds.event_lag_ms=120\nbounds.retry_after_s=10\n"
        << "bounds.cap_factor=2\nplatform.address=" << store_address.text()
        << "\nplatform.form=log\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
        << "platform.parts=12\nplatform.append_ms=2.0\nplatform.part_mb_per_s=20.0\n"
        << "platform.read_mb_per_s=80.0\nplatform.record_bytes=262144\n"
        << "platform.call_bytes=2097152\nplatform.keep_s=300\nplatform.part_mb=200\n"
        << "platform.ttl_min_ms=1000\n";
}

auto router::start() -> void
{
    const auto boot = "POPLARDRIFT_BOOT=" + this->folder + "/" + this->name + ".settings";
    const auto log = this->folder + "/" + this->name + ".log";
    std::string program = "target/bin/poplardrift-router"; // of deploy/system.toml
    std::vector<std::string> variables = {boot, "PATH=/usr/bin:/bin"};
    std::vector<char*> variable_pointers;
    for (auto& variable : variables)
    {
        variable_pointers.push_back(variable.data());
    }
    variable_pointers.push_back(nullptr);
    char* arguments[] = {program.data(), nullptr};
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const auto error = ::posix_spawn(&this->process, program.c_str(), &files, nullptr, arguments,
                                     variable_pointers.data());
    ::posix_spawn_file_actions_destroy(&files);
    if (error != 0)
    {
        std::fprintf(stderr, "cannot start %s; build it by the deploy file\n", program.c_str());
        std::_Exit(2);
    }
}

auto router::send_signal(int signal) const -> void
{
    if (this->process > 0)
    {
        ::kill(this->process, signal);
    }
}

auto router::used_mb() const -> int
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
    long all = 0;
    long resident = 0;
    file >> all >> resident;
    return static_cast<int>(resident * ::sysconf(_SC_PAGESIZE) / 1'000'000);
}

auto router::kill() -> void
{
    if (this->process > 0)
    {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

auto router::has_ended() -> bool
{
    int status = 0;
    if (this->process > 0 && ::waitpid(this->process, &status, WNOHANG) == this->process)
    {
        this->process = -1;
    }
    return this->process <= 0;
}

auto router::readiness() const -> int
{
    return call({this->ip, this->on.ready},
                "GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 1000ms)
        .status;
}

auto find_block() -> std::string
{
    std::mt19937 random(std::random_device{}());
    return "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
}

auto find_ports(const std::vector<std::string>& ips) -> router::ports
{
    std::mt19937 random(std::random_device{}());
    const auto is_free = [&](int port)
    {
        return std::all_of(ips.begin(), ips.end(),
                           [&](const std::string& ip)
                           {
                               const auto own = socket_address(ip, port);
                               const auto* const generic = reinterpret_cast<const sockaddr*>(&own);
                               const auto stream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                               const auto packets = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
                               const auto free = ::bind(stream, generic, sizeof own) == 0 &&
                                                 ::bind(packets, generic, sizeof own) == 0;
                               ::close(stream);
                               ::close(packets);
                               return free;
                           });
    };
    constexpr int ports_needed = 19;
    while (true)
    {
        const auto first = 10'000 + static_cast<int>(random() % 20'000);
        bool all_free = true;
        for (int offset = 0; offset < ports_needed && all_free; ++offset)
        {
            all_free = is_free(first + offset);
        }
        if (all_free)
        {
            return {first, first + 1, first + 2, first + 3};
        }
    }
}

auto call(const address& to, const std::string& request, milliseconds limit) -> answer
{
    answer result;
    result.sent_s = now_s();
    const auto end = steady::now() + limit;
    const auto peer = connect_to(to, std::min<milliseconds>(limit, 1000ms));
    if (!peer)
    {
        result.refused = true;
        result.ended_s = now_s();
        return result;
    }
    static_cast<void>(peer->send(request));
    auto head = peer->read_head(end);
    if (head && head->start_line.size() > 12)
    {
        result.status = std::atoi(head->start_line.substr(9, 3).c_str());
        result.head = *head;
        if (lower(head->field("Transfer-Encoding")) == "chunked")
        {
            while (true)
            {
                const auto line_end = peer->buffer.find("\r\n");
                if (line_end == std::string::npos)
                {
                    if (!peer->read_more(end))
                    {
                        break;
                    }
                    continue;
                }
                const auto size = std::stoul("0" + peer->buffer.substr(0, line_end), nullptr, 16);
                if (peer->buffer.size() < line_end + 2 + size + 2)
                {
                    if (!peer->read_more(end))
                    {
                        break;
                    }
                    continue;
                }
                result.body += peer->buffer.substr(line_end + 2, size);
                peer->buffer.erase(0, line_end + 2 + size + 2);
                if (size == 0)
                {
                    result.complete = true;
                    break;
                }
            }
        }
        else
        {
            const auto length = std::stoul("0" + head->field("Content-Length"));
            while (peer->buffer.size() < length && peer->read_more(end))
            {
            }
            result.body = peer->buffer.substr(0, length);
            result.complete = result.body.size() == length;
        }
    }
    result.ended_s = now_s();
    return result;
}

runner::runner(store& registry, std::string ip, std::string service, std::string zone, handler run)
    : registry(registry), ip(std::move(ip)), service(std::move(service)), zone(std::move(zone)),
      run(std::move(run))
{
    this->open();
    this->thread = std::thread([this] { this->work(); });
}

runner::~runner()
{
    this->stop();
}

auto runner::stop() -> void
{
    {
        const std::lock_guard lock(this->mutex);
        this->ending = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
    {
        this->thread.join();
    }
    this->listener.reset();
}

auto runner::open() -> void
{
    {
        const std::lock_guard lock(this->mutex);
        this->id = "i-" + fresh_id().substr(0, 8);
        this->born = unix_ms();
        this->sequence = 1;
    }
    this->listener = std::make_unique<server>(this->ip, 0,
                                              [this](connection& peer, const message& request)
                                              { return this->serve(peer, request); });
    this->up = true;
    this->write_entry();
}

auto runner::get_id() -> std::string
{
    const std::lock_guard lock(this->mutex);
    return this->id;
}

auto runner::write_entry() -> void
{
    const std::lock_guard lock(this->mutex);
    this->registry.put("keyed.servers", this->id,
                       "{\"service\":\"" + this->service + "\",\"address\":\"" +
                           this->listener->get_address().text() + "\",\"zone\":\"" + this->zone +
                           "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                           "\"cold_left_ms\":0,\"born\":" +
                           std::to_string(this->born) +
                           ",\"sequence\":" + std::to_string(this->sequence++) + "}");
}

auto runner::crash(milliseconds down) -> void
{
    this->up = false;
    {
        const std::lock_guard lock(this->mutex);
        this->crash_for = down;
    }
    this->wake.notify_all();
}

auto runner::serve(connection& peer, const message& request) -> bool
{
    if (request.field("Poplardrift-Expect-Runner") != this->get_id())
    {
        return peer.send(
            make_response("421 Misdirected Request",
                          "Poplardrift-Attempt-Id: " + request.field("Poplardrift-Attempt-Id") +
                              "\r\nPoplardrift-Runner-Id: " + this->get_id() + "\r\n",
                          ""));
    }
    return this->up && this->run(*this, peer, request);
}

auto runner::work() -> void
{
    constexpr auto heartbeat = 1200ms;
    auto next_heartbeat = steady::now() + heartbeat;
    std::unique_lock lock(this->mutex);
    while (!this->ending)
    {
        this->wake.wait_for(lock, 100ms, [this] { return this->ending || this->crash_for; });
        const auto now = steady::now();
        for (auto item = this->silent.begin(); item != this->silent.end();)
        {
            if (now < item->second)
            {
                ++item;
                continue;
            }
            this->registry.put("keyed.servers", item->first, std::nullopt);
            item = this->silent.erase(item);
        }
        if (this->crash_for)
        {
            const auto back_at = now + *this->crash_for;
            // The store removes an entry after three intervals of silence.
            this->silent.emplace_back(this->id, now + 3 * heartbeat);
            lock.unlock();
            this->listener->stop();
            std::this_thread::sleep_until(back_at);
            this->open();
            lock.lock();
            this->crash_for.reset();
            next_heartbeat = steady::now() + heartbeat;
        }
        if (now >= next_heartbeat)
        {
            lock.unlock();
            this->write_entry();
            lock.lock();
            next_heartbeat += heartbeat;
        }
    }
}

auto configuration_text(int version) -> std::string
{
    const auto route = [](const std::string& name, const std::string& kind, int timeout_ms,
                          int slo_ms, const std::string& service, int attempts, bool resumable)
    {
        return "{\"name\":\"" + name + "\",\"hostname\":\"h.example\",\"path_prefix\":\"/" + name +
               "/\",\"route_kind\":\"" + kind + "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
               ",\"slo_ms\":" + std::to_string(slo_ms) + ",\"priority\":0,\"service\":\"" +
               service + "\",\"max_attempts\":" + std::to_string(attempts) +
               ",\"anonymous\":false,\"sticky\":" +
               (kind == "streaming" ? "true,\"itl_target_ms\":300" : "false") +
               ",\"resumable\":" + (resumable ? "true" : "false") + "}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
           route("resumable", "streaming", 12'000, 600, "llm", 2, true) + "," +
           route("once", "streaming", 10'000, 300, "llm", 1, false) + "," +
           route("read", "idempotent", 800, 150, "app", 2, false) + "," +
           route("write", "non_idempotent", 800, 150, "app", 1, false) +
           "],\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":370,"
           "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":18.0,"
           "\"engine\":{\"slots\":64,\"kv_capacity\":624037,\"kv_bytes\":327680,"
           "\"link_mbps\":550000.0,\"stride\":8,\"most\":2,\"models\":[{\"name\":\"m\"}]}},"
           "{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":110,"
           "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
           "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

auto request_text(const std::string& method, const std::string& path, const std::string& id,
                  int deadline_ms, const std::string& prompt) -> std::string
{
    auto text = method + " " + path +
                " HTTP/1.1\r\nHost: h.example\r\nPoplardrift-Attempt-Id: " + id +
                "\r\nPoplardrift-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (!prompt.empty())
    {
        text += "Poplardrift-Model: m\r\nPoplardrift-Token-Usage: 1500,80\r\n"
                "Poplardrift-Prompt-Prefix: " +
                prompt + "\r\n";
    }
    const std::string body = method == "POST" ? "{}" : "";
    return text + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

auto answer_fields(const message& request) -> std::string
{
    return "Poplardrift-Attempt-Id: " + request.field("Poplardrift-Attempt-Id") +
           "\r\nPoplardrift-Runner-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

auto event_text(int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

auto chunk(std::string_view bytes) -> std::string
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + std::string(bytes) + "\r\n";
}

auto make_response(const std::string& status, const std::string& fields, const std::string& body)
    -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto fresh_id() -> std::string
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

auto has_trouble() -> bool
{
    const auto* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
