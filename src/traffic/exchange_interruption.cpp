// Sends that end with their connection, before the response is complete.

#include "net/clock.hpp"
#include "traffic/exchange.hpp"
#include "traffic/traffic_service.hpp"

#include <array>
#include <cstdio>

namespace poplardrift::traffic
{

namespace
{

/// Most parts of a prompt in one log line.
constexpr std::size_t max_logged_parts = 8;

/// The identifiers of the parts, as in the caller's request, separated by commas.
auto to_text(std::span<const routing::prompt_part> parts) -> std::string
{
    std::string text;
    for (const auto& part : parts.first(std::min(parts.size(), max_logged_parts)))
    {
        std::array<char, 24> id{};
        const auto length = std::snprintf(id.data(), id.size(), "%s%llx", text.empty() ? "" : ",",
                                          static_cast<unsigned long long>(part.id.value()));
        text.append(id.data(), static_cast<std::size_t>(length));
    }
    return text;
}

} // namespace

auto exchange::log_interruption(const char* reason) -> void
{
    const auto now = boot_clock_now();
    const auto& state = *this->upstream;
    const auto output_age =
        this->events_received == 0 ? 0.0 : to_milliseconds(now - this->first_event_at);
    this->service.get_log().write(
        event_code::send_interrupted,
        {{"request", this->metadata.id},
         {"route", this->route->name},
         {"upstream", this->upstream_name.value()},
         {"reason", reason},
         {"sends", this->sends},
         {"sent", this->is_sent},
         {"sent_ms_ago", to_milliseconds(now - this->sent_at)},
         {"events", this->events_received},
         {"output_ms", output_age},
         {"shared_parts",
          this->metadata.prompt ? to_text(this->metadata.prompt->shared_parts()) : std::string()},
         {"in_flight", state.in_flight},
         {"in_flight_elsewhere", state.in_flight_elsewhere},
         {"restart_suspected", state.is_restart_suspected(now)}});
    this->service.count_interruption(this->target_service, this->events_received > 0);
}

} // namespace poplardrift::traffic
