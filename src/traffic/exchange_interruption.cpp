// Sends that end with their connection, and prompts that may be the cause of it.

#include "net/clock.hpp"
#include "traffic/exchange.hpp"
#include "traffic/traffic_service.hpp"

#include <algorithm>

namespace poplardrift::traffic
{

namespace
{

using namespace std::chrono_literals;

/// Time from the first event after which further output proves a prompt harmless: an engine that
/// ends as it begins to write may still have sent something.
constexpr duration proof_time = 100ms;
/// Most parts of a prompt in one log line.
constexpr std::size_t max_logged_parts = 8;

/// The identifiers of the parts, as in the caller's request, separated by commas.
auto join(std::span<const routing::prompt_part> parts) -> std::string
{
    std::string text;
    for (const auto& part : parts.first(std::min(parts.size(), max_logged_parts)))
    {
        text.append(text.empty() ? "" : ",").append(to_text(part.id));
    }
    return text;
}

} // namespace

auto exchange::judged_prompt() const -> routing::judged_prompt
{
    return this->metadata.prompt ? this->metadata.prompt->judged() : routing::judged_prompt{};
}

auto exchange::record_interruption(const char* reason, bool upstream_ended) -> void
{
    const auto now = boot_clock_now();
    const auto& state = *this->upstream;
    const auto prompt = this->judged_prompt();
    const auto output_age =
        this->events_received == 0 ? 0 : to_milliseconds(now - this->first_event_at);
    this->service.get_log().write(event_code::send_interrupted,
                                  {{"request", this->metadata.id},
                                   {"route", this->route->name},
                                   {"upstream", this->upstream_name.value()},
                                   {"reason", reason},
                                   {"sends", this->sends},
                                   {"sent", this->is_sent},
                                   {"sent_ms_ago", to_milliseconds(now - this->sent_at)},
                                   {"events", this->events_received},
                                   {"output_ms", output_age},
                                   {"shared_parts", join(prompt.shared)},
                                   {"prompt", prompt.whole ? to_text(*prompt.whole) : ""},
                                   {"in_flight", state.in_flight},
                                   {"in_flight_elsewhere", state.in_flight_elsewhere},
                                   {"restart_suspected", state.is_restart_suspected(now)}});
    this->service.count_interruption(this->target_service, this->events_received > 0);
    if (!upstream_ended || !this->is_sent || !this->metadata.prompt)
    {
        return;
    }
    auto& quarantine = this->service.get_quarantine();
    const quarantine::upstream_instance instance(state.instance);
    if (this->is_proved_harmless)
    {
        quarantine.on_upstream_ended(instance, now);
        return;
    }
    ++this->interruptions;
    quarantine.on_interrupted(
        prompt, instance,
        quarantine::request_key(static_cast<std::uint32_t>(hash_bytes_64(this->metadata.id))), now);
}

auto exchange::record_progress(time_point now) -> void
{
    if (!this->is_proved_harmless && now - this->first_event_at >= proof_time)
    {
        this->mark_harmless(this->first_event_at, now);
    }
}

auto exchange::mark_harmless(time_point began_at, time_point now) -> void
{
    if (!std::exchange(this->is_proved_harmless, true) && this->metadata.prompt)
    {
        this->service.get_quarantine().on_harmless(this->judged_prompt(), began_at, now);
    }
}

auto exchange::refuse_quarantined(const std::optional<quarantine::quarantine_refusal>& refusal)
    -> bool
{
    if (!refusal)
    {
        return false;
    }
    this->retry_after = refusal->retry_after;
    constexpr const char* reason = "prompt part in quarantine";
    this->refuse_or_fail(failure_status::bad_gateway, reason);
    return true;
}

auto exchange::on_quarantine_changed() -> void
{
    if (this->done || this->route == nullptr || this->is_quarantine_trial ||
        this->events_received > 0 || this->head_committed)
    {
        return;
    }
    const auto refusal =
        this->service.get_quarantine().find_refusal(this->judged_prompt(), boot_clock_now());
    if (!refusal)
    {
        return;
    }
    if (this->is_sent && this->upstream)
    {
        this->worst_outcome = std::max(this->worst_outcome, routing::send_outcome::unknown);
    }
    this->abandon_upstream();
    this->release_send(send_result::cancelled);
    this->refuse_quarantined(refusal);
}

} // namespace poplardrift::traffic
