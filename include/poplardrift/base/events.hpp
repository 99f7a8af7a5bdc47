#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplardrift
{

/// Severity of an event.
enum class event_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// Event numbers in the log. A number never changes its meaning; docs/EVENTS.md lists them.
enum class event_code : std::uint16_t
{
    daemon_started = 100,
    daemon_ready = 101,
    daemon_not_ready = 102,
    daemon_leaving = 103,
    daemon_stopped = 104,
    settings_rejected = 105,
    settings_reloaded = 106,
    page_failed = 107,
    member_changed = 200,
    peer_reconnected = 201,
    peer_message_rejected = 202,
    peer_records_taken = 203,
    configuration_applied = 300,
    configuration_refused = 301,
    configuration_incomplete = 302,
    configuration_from_peer = 303,
    snapshot_appended = 304,
    declaration_unreadable = 305,
    log_unreachable = 306,
    log_reachable = 307,
    log_listed_anew = 308,
    record_ignored = 309,
    store_restored = 310,
    store_era_rejected = 311,
    zone_out = 400,
    zone_in = 401,
    ownership_taken = 402,
    ownership_lost = 403,
    upstream_cold = 404,
    upstream_warm = 405,
    upstream_ejected = 406,
    upstream_leaving = 407,
    upstream_joined = 408,
    upstream_gone = 409,
    upstream_misaddressed = 410,
    prompt_part_quarantined = 411,
    prompt_part_released = 412,
    upstream_paused = 413,
    upstream_notice_ignored = 414,
    admission_limited = 415,
    admission_unlimited = 416,
    upstream_status_withheld = 417,
    rollout_ordered = 420,
    rollout_phase_changed = 421,
    rollout_recorded = 422,
    request_done = 500,
    request_refused = 501,
    request_failed = 502,
    stream_resumed = 503,
    stream_broken = 504,
    request_invalid = 505,
    request_sent_again = 506,
    request_cancelled = 507,
    send_interrupted = 508,
    caller_limited = 509,
    transaction_claimed = 600,
    transaction_lost = 601,
    transaction_unknown = 602,
    transaction_abandoned = 603,
    transaction_recovered = 604,
    lease_acquired = 700,
    lease_lost = 701,
    order_sent = 702,
    order_settled = 703,
    order_refused = 704,
    lines_dropped = 900,
};

/// Catalog entry of an event.
struct event_description
{
    event_code code;
    event_level level;
    std::string_view name;
    std::string_view meaning; ///< what happened and, where it helps, what to do
};

/// All events in ascending order of their numbers.
[[nodiscard]] auto event_catalog() -> const std::vector<event_description>&;
/// Catalog entry of `code`. Aborts when the catalog lacks it.
[[nodiscard]] auto describe(event_code code) -> const event_description&;
/// The catalog as the Markdown table of docs/EVENTS.md.
[[nodiscard]] auto event_catalog_markdown() -> std::string;

/// Occurrence of an event, with details for the log.
struct event
{
    event_code code;
    std::string detail;
};

} // namespace poplardrift
