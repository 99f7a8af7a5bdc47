#include "soak_caller.hpp"

#include "soak_upstream.hpp"

namespace poplardrift::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto patience = 6000ms; ///< beyond each route's time-out
constexpr auto pause_after_refusal = 50ms;
constexpr auto time_before_leaving = 30ms;
constexpr int percent_leaving = 3;
constexpr int percent_closing = 5;
constexpr int percent_dropped_key = 2;

auto to_text(std::chrono::milliseconds time) -> std::string
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

auto soak_caller::draw(std::size_t most) -> std::size_t
{
    return this->random() % most;
}

auto soak_caller::run() -> void
{
    while (!this->stopping)
    {
        this->ask_once();
    }
}

auto soak_caller::connection_to(std::size_t host) -> kept_connection*
{
    const auto found = this->connections.find(host);
    if (found != this->connections.end())
    {
        return &found->second;
    }
    const auto began = clock::now();
    auto connection = tests::connect_to(this->fleet.get_host(host).get_callers());
    if (!connection.is_connected())
    {
        if (this->fleet.get_host(host).was_calm_since(began - soak_fleet::start_time))
        {
            this->fleet.get_book().add_finding("a calm host takes no connection: " +
                                               this->fleet.get_host(host).get_name());
        }
        std::this_thread::sleep_for(pause_after_refusal);
        return nullptr;
    }
    return &this->connections.emplace(host, kept_connection{std::move(connection), clock::now()})
                .first->second;
}

auto soak_caller::ask_once() -> void
{
    const auto host = this->draw(this->fleet.count_hosts());
    auto* const connection = this->connection_to(host);
    if (connection == nullptr)
    {
        return;
    }
    if (this->draw(100) < percent_dropped_key)
    {
        this->ask_with_dropped_key(host, connection->peer);
        this->connections.erase(host);
        return;
    }
    const auto kind = static_cast<request_kind>(this->draw(request_kinds));
    const auto id = this->fleet.get_book().open(kind, host);
    this->uses_lasting_key = this->draw(2) == 0;
    const auto key =
        this->uses_lasting_key ? std::string(soak_fleet::lasting_key) : this->fleet.newest_key();
    const auto began = clock::now();
    connection->peer.send("POST /" + path_word(kind) + "/" + id +
                          " HTTP/1.1\r\nHost: " + std::string(soak_fleet::host_name) +
                          "\r\nPoplardrift-Attempt-Id: " + id + "\r\nX-Api-Key: " + key +
                          "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id);
    if (this->draw(100) < percent_leaving)
    {
        std::this_thread::sleep_for(time_before_leaving);
        this->connections.erase(host);
        this->fleet.get_book().count("left");
        return;
    }
    const auto seen = connection->peer.read_response(patience);
    this->judge(id, seen, clock::now() - began, connection->opened_at);
    const auto closes = seen.fields.find("Connection").value_or("") == "close";
    if (!seen.is_complete || closes || this->draw(100) < percent_closing)
    {
        this->connections.erase(host);
    }
    if (seen.status == 503)
    {
        std::this_thread::sleep_for(pause_after_refusal);
    }
}

auto soak_caller::ask_with_dropped_key(std::size_t host, tests::peer_connection& connection) -> void
{
    const auto key = this->fleet.dropped_key();
    if (!key)
    {
        return;
    }
    const auto began = clock::now();
    const auto id = this->fleet.get_book().open(request_kind::idempotent, host);
    connection.send("GET /safe/" + id + " HTTP/1.1\r\nHost: " + std::string(soak_fleet::host_name) +
                    "\r\nPoplardrift-Attempt-Id: " + id + "\r\nX-Api-Key: " + *key + "\r\n\r\n");
    const auto seen = connection.read_response(patience);
    if (seen.status == 200 && this->fleet.was_in_touch_since(host, began))
    {
        this->fleet.get_book().add_finding(id + " passed with the dropped key " + *key);
    }
    this->fleet.get_book().count("dropped key " + std::to_string(seen.status));
}

auto soak_caller::judge(const std::string& id, const tests::received_response& seen,
                        clock::duration took, clock::time_point opened_at) -> void
{
    auto& book = this->fleet.get_book();
    const auto record = book.find(id);
    const auto& host = this->fleet.get_host(record.host);
    if (host.was_calm_since(record.sent_at) && took > soak_fleet::route_timeout)
    {
        book.count("beyond the time-out");
        if (took > soak_fleet::route_timeout + soak_fleet::answer_slack)
        {
            book.add_finding(id + " was answered late, after " +
                             to_text(std::chrono::duration_cast<std::chrono::milliseconds>(took)));
        }
    }
    if (!seen.is_complete)
    {
        book.count("broken");
        this->judge_broken(id, record, opened_at);
        return;
    }
    book.count(std::to_string(seen.status));
    if (seen.status == 200)
    {
        this->judge_success(id, record, seen);
    }
    else if (seen.status == 503 || seen.status == 429)
    {
        book.on_promised_not_run(id);
        if (!seen.fields.find("Retry-After"))
        {
            book.add_finding(id + " was refused without a time to come back");
        }
    }
    else if (seen.status >= 300 && seen.status < 500)
    {
        this->judge_refusal(id, record, seen);
    }
}

auto soak_caller::judge_refusal(const std::string& id, const request_record& record,
                                const tests::received_response& seen) -> void
{
    // What every configuration allows may be refused by no host, whatever it knows.
    if (this->uses_lasting_key || this->fleet.was_in_touch_since(record.host, record.sent_at))
    {
        this->fleet.get_book().add_finding(id + " got " + std::to_string(seen.status) + " from " +
                                           this->fleet.get_host(record.host).get_name() + ": " +
                                           seen.body);
    }
}

auto soak_caller::judge_success(const std::string& id, const request_record& record,
                                const tests::received_response& seen) -> void
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
        expected = whole_body(id);
    }
    if (seen.body != expected)
    {
        this->fleet.get_book().add_finding(id + " got a wrong body: " + seen.body);
    }
    if (!seen.fields.find("Poplardrift-Runner-Seal"))
    {
        this->fleet.get_book().add_finding(id + " got a success without the upstream's mark");
    }
}

auto soak_caller::judge_broken(const std::string& id, const request_record& record,
                               clock::time_point opened_at) -> void
{
    const auto& host = this->fleet.get_host(record.host);
    const auto stopped_only = host.only_stopped_since(opened_at);
    const auto was_passed_on = record.runs > 0 || host.was_calm_since(record.sent_at) ||
                               host.was_stopped_after(record.sent_at);
    const auto may_break =
        is_stream(record.kind) &&
        (record.upstream_failed ||
         !this->fleet.were_links_calm_since(record.sent_at - soak_fleet::contact_time));
    if (stopped_only && was_passed_on && !may_break)
    {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - record.sent_at);
        this->fleet.get_book().add_finding(id + " was cut off at " + host.get_name() + " after " +
                                           to_text(age) + ", runs " + std::to_string(record.runs));
    }
}

} // namespace poplardrift::soak
