// What upstreams say of themselves, and prompt parts in quarantine.

#include "net/clock.hpp"
#include "traffic/traffic_service.hpp"

#include <algorithm>
#include <utility>

namespace poplardrift::traffic
{

namespace
{

using namespace std::chrono_literals;

/// After a pause hosts return to an upstream within a part of its length, each at its own time.
constexpr int pause_spread_divisor = 4;
constexpr duration max_pause_spread = 1s;
constexpr std::uint64_t spread_steps = 64;

auto to_json(const std::vector<quarantine::crash_mark>& marks, time_point now) -> nlohmann::json
{
    auto rows = nlohmann::json::array();
    for (const auto& mark : marks)
    {
        rows.push_back({{"upstream_instance", mark.upstream.value()},
                        {"request_hash", mark.request.value()},
                        {"age_ms", to_milliseconds(now - mark.at)},
                        {"own", mark.is_own}});
    }
    return rows;
}

} // namespace

auto traffic_service::evidence_settling_time(std::size_t hosts) -> duration
{
    constexpr duration base_time = 250ms;
    constexpr duration time_per_host = 10ms;
    constexpr duration max_time = 1s;
    return hosts <= 1 ? duration(0)
                      : std::min<duration>(base_time + time_per_host * hosts, max_time);
}

auto traffic_service::on_upstream_leaving(routing::upstream_state& state,
                                          const routing::upstream_name& name) -> void
{
    if (!state.notices.is_leaving())
    {
        state.notices.on_leaving();
        this->log.write(event_code::upstream_leaving,
                        {{"upstream", name.value()}, {"by", "its response"}});
    }
}

auto traffic_service::on_upstream_paused(routing::upstream_state& state,
                                         const routing::upstream_name& name,
                                         const std::string& service, duration length) -> void
{
    const auto now = boot_clock_now();
    const auto longest_spread = std::min<duration>(length / pause_spread_divisor, max_pause_spread);
    // The same for each pause of this upstream, different on each host.
    const auto share = hash_pair_64(this->view->hosts.own.value(), state.instance) % spread_steps;
    const auto spread = longest_spread * share / spread_steps;
    state.notices.on_pause(now, length, spread);
    this->metrics.count_pause(service);
    this->log.write(event_code::upstream_paused,
                    {{"upstream", name.value()},
                     {"service", service},
                     {"asked_ms", to_milliseconds(length)},
                     {"paused_ms", to_milliseconds(state.notices.get_paused_until() - now)},
                     {"in_flight", state.in_flight}});
}

auto traffic_service::sync_evidence(time_point now) -> void
{
    auto received = this->mailbox.take_remote_evidence();
    if (!received.empty())
    {
        this->prompts_in_quarantine.merge(received, now);
    }
    this->prompts_in_quarantine.forget_old(now);
    this->mailbox.set_local_evidence(this->prompts_in_quarantine.evidence_to_share(now));
}

auto traffic_service::on_quarantined(const quarantine::part_evidence& evidence, bool is_own) -> void
{
    const auto now = boot_clock_now();
    this->log.write(event_code::prompt_part_quarantined,
                    {{"part", to_text(evidence.part)},
                     {"own_decision", is_own},
                     {"level", evidence.level},
                     {"for_ms", to_milliseconds(evidence.quarantined_until - now)},
                     {"was_harmless", evidence.was_harmless},
                     {"whole_request", evidence.is_on_request()},
                     {"marks", to_json(evidence.open_marks(), now)}});
    this->metrics.count_quarantine();
    if (is_own && !evidence.is_on_request())
    {
        this->mailbox.add_decided_part(evidence);
    }
    // Posted: the decision is made inside calls of the exchanges that it ends.
    boost::asio::post(this->io,
                      [this]
                      {
                          const auto open_sessions = this->sessions; // ending one may erase it
                          for (const auto& session : open_sessions)
                          {
                              session->on_quarantine_changed();
                          }
                      });
}

auto traffic_service::on_released(const quarantine::part_evidence& evidence,
                                  const quarantine::part_release& release) -> void
{
    const auto is_own = release.reason != quarantine::release_reason::other_host;
    auto explained_by = nlohmann::json::array();
    for (const auto part : release.explained_by)
    {
        explained_by.push_back(to_text(part));
    }
    this->log.write(event_code::prompt_part_released,
                    {{"part", to_text(evidence.part)},
                     {"own_decision", is_own},
                     {"reason", quarantine::to_text(release.reason)},
                     {"explained_by", std::move(explained_by)},
                     {"marks", to_json(release.marks, boot_clock_now())}});
    if (is_own && !evidence.is_on_request())
    {
        // A part that another one explains still has its marks; its record ends all the same.
        auto released = evidence;
        released.level = 0;
        this->mailbox.add_decided_part(std::move(released));
    }
}

} // namespace poplardrift::traffic
