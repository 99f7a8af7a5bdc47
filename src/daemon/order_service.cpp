#include "daemon/order_service.hpp"

#include "net/clock.hpp"
#include "net/response_check.hpp"
#include "poplardrift/base/json_text.hpp"

namespace poplardrift
{

namespace
{

constexpr const char* lease_stream = "leases";
constexpr duration step_interval = std::chrono::milliseconds(500);
constexpr int http_conflict = 409;

} // namespace

order_service::order_service(const daemon_settings& settings, incarnation_id incarnation,
                             control_service& control, event_log& log)
    : settings(settings), control(control), log(log),
      core({}, make_host_id(settings.host.name), incarnation), client(settings.platform)
{
}

auto order_service::start() -> void
{
    this->timers.subscribe(step_interval, [this] { this->step(); });
}

auto order_service::stop() -> void
{
    this->timers.stop();
}

auto order_service::read_leases() -> void
{
    const auto page = this->client.read(lease_stream, this->next, duration{});
    if (!page)
    {
        return;
    }
    for (const auto& item : page->records)
    {
        this->next = log_offset{item.offset.value() + 1};
        if (const auto record = lease_record_from_json(item.data))
        {
            this->core.on_record(item.offset, item.time, *record);
        }
    }
}

auto order_service::step() -> void
{
    const auto view = this->control.inspect(
        [](const control_core& state)
        {
            return std::pair(state.managed_engines(monotonic_now()),
                             state.declared().limits.concurrent_loads);
        });
    if (this->core.is_busy())
    {
        this->read_leases();
    }
    this->core.set_concurrent_loads(view.second);
    this->core.on_tick(view.first, monotonic_now());
    for (const auto& action : this->core.take_actions())
    {
        this->execute_action(action);
    }
    this->control.post(control_bytes_spent{control_traffic::log, this->client.take_bytes()});
}

auto order_service::execute_action(const order_action& action) -> void
{
    if (const auto* append = std::get_if<append_lease_record>(&action))
    {
        // The result is ignored: reading the stream shows whether the record was appended.
        (void)this->client.append(lease_stream, {to_json(append->record)});
    }
    else if (const auto* hold = std::get_if<suspend_granting>(&action))
    {
        this->control.post(granting_suspended{hold->id, hold->suspended});
    }
    else if (const auto* order = std::get_if<send_order>(&action))
    {
        this->core.on_order_result(order->engine.id, this->send(*order), monotonic_now());
    }
    else if (const auto* item = std::get_if<report_order_event>(&action))
    {
        this->log.write(item->event_data);
    }
}

auto order_service::send(const send_order& order) -> order_result
{
    httplib::Client engine(order.engine.address, order.engine.port);
    engine.set_interface(this->settings.host.address);
    const auto limit = std::chrono::duration_cast<std::chrono::microseconds>(order.timeout / 2);
    engine.set_connection_timeout(limit);
    engine.set_read_timeout(limit);
    const auto body =
        to_json_text({{"model", order.engine.declared_model}, {"fencing", order.fencing.value()}});
    // Checked right before sending: the lease may have expired while the order was prepared.
    if (monotonic_now() >= order.valid_until)
    {
        return order_result::expired;
    }
    const auto answer = engine.Post("/orders", body, "application/json");
    if (!has_valid_response(answer))
    {
        return order_result::lost;
    }
    return answer->status == http_conflict ? order_result::refused
           : answer->status == 200         ? order_result::accepted
                                           : order_result::lost;
}

} // namespace poplardrift
