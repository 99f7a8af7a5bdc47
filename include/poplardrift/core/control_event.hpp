#pragma once

#include "poplardrift/core/control_core.hpp"

#include <string>
#include <variant>
#include <vector>

namespace poplardrift
{

/// The platform's host list was read.
struct host_list_read
{
    std::vector<host_address> live;
    std::vector<std::string> leaving;
};

/// An authenticated message of another host arrived.
struct peer_message_received
{
    peer_message message;
};

/// The configuration log was read; the list may be empty.
struct log_records_read
{
    std::vector<log_record> records;
};

/// The configuration log could not be read.
struct log_read_failed
{
};

/// The report of an upstream that this host owns was read.
struct upstream_reported
{
    upstream_id upstream;
    upstream_report report;
};

/// This host detected that an upstream turned cold or fails.
struct upstream_fault_detected
{
    upstream_id upstream;
    upstream_state suspected = upstream_state::cold;
};

/// A forwarded request or its response carried a host's load, measured `age` ago.
struct peer_load_received
{
    host_id of;
    pool_load load;
    duration age{};
};

/// The caller caused control traffic by other means than messages between hosts.
struct control_bytes_spent
{
    control_traffic kind = control_traffic::log;
    std::size_t bytes = 0;
};

/// The connection to another host ended or was established.
struct connection_changed
{
    host_id to;
    bool connected = false;
};

/// Suspends granting of an engine's slots while an order changes it, or resumes it afterwards.
struct granting_suspended
{
    upstream_id upstream;
    bool suspended = false;
};

/// A planned stop of this host begins.
struct stop_requested
{
};

/// Any external event for `control_core`.
using control_event =
    std::variant<host_list_read, peer_message_received, log_records_read, log_read_failed,
                 upstream_reported, upstream_fault_detected, peer_load_received,
                 control_bytes_spent, granting_suspended, connection_changed, stop_requested>;

/// Passes an event to `control_core`.
auto handle_event(control_core& core, const control_event& what, time_point now) -> void;

/// Collects the input from admission for one tick of `control_core`. Requires admission's lock.
[[nodiscard]] auto collect_usage(admission& from, std::size_t max_exceptions, time_point now)
    -> host_usage;

/// Applies an action that concerns admission. False when the caller has to execute the action
/// itself. Requires admission's lock.
auto apply_to_admission(const control_action& action, admission& target, time_point now) -> bool;

} // namespace poplardrift
