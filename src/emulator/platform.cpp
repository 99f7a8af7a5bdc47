#include "emulator/platform.hpp"

#include "net/clock.hpp"
#include "net/response_check.hpp"

namespace poplardrift::emulator
{

namespace
{

constexpr const char* platform_zone = "platform";
constexpr std::int64_t longest_wait_ms = 30'000;
constexpr std::size_t most_read = 1000;

} // namespace

platform::platform(const nlohmann::json& settings, world& around, httplib::Server& http)
    : around(around)
{
    this->appends_a_second = settings.value("appends_a_second", this->appends_a_second);
    this->host_lag_ms = settings.value("host_lag_ms", std::int64_t{5000});
    this->retention_ms = settings.value("retention_ms", std::int64_t{3'600'000});
    http.Post(R"(/log/([^/]+)/append)", [this](const auto& request, auto& response)
              { this->handle_append(request, response); });
    http.Get(R"(/log/([^/]+))",
             [this](const auto& request, auto& response) { this->handle_read(request, response); });
    http.Get("/hosts", [this](const auto& request, auto& response)
             { this->handle_hosts(request, response); });
    http.Get(R"(/weights/(.+))", [this](const auto& request, auto& response)
             { this->handle_weights(request, response); });
    this->watcher = std::thread([this] { this->watch_hosts(); });
}

platform::~platform()
{
    this->stopping = true;
    this->watcher.join();
}

auto platform::is_out(const httplib::Request& request, httplib::Response& response) -> bool
{
    if (!this->around.wait_while_cut(request.remote_addr, platform_zone))
    {
        drop_connection(response);
        return true;
    }
    sleep_ms(this->delay_ms.load());
    if (this->log_down)
    {
        reply(response, 503, {{"error", "log is down"}});
        return true;
    }
    return false;
}

auto platform::trim(stream& target) -> void
{
    const auto oldest = wall_clock_ms() - this->retention_ms.load();
    while (!target.records.empty() &&
           (target.records.front().time_ms < oldest ||
            static_cast<std::int64_t>(target.records.size()) > this->most_records))
    {
        target.records.pop_front();
    }
}

auto platform::handle_append(const httplib::Request& request, httplib::Response& response) -> void
{
    if (this->is_out(request, response))
    {
        return;
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("records") || !body["records"].is_array())
    {
        reply(response, 400, {{"error", "records are missing"}});
        return;
    }
    std::uint64_t first = 0;
    const auto now = wall_clock_ms();
    {
        const std::lock_guard lock(this->mutex);
        // The rate of appends is limited; a batch is one append.
        this->appends_in_second = now / 1000 == this->second ? this->appends_in_second + 1 : 1;
        this->second = now / 1000;
        if (this->appends_in_second > this->appends_a_second)
        {
            ++this->refused_appends;
            reply(response, 429, {{"error", "too many appends"}});
            return;
        }
        auto& target = this->streams[request.matches[1]];
        first = target.next;
        for (const auto& data : body["records"])
        {
            target.records.push_back({target.next++, now, data});
        }
        this->trim(target);
    }
    ++this->appends;
    this->appended.notify_all();
    if (random_fraction() < this->lose_answers.load())
    {
        // The records are on the log; the writer does not learn of it.
        drop_connection(response);
        return;
    }
    reply(response, 200, {{"offset", first}, {"time_ms", now}});
}

auto platform::handle_read(const httplib::Request& request, httplib::Response& response) -> void
{
    if (this->is_out(request, response))
    {
        return;
    }
    const auto parameter = [&](const char* name, std::int64_t otherwise)
    {
        return request.has_param(name)
                   ? std::int64_t{std::atoll(request.get_param_value(name).c_str())}
                   : otherwise;
    };
    const auto from = static_cast<std::uint64_t>(std::max<std::int64_t>(1, parameter("from", 1)));
    const auto wait = std::min(parameter("wait_ms", 0), longest_wait_ms);
    const std::string name = request.matches[1];
    std::unique_lock lock(this->mutex);
    this->appended.wait_for(lock, std::chrono::milliseconds(wait),
                            [&]
                            { return this->streams[name].next > from || this->log_down.load(); });
    auto& source = this->streams[name];
    this->trim(source);
    auto records = nlohmann::json::array();
    auto position =
        std::lower_bound(source.records.begin(), source.records.end(), from,
                         [](const auto& item, std::uint64_t key) { return item.offset < key; });
    for (; position != source.records.end() && records.size() < most_read; ++position)
    {
        records.push_back({{"offset", position->offset},
                           {"time_ms", position->time_ms},
                           {"data", position->data}});
    }
    const auto first = source.records.empty() ? source.next : source.records.front().offset;
    reply(response, 200,
          {{"first", first}, {"next", source.next}, {"records", std::move(records)}});
}

auto platform::handle_hosts(const httplib::Request& request, httplib::Response& response) -> void
{
    if (this->is_out(request, response))
    {
        return;
    }
    const auto asker = request.get_param_value("asker");
    auto hosts = nlohmann::json::array();
    const auto now = wall_clock_ms();
    const std::lock_guard lock(this->mutex);
    for (const auto& host : this->around.hosts())
    {
        const auto seen = this->last_healthy_ms.find(host.name);
        if (seen == this->last_healthy_ms.end() || now - seen->second > this->host_lag_ms.load())
        {
            continue;
        }
        const auto link = this->links.find({asker, host.name});
        const auto port = link == this->links.end() ? host.peer_port : link->second;
        hosts.push_back({{"name", host.name},
                         {"zone", host.zone},
                         {"address", host.address},
                         {"peer_port", port},
                         {"http_port", host.http_port},
                         {"state", this->leaving_hosts.contains(host.name) ? "leaving" : "live"}});
    }
    reply(response, 200, {{"hosts", std::move(hosts)}});
}

auto platform::handle_weights(const httplib::Request& request, httplib::Response& response) -> void
{
    {
        const std::lock_guard lock(this->mutex);
        ++this->weight_loads;
    }
    reply(response, 200, {{"model", std::string(request.matches[1])}});
}

auto platform::watch_hosts() -> void
{
    while (!this->stopping)
    {
        for (const auto& host : this->around.hosts())
        {
            httplib::Client probe(host.address, host.http_port);
            probe.set_connection_timeout(0, 300'000);
            probe.set_read_timeout(1);
            const auto answer = probe.Get("/healthz");
            const std::lock_guard lock(this->mutex);
            if (has_valid_response(answer) && answer->status == 200)
            {
                this->last_healthy_ms[host.name] = wall_clock_ms();
            }
        }
        sleep_ms(500);
    }
}

auto platform::set_link(const std::string& asker, const std::string& host, std::uint16_t port)
    -> void
{
    const std::lock_guard lock(this->mutex);
    this->links[{asker, host}] = port;
}

auto platform::set_log_faults(const nlohmann::json& changes) -> void
{
    this->log_down = changes.value("down", this->log_down.load());
    this->delay_ms = changes.value("delay_ms", this->delay_ms.load());
    this->lose_answers = changes.value("lose_answers", this->lose_answers.load());
    this->retention_ms = changes.value("retention_ms", this->retention_ms.load());
    this->appended.notify_all();
    const std::lock_guard lock(this->mutex);
    for (auto& [name, target] : this->streams)
    {
        const auto keep =
            changes.value("trim_to", static_cast<std::int64_t>(target.records.size()));
        while (static_cast<std::int64_t>(target.records.size()) > keep)
        {
            target.records.pop_front();
        }
        // A log restored from a copy lacks its last records, and goes on with later offsets.
        for (auto lost = changes.value("lose_last", 0); lost > 0 && !target.records.empty(); --lost)
        {
            target.records.pop_back();
        }
    }
}

auto platform::set_host_faults(const nlohmann::json& changes) -> void
{
    this->host_lag_ms = changes.value("lag_ms", this->host_lag_ms.load());
    const std::lock_guard lock(this->mutex);
    if (changes.contains("leaving"))
    {
        this->leaving_hosts = changes["leaving"].get<std::set<std::string>>();
    }
}

auto platform::stats() const -> nlohmann::json
{
    const std::lock_guard lock(this->mutex);
    nlohmann::json result = {{"appends", this->appends.load()},
                             {"refused_appends", this->refused_appends.load()},
                             {"weight_loads", this->weight_loads}};
    for (const auto& [name, item] : this->streams)
    {
        result["streams"][name] = {{"next", item.next}, {"kept", item.records.size()}};
    }
    return result;
}

auto platform::reset_stats() -> void
{
    this->appends = 0;
    this->refused_appends = 0;
}

} // namespace poplardrift::emulator
