#include "poplardrift/base/events.hpp"

#include "poplardrift/base/assert.hpp"

#include <algorithm>

namespace poplardrift
{

auto event_catalog() -> const std::vector<event_description>&
{
    using enum event_code;
    using enum event_level;
    static const std::vector<event_description> catalog = {
        {daemon_started, info, "daemon-started", "The process has read its settings and listens."},
        {daemon_ready, info, "daemon-ready", "The host has a configuration and takes requests."},
        {daemon_not_ready, warning, "daemon-not-ready",
         "The host takes no requests; the detail says why."},
        {daemon_leaving, info, "daemon-leaving",
         "A planned stop has begun; open requests are finished."},
        {daemon_stopped, info, "daemon-stopped",
         "The process ends; the detail says how many requests were cut off."},
        {settings_rejected, error, "settings-rejected",
         "The settings file has faults; the process does not start."},
        {settings_reloaded, info, "settings-reloaded",
         "The settings file has changed and was read again."},
        {page_failed, warning, "page-failed",
         "A status page could not be rendered; the detail says why. Requests are not affected."},
        {member_changed, info, "member-changed",
         "Another host became alive, suspect, leaving or absent."},
        {peer_reconnected, warning, "peer-reconnected",
         "A connection to another host had gone silent and was dialled anew."},
        {peer_message_rejected, warning, "peer-message-rejected",
         "A message between hosts was malformed or not authentic. Check the hosts' secret."},
        {peer_records_taken, info, "peer-records-taken",
         "Another host had newer configuration or registry records than the platform gave this "
         "one."},
        {configuration_applied, info, "configuration-applied",
         "A change is in force on this host."},
        {configuration_refused, warning, "configuration-refused",
         "A record of the log was refused by all hosts alike; the detail says why."},
        {configuration_incomplete, error, "configuration-incomplete",
         "Records are missing that the log no longer gives; a snapshot or a peer has to fill in."},
        {configuration_from_peer, info, "configuration-from-peer",
         "Configuration came from another host."},
        {snapshot_appended, info, "snapshot-appended",
         "This host appended a snapshot, before records lapse."},
        {declaration_unreadable, error, "declaration-unreadable",
         "A value cannot be used by this version and is left out."},
        {log_unreachable, warning, "log-unreachable", "The platform's log does not answer."},
        {log_reachable, info, "log-reachable", "The platform's log answers again."},
        {log_listed_anew, info, "log-listed-anew",
         "Records had expired before they were read; the newest of each key were listed."},
        {record_ignored, warning, "record-ignored",
         "A record of the platform is malformed and changes nothing; the detail says why."},
        {store_restored, warning, "store-restored",
         "The platform's store came back from an older copy; its records were listed anew."},
        {store_era_rejected, warning, "store-era-rejected",
         "An answer of the platform's store states no era or an earlier one, and is not used."},
        {zone_out, warning, "zone-out",
         "An availability zone is out of service: it gets no new work."},
        {zone_in, info, "zone-in", "An availability zone is back in service."},
        {ownership_taken, info, "ownership-taken",
         "This host now grants the slots of an upstream."},
        {ownership_lost, info, "ownership-lost",
         "Another host now grants the slots of an upstream."},
        {upstream_cold, warning, "upstream-cold",
         "An upstream is in cold start and gets only what it can bear."},
        {upstream_warm, info, "upstream-warm", "An upstream takes its full share."},
        {upstream_ejected, warning, "upstream-ejected",
         "An upstream failed repeatedly and gets nothing for a while."},
        {upstream_leaving, info, "upstream-leaving",
         "An upstream says that it will stop; it gets no new work."},
        {upstream_joined, info, "upstream-joined", "An upstream is new in the registry."},
        {upstream_gone, info, "upstream-gone",
         "An upstream's entry has ended; it gets no new work."},
        {upstream_misaddressed, warning, "upstream-misaddressed",
         "Another upstream answers at this one's address; it gets nothing until its entry "
         "changes."},
        {prompt_part_quarantined, warning, "prompt-part-quarantined",
         "Engines ended when they began to answer prompts with this part; requests with it are "
         "refused."},
        {prompt_part_released, info, "prompt-part-released",
         "Requests with a prompt part are served again; `reason` and `explained_by` say why."},
        {upstream_paused, info, "upstream-paused",
         "An upstream turned a request away and asked this host for a pause; it gets nothing until "
         "the end of it."},
        {upstream_notice_ignored, warning, "upstream-notice-ignored",
         "What an upstream said about leaving or a pause cannot be read and changes nothing."},
        {admission_limited, warning, "admission-limited",
         "A service is congested; this host admits its share of what the upstreams complete."},
        {admission_unlimited, info, "admission-unlimited",
         "A service is no longer congested; all requests are admitted at once."},
        {upstream_status_withheld, warning, "upstream-status-withheld",
         "An upstream failed with a status by which callers would take the request as not run, and "
         "did not state that; callers get 502 instead."},
        {rollout_ordered, info, "rollout-ordered",
         "Operators ordered to move a service to another version, or this host learnt of it."},
        {rollout_phase_changed, info, "rollout-phase-changed",
         "A roll-out is in another phase on this host; the detail has the reason and the figures "
         "that decided it."},
        {rollout_recorded, info, "rollout-recorded",
         "The store has this state of a roll-out, written by this host or another."},
        {request_done, debug, "request-done", "A request was answered whole."},
        {request_refused, info, "request-refused", "A request was refused and did not run."},
        {request_failed, warning, "request-failed", "A request failed after it may have run."},
        {stream_resumed, info, "stream-resumed", "A broken answer was taken up where it broke."},
        {stream_broken, warning, "stream-broken",
         "An answer could not be completed and ended visibly broken."},
        {request_invalid, info, "request-invalid",
         "A caller's request was malformed; the detail says how."},
        {request_sent_again, info, "request-sent-again",
         "A request goes to a second upstream; the detail says what became of the send before."},
        {request_cancelled, debug, "request-cancelled",
         "The caller left before its answer was whole; the upstream was told."},
        {send_interrupted, info, "send-interrupted",
         "The connection to an upstream ended before the answer was whole; the detail says how "
         "much "
         "output there was, what the prompt held and how the upstream stood."},
        {caller_limited, warning, "caller-limited",
         "A caller met a limit of the process on memory or connections and was refused or closed; "
         "at most one line a second for each limit, with the number of others since the last."},
        {transaction_claimed, debug, "transaction-claimed",
         "This host may run a transaction: its claim is first in the log."},
        {transaction_lost, info, "transaction-lost", "Another claim for the key came first."},
        {transaction_unknown, warning, "transaction-unknown",
         "It cannot be said whether a transaction ran; ask for its key later."},
        {transaction_abandoned, info, "transaction-abandoned",
         "A claim was given up before anything was sent; it will never run."},
        {transaction_recovered, info, "transaction-recovered",
         "Claims of the log have been read; transactions may run."},
        {lease_acquired, info, "lease-acquired",
         "This host holds the lease of an engine; the detail has the fencing number."},
        {lease_lost, info, "lease-lost", "A lease has ended or went to another host."},
        {order_sent, info, "order-sent", "An order went to an engine."},
        {order_settled, info, "order-settled", "An engine is in the declared state."},
        {order_refused, warning, "order-refused",
         "An engine refused an order, as for an old fencing number."},
        {lines_dropped, warning, "lines-dropped",
         "Log lines beyond the rate or the queue were left out; the count says how many."},
    };
    return catalog;
}

auto describe(event_code code) -> const event_description&
{
    const auto& catalog = event_catalog();
    const auto found = std::find_if(catalog.begin(), catalog.end(),
                                    [&](const auto& item) { return item.code == code; });
    POPLARDRIFT_ASSERT(found != catalog.end());
    return *found;
}

auto event_catalog_markdown() -> std::string
{
    static constexpr std::string_view levels[] = {"debug", "info", "warning", "error"};
    std::string text = "| number | name | level | meaning |\n|---|---|---|---|\n";
    for (const auto& item : event_catalog())
    {
        text += "| " + std::to_string(static_cast<int>(item.code)) + " | " +
                std::string(item.name) + " | " + std::string(levels[static_cast<int>(item.level)]) +
                " | " + std::string(item.meaning) + " |\n";
    }
    return text;
}

} // namespace poplardrift
