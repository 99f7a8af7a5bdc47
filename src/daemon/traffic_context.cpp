#include "daemon/traffic_context.hpp"

#include "daemon/forwarding.hpp"
#include "net/clock.hpp"

#include <charconv>

namespace poplardrift
{

namespace
{

/// Minimum time between two reports that the same upstream may be cold.
constexpr duration min_cold_report_interval = std::chrono::milliseconds(500);
/// Loads of other hosts are not relayed when they are older than this.
constexpr auto max_relayed_load_age = std::chrono::milliseconds(1000);

} // namespace

traffic_context::traffic_context(const daemon_settings& settings, admission_service& admission,
                                 control_service& control, transaction_service& transactions,
                                 event_log& log, metrics& process_metrics)
    : settings(settings), admission(admission), control(control), transactions(transactions),
      log(log), process_metrics(process_metrics), upstreams(settings.host.address)
{
}

auto traffic_context::on_upstream_result(const upstream_view& upstream, bool succeeded) -> void
{
    if (this->admission.on_result(upstream.id, succeeded))
    {
        this->control.post(upstream_fault_detected{upstream.id, upstream_state::ejected});
        this->control.wake();
    }
}

auto traffic_context::on_suspected_cold_upstream(const upstream_view& upstream) -> void
{
    {
        const std::lock_guard lock(this->mutex);
        auto& last = this->last_cold_report[upstream.id];
        const auto now = monotonic_now();
        if (now - last < min_cold_report_interval)
        {
            return;
        }
        last = now;
    }
    this->control.post(upstream_fault_detected{upstream.id, upstream_state::cold});
    this->control.wake();
}

auto traffic_context::make_load_header(const caller_request& caller) -> std::string
{
    const auto pool = caller.view->pools[caller.route->pool.value()].id;
    const auto now = monotonic_now();
    std::vector<relayed_load> items{{make_host_id(this->settings.host.name), {pool, 0, 0}, 0}};
    {
        auto access = this->admission.access();
        for (const auto& load : access->loads())
        {
            items.front().load = load.pool == pool ? load : items.front().load;
        }
    }
    for (const auto& known : *this->control.loads())
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.at);
        if (known.load.pool == pool && age < max_relayed_load_age)
        {
            items.push_back({known.host, known.load,
                             static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0))});
        }
    }
    return format_loads(items);
}

auto traffic_context::on_load_header(const std::string& text) -> void
{
    for (const auto& item : parse_loads(text))
    {
        this->control.post(
            peer_load_received{item.host, item.load, std::chrono::milliseconds(item.age_ms)});
    }
}

auto traffic_context::make_free_slots_header(upstream_id upstream) -> std::string
{
    auto access = this->admission.access();
    return std::to_string(access->free_slots(upstream, monotonic_now()));
}

auto traffic_context::on_free_slots_header(upstream_id upstream, const std::string& text) -> void
{
    std::uint32_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec == std::errc{} && !text.empty())
    {
        this->admission.access()->on_free_slots(upstream, value);
    }
}

auto traffic_context::find_host_address(host_id id, std::string& address, std::uint16_t& port)
    -> bool
{
    const auto directory = this->control.directory();
    const auto found = directory->hosts.find(id);
    if (found == directory->hosts.end())
    {
        return false;
    }
    address = found->second.where.address;
    port = found->second.where.http_port;
    return !address.empty();
}

auto traffic_context::on_request(double retry_ratio) -> void
{
    const std::lock_guard lock(this->mutex);
    this->retries.set_retry_ratio(retry_ratio);
    this->retries.on_request();
}

auto traffic_context::take_retry() -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->retries.take();
}

} // namespace poplardrift
