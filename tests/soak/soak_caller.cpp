#include "soak_caller.hpp"

#include "routing/resend_policy.hpp"
#include "soak_upstream.hpp"

namespace poplardrift::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto response_timeout = 6000ms; ///< longer than the timeout of any route
constexpr auto rejection_backoff = 50ms;
constexpr auto disconnect_delay = 30ms;
constexpr int disconnect_percent = 3;
constexpr int close_percent = 5;
constexpr int revoked_key_percent = 2;
constexpr int fatal_percent = 5; ///< of the streams, while a part is fatal
constexpr std::size_t session_count = 8;

auto format_duration(std::chrono::milliseconds time) -> std::string
{
    return std::to_string(time.count()) + " ms";
}

} // namespace

soak_caller::soak_caller(soak_fleet& fleet, std::uint64_t seed) : fleet(fleet), random(seed)
{
    this->thread = std::thread([this] { this->run(); });
}

soak_caller::~soak_caller()
{
    this->stopping = true;
    this->thread.join();
}

auto soak_caller::draw(std::size_t limit) -> std::size_t
{
    return this->random() % limit;
}

auto soak_caller::run() -> void
{
    while (!this->stopping)
    {
        this->send_request();
    }
}

auto soak_caller::connection_to(std::size_t host) -> persistent_connection*
{
    const auto found = this->connections.find(host);
    if (found != this->connections.end())
    {
        return &found->second;
    }
    const auto started_at = clock::now();
    auto connection = tests::connect_to(this->fleet.get_host(host).get_caller_address());
    if (!connection.is_connected())
    {
        if (this->fleet.get_host(host).was_undisturbed_since(started_at - soak_fleet::startup_time))
        {
            this->fleet.get_tracker().add_finding(
                "an undisturbed host does not accept connections: " +
                this->fleet.get_host(host).get_name());
        }
        std::this_thread::sleep_for(rejection_backoff);
        return nullptr;
    }
    return &this->connections
                .emplace(host, persistent_connection{std::move(connection), clock::now()})
                .first->second;
}

auto soak_caller::send_request() -> void
{
    const auto host = this->draw(this->fleet.count_hosts());
    auto* const connection = this->connection_to(host);
    if (connection == nullptr)
    {
        return;
    }
    if (this->draw(100) < revoked_key_percent)
    {
        this->send_with_revoked_key(host, connection->peer);
        this->connections.erase(host);
        return;
    }
    const auto kind = static_cast<request_kind>(this->draw(request_kind_count));
    const auto id = this->fleet.get_tracker().add_request(kind, host);
    this->uses_permanent_key = this->draw(2) == 0;
    const auto key = this->uses_permanent_key ? std::string(soak_fleet::permanent_key)
                                              : this->fleet.newest_applied_key();
    const auto started_at = clock::now();
    connection->peer.send("POST /" + path_segment(kind) + "/" + id + " HTTP/1.1\r\nHost: " +
                          std::string(soak_fleet::host_name) + "\r\nPoplardrift-Attempt-Id: " + id +
                          "\r\nX-Api-Key: " + key + "\r\n" + this->prompt_fields(kind, id) +
                          "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id);
    if (this->draw(100) < disconnect_percent)
    {
        std::this_thread::sleep_for(disconnect_delay);
        this->connections.erase(host);
        this->fleet.get_tracker().on_caller_left(id);
        this->fleet.get_tracker().count("left");
        return;
    }
    const auto response = connection->peer.read_response(response_timeout);
    this->check_response(id, response, clock::now() - started_at, connection->opened_at);
    const auto closes = response.fields.find("Connection").value_or("") == "close";
    if (!response.is_complete || closes || this->draw(100) < close_percent)
    {
        this->connections.erase(host);
    }
    if (response.status == 503)
    {
        std::this_thread::sleep_for(rejection_backoff);
    }
}

auto soak_caller::prompt_fields(request_kind kind, const std::string& id) -> std::string
{
    if (!is_stream(kind))
    {
        return {};
    }
    auto parts = "c1:800,5" + std::to_string(this->draw(session_count)) + ":400";
    const auto fatal_part = this->fleet.get_fatal_part();
    if (!fatal_part.empty() && this->draw(100) < fatal_percent)
    {
        parts += "," + fatal_part;
    }
    return "Poplardrift-Model: m\r\nPoplardrift-Token-Usage: 1300,80\r\n"
           "Poplardrift-Prompt-Prefix: " +
           parts + "," + std::to_string(std::hash<std::string>{}(id) % 1'000'000) + ":10\r\n";
}

auto soak_caller::send_with_revoked_key(std::size_t host, tests::peer_connection& connection)
    -> void
{
    const auto key = this->fleet.revoked_key();
    if (!key)
    {
        return;
    }
    const auto started_at = clock::now();
    const auto id = this->fleet.get_tracker().add_request(request_kind::idempotent, host);
    connection.send("GET /safe/" + id + " HTTP/1.1\r\nHost: " + std::string(soak_fleet::host_name) +
                    "\r\nPoplardrift-Attempt-Id: " + id + "\r\nX-Api-Key: " + *key + "\r\n\r\n");
    const auto response = connection.read_response(response_timeout);
    if (response.status == 200 && this->fleet.was_in_sync_since(host, started_at))
    {
        this->fleet.get_tracker().add_finding(id + " was served with the revoked key " + *key);
    }
    this->fleet.get_tracker().count("dropped key " + std::to_string(response.status));
}

auto soak_caller::check_response(const std::string& id, const tests::received_response& response,
                                 clock::duration elapsed, clock::time_point opened_at) -> void
{
    auto& tracker = this->fleet.get_tracker();
    const auto record = tracker.find(id);
    const auto& host = this->fleet.get_host(record.host);
    if (host.was_undisturbed_since(record.sent_at) && elapsed > soak_fleet::route_timeout)
    {
        tracker.count("beyond the time-out");
        if (elapsed > soak_fleet::route_timeout + soak_fleet::response_margin)
        {
            tracker.add_finding(
                id + " got a late response, after " +
                format_duration(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)));
        }
    }
    if (!response.is_complete)
    {
        tracker.count("broken");
        this->check_incomplete_response(id, record, opened_at);
        return;
    }
    tracker.count(std::to_string(response.status));
    if (routing::is_promise(response.status))
    {
        tracker.on_reported_not_run(id);
    }
    if (response.status == 200)
    {
        this->check_success(id, record, response);
    }
    else if (response.status == 503 || response.status == 429)
    {
        if (!response.fields.find("Retry-After"))
        {
            tracker.add_finding(id + " was rejected without Retry-After");
        }
    }
    else if (response.status >= 300 && response.status < 500)
    {
        this->check_rejection(id, record, response);
    }
}

auto soak_caller::check_rejection(const std::string& id, const request_record& record,
                                  const tests::received_response& response) -> void
{
    // The permanent key is valid in every configuration, so no host may reject it, even with an
    // outdated configuration.
    if (this->uses_permanent_key || this->fleet.was_in_sync_since(record.host, record.sent_at))
    {
        this->fleet.get_tracker().add_finding(
            id + " got " + std::to_string(response.status) + " from " +
            this->fleet.get_host(record.host).get_name() + ": " + response.body);
    }
}

auto soak_caller::check_success(const std::string& id, const request_record& record,
                                const tests::received_response& response) -> void
{
    std::string expected;
    if (is_stream(record.kind))
    {
        for (auto event = 1; event <= stream_events; ++event)
        {
            expected += event_text(id, event);
        }
    }
    else
    {
        expected = response_body(id);
    }
    if (response.body != expected)
    {
        this->fleet.get_tracker().add_finding(id + " got a wrong body: " + response.body);
    }
    if (!response.fields.find("Poplardrift-Runner-Seal"))
    {
        this->fleet.get_tracker().add_finding(id +
                                              " got a success without Poplardrift-Runner-Seal");
    }
}

auto soak_caller::check_incomplete_response(const std::string& id, const request_record& record,
                                            clock::time_point opened_at) -> void
{
    const auto& host = this->fleet.get_host(record.host);
    const auto stopped_only = host.had_only_planned_stops_since(opened_at);
    const auto was_accepted = record.runs > 0 || host.was_undisturbed_since(record.sent_at) ||
                              host.was_stop_requested_after(record.sent_at);
    const auto may_break =
        is_stream(record.kind) &&
        (record.upstream_failed ||
         !this->fleet.were_links_undisturbed_since(record.sent_at - soak_fleet::resync_time));
    if (stopped_only && was_accepted && !may_break)
    {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - record.sent_at);
        this->fleet.get_tracker().add_finding(id + " got an incomplete response from " +
                                              host.get_name() + " after " + format_duration(age) +
                                              ", runs " + std::to_string(record.runs));
    }
}

} // namespace poplardrift::soak
