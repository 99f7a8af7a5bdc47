#include "emulator/plain_service.hpp"

namespace poplardrift::emulator
{

auto booking_ledger::book(const std::string& order) -> std::int64_t
{
    const std::lock_guard lock(this->mutex);
    return ++this->executions[order];
}

auto booking_ledger::count(const std::string& order) const -> std::int64_t
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->executions.find(order);
    return found == this->executions.end() ? 0 : found->second;
}

auto booking_ledger::doubled() const -> std::int64_t
{
    const std::lock_guard lock(this->mutex);
    std::int64_t result = 0;
    for (const auto& [order, count] : this->executions)
    {
        result += count > 1 ? 1 : 0;
    }
    return result;
}

auto booking_ledger::size() const -> std::size_t
{
    const std::lock_guard lock(this->mutex);
    return this->executions.size();
}

auto booking_ledger::reset() -> void
{
    const std::lock_guard lock(this->mutex);
    this->executions.clear();
}

plain_service::plain_service(const nlohmann::json& settings, const nlohmann::json& defaults,
                             world& around, booking_ledger& ledger)
    : own_name(settings.at("name")), zone(settings.at("zone")), around(around), ledger(ledger),
      listener(
          {.address = settings.at("address"), .port = settings.at("port"), .idle_seconds = 60}),
      work_ms(defaults.value("service_ms", 20.0))
{
    auto& http = this->listener.server();
    http.Post(".*", [this](const auto& request, auto& response)
              { this->handle(request, response, true); });
    http.Put(".*", [this](const auto& request, auto& response)
             { this->handle(request, response, true); });
    http.Get(".*", [this](const auto& request, auto& response)
             { this->handle(request, response, false); });
}

auto plain_service::handle(const httplib::Request& request, httplib::Response& response, bool books)
    -> void
{
    const auto reachable = this->around.wait_while_cut(request.remote_addr, this->zone);
    while (this->silent)
    {
        sleep_ms(50);
    }
    if (!reachable)
    {
        drop_connection(response);
        return;
    }
    response.set_header("x-request-id", request.get_header_value("x-request-id"));
    if (this->down || random_fraction() < this->refuse.load())
    {
        response.set_header("x-outcome", "not-run");
        reply(response, 503, {{"error", "the service takes no requests now"}});
        return;
    }
    ++this->running;
    if (this->around.is_late_for(this->zone) || this->around.is_late_for(this->own_name))
    {
        this->around.violations().add("taken_out");
    }
    sleep_ms(this->around.latency_ms() * 2 + this->work_ms + this->late_ms.load());
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const auto order = body.is_object() ? body.value("order", "") : std::string();
    std::int64_t executions = 0;
    if (books && !order.empty())
    {
        executions = this->ledger.book(order);
        if (executions > 1)
        {
            this->around.violations().add("doubled");
        }
    }
    ++this->served;
    --this->running;
    if (books && random_fraction() < this->fail_booked.load())
    {
        reply(response, 503, {{"error", "booked, but the answer could not be made"}});
        return;
    }
    if (books && random_fraction() < this->lose_answers.load())
    {
        drop_connection(response);
        return;
    }
    reply(
        response, 200,
        {{"order", order}, {"booked", books}, {"service", this->own_name}, {"path", request.path}});
}

auto plain_service::set_faults(const nlohmann::json& changes) -> void
{
    this->down = changes.value("down", this->down.load());
    this->silent = changes.value("silent", this->silent.load());
    this->leaving = changes.value("leaving", this->leaving.load());
    this->lose_answers = changes.value("lose_answers", this->lose_answers.load());
    this->fail_booked = changes.value("fail_booked", this->fail_booked.load());
    this->refuse = changes.value("refuse", this->refuse.load());
    this->late_ms = changes.value("late_ms", this->late_ms.load());
}

auto plain_service::stats() const -> nlohmann::json
{
    return {{"name", this->own_name},
            {"zone", this->zone},
            {"in_flight", this->running.load()},
            {"served", this->served.load()}};
}

} // namespace poplardrift::emulator
