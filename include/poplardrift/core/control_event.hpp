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

/// A message of another host arrived and is authentic.
struct peer_message_received
{
    peer_message message;
};

/// The configuration's stream was read; the list may be empty.
struct log_records_read
{
    std::vector<log_record> records;
};

/// The log did not answer.
struct log_read_failed
{
};

/// An upstream that this host owns reported.
struct upstream_reported
{
    upstream_id upstream;
    upstream_report report;
};

/// This host saw that an upstream turned cold or fails.
struct upstream_fault_detected
{
    upstream_id upstream;
    upstream_state suspected = upstream_state::cold;
};

/// A forwarded request or its answer told a host's load, as it was some time ago.
struct peer_load_received
{
    host_id of;
    pool_load load;
    duration age{};
};

/// The shell caused control traffic by other means than messages between hosts.
struct control_bytes_spent
{
    control_traffic kind = control_traffic::log;
    std::size_t bytes = 0;
};

/// The connection to another host ended, or stands again.
struct connection_changed
{
    host_id to;
    bool connected = false;
};

/// An engine is being changed and gets no new work, or takes work again.
struct engine_held
{
    upstream_id upstream;
    bool held = false;
};

/// A planned stop begins.
struct stop_requested
{
};

/// Everything that the control state is told from outside.
using control_event =
    std::variant<host_list_read, peer_message_received, log_records_read, log_read_failed,
                 upstream_reported, upstream_fault_detected, peer_load_received,
                 control_bytes_spent, engine_held, connection_changed, stop_requested>;

/// Hands an event to the control state.
auto handle_event(control_core& core, const control_event& what, time_point now) -> void;

/// Collects what the control state needs from admission for one tick. Call it under admission's
/// lock.
[[nodiscard]] auto collect_usage(admission& from, std::size_t max_exceptions, time_point now)
    -> host_usage;

/// Applies an action that concerns admission. False when the action is for the shell. Call it under
/// admission's lock.
auto apply_to_admission(const control_action& action, admission& target, time_point now) -> bool;

} // namespace poplardrift
