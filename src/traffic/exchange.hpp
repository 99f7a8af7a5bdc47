#pragma once

#include "http/upstream_connection.hpp"
#include "overload/admission_gate.hpp"
#include "poplardrift/streams/sse_splitter.hpp"
#include "quarantine/prompt_quarantine.hpp"
#include "routing/placement.hpp"
#include "routing/resend_policy.hpp"
#include "traffic/connection_pool.hpp"
#include "traffic/own_response.hpp"
#include "traffic/send_listener.hpp"
#include "traffic/wire_adapter.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplardrift::traffic
{

class traffic_service;

/// Receives the response of an exchange; implemented by the caller's connection.
class response_sink
{
public:
    response_sink() = default;
    response_sink(const response_sink&) = delete;
    auto operator=(const response_sink&) -> response_sink& = delete;
    virtual ~response_sink() = default;

    /// Writes the head. Without a length the body is chunked, or ends with the connection for
    /// callers of HTTP/1.0.
    virtual auto begin_response(const http::response_head& head,
                                std::optional<std::uint64_t> length) -> void = 0;
    virtual auto write_body(std::string_view bytes) -> void = 0;
    /// Completes the response.
    virtual auto end_response() -> void = 0;
    /// Ends an incomplete response in such a way that the caller detects that it is incomplete.
    virtual auto abort_response() -> void = 0;
    /// The exchange holds more memory, or less.
    virtual auto on_memory_changed() -> void = 0;
    /// Bytes of the response not yet passed to the kernel.
    [[nodiscard]] virtual auto bytes_waiting() const -> std::size_t = 0;
};

/// Handles one request of a caller, from its last byte to the end of its response. Tracks the
/// outcome of every send, from which resend_policy decides the next step. Traffic thread.
class exchange final : public http::response_receiver, public std::enable_shared_from_this<exchange>
{
public:
    exchange(traffic_service& service, response_sink* sink, http::request_head head,
             std::string body, time_point arrived);

    auto start() -> void;
    /// The caller has closed its connection.
    auto on_caller_gone() -> void;
    /// Ends the request if its prompt is in quarantine now and it has no output yet.
    auto on_quarantine_changed() -> void;
    /// All bytes written so far have been passed to the kernel.
    auto on_caller_drained() -> void;
    /// Called by overload_control: the request waits for its first send, may be sent, or is
    /// refused.
    auto on_gate_wait(overload::gate_ticket ticket) -> void { this->gate_ticket = ticket; }
    auto on_admitted() -> void;
    auto on_shed(const overload::gate_decision& decision) -> void;
    /// Memory taken by the request's body.
    [[nodiscard]] auto body_memory() const -> std::size_t;
    /// Memory taken by the request's head and by what has been read of the response.
    [[nodiscard]] auto other_memory() const -> std::size_t;

private:
    auto on_request_sent() -> void override;
    auto on_response_head(const http::response_head& head) -> void override;
    auto on_response_body(std::string bytes) -> void override;
    auto on_response_end() -> void override;
    auto on_response_failed(http::transport_failure why) -> void override;

    [[nodiscard]] auto admit() -> bool;
    /// Places the request once the admission gate of its service lets it pass.
    auto pass_gate() -> void;
    auto leave_gate() -> void;
    auto place() -> void;
    /// Chooses an upstream of a new version, if a roll-out wants the request there.
    [[nodiscard]] auto choose_new_version(routing::placement_query query) const
        -> std::optional<routing::placement_choice>;
    auto defer_placement(const routing::placement_failure& why) -> void;
    auto send_to(const routing::live_upstream& upstream, const routing::placement_choice& choice)
        -> void;
    auto begin_send(const routing::live_upstream& chosen, const routing::placement_choice& choice,
                    time_point now) -> void;
    [[nodiscard]] auto encode_for(const routing::placement_choice& choice, time_point now) const
        -> http::upstream_request;
    auto finish_send(routing::send_outcome outcome, send_result result, const char* reason) -> void;
    auto apply_step(routing::next_step step) -> void;
    /// Ends a send whose response is invalid. The upstream may have executed the request.
    auto fail_malformed(const char* reason) -> void;
    auto pause_if_caller_is_slow() -> void;
    /// Ends the current send, if there is one, and reports it to the service's listeners.
    auto release_send(send_result result) -> void;
    auto report_send(send_result result) const -> void;
    /// Applies what the upstream has said about itself in its response head.
    auto apply_notices() -> void;
    auto record_success() -> void;
    auto record_fault(routing::upstream_fault fault) -> void;
    /// The connection of the current send has ended before its response was complete.
    auto record_interruption(const char* reason, bool upstream_ended) -> void;
    /// Output proves that the upstream can answer the prompt.
    auto record_progress(time_point now) -> void;
    auto mark_harmless(time_point began_at, time_point now) -> void;
    /// True, after the answer to the caller, if the prompt is in quarantine.
    auto refuse_quarantined(const std::optional<quarantine::quarantine_refusal>& refusal) -> bool;
    [[nodiscard]] auto judged_prompt() const -> routing::judged_prompt;

    auto forward_events() -> void;
    auto forward_event(const sse_event& event) -> void;
    auto forward_comment(const sse_event& comment) -> void;
    auto commit_head() -> void;
    auto finish_response() -> void;
    auto forward_failure() -> void;
    [[nodiscard]] auto is_misaddressed() const -> bool;
    /// True if the response of the current send proves that the upstream has not run the request.
    [[nodiscard]] auto is_declined() const -> bool;
    [[nodiscard]] auto prove_not_run() const -> std::optional<routing::not_run_proof>;
    /// Refuses the request if it provably has not run, else ends it with `otherwise`, or as
    /// incomplete if its response has begun.
    auto refuse_or_fail(failure_status otherwise, const char* reason) -> void;
    auto finish_with(const own_response& answer, const char* reason) -> void;
    auto send_error_response(int status, const char* reason) -> void;

    auto arm_timer() -> void;
    auto on_timer() -> void;
    [[nodiscard]] auto progress_deadline() const -> time_point;
    /// True if another upstream could take over now.
    [[nodiscard]] auto can_move() -> bool;
    auto on_no_progress(time_point now) -> void;
    auto abandon_upstream() -> void;
    [[nodiscard]] auto is_stream() const -> bool;

    traffic_service& service;
    response_sink* sink;
    http::request_head request;
    std::shared_ptr<const std::string> body; ///< shared with the connection that sends it
    time_point arrived;
    request_metadata metadata;

    std::shared_ptr<const routing::routing_configuration> configuration;
    const routing::route_rules* route = nullptr;
    const routing::workspace_rules* workspace = nullptr;
    std::string target_service;
    time_point deadline{}; ///< the earlier of the caller's deadline and the route's timeout
    boost::asio::steady_timer timer;

    // Sends and connection attempts so far.
    std::vector<routing::upstream_state_id> tried;
    int sends = 0;
    int connect_failures = 0;
    routing::send_outcome worst_outcome = routing::send_outcome::not_sent;
    int interruptions = 0;               ///< see resend_context
    bool is_quarantine_trial = false;    ///< admitted to find out whether its prompt is harmless
    std::optional<duration> retry_after; ///< for a refusal, if known

    overload::gate_ticket gate_ticket{0}; ///< while it waits at the gate

    // The current send.
    connection_ptr connection;
    std::shared_ptr<routing::upstream_state> upstream;
    routing::upstream_name upstream_name;
    routing::upstream_key upstream_key = 0;
    std::string upstream_version;
    bool upstream_was_warm = false;
    time_point sent_at{};
    time_point head_at{};             ///< when the head of the response arrived
    time_point last_progress{};       ///< head or event of the response; single bytes do not count
    time_point progress_checked_at{}; ///< no other upstream could take over then
    bool is_sent = false;
    bool prefill_counted = false;
    std::uint32_t prefill_tokens = 0;
    std::uint64_t affinity = 0; ///< see placement_query
    routing::placement_choice placement;
    response_metadata response;
    http::response_head upstream_head;
    std::string buffered_body; ///< of a plain response; of a stream, what precedes its first event
    sse_splitter events;
    std::size_t comment_bytes = 0;     ///< since the last event of this send
    std::uint64_t events_received = 0; ///< of this send, including repeated ones
    time_point first_event_at{};       ///< of this send
    time_point last_event_at{};        ///< of this send
    duration longest_event_gap{};      ///< of this send
    bool is_proved_harmless = false;   ///< by output of this send

    // The response to the caller.
    std::optional<forwardable_failure> last_failure; ///< an upstream's, while it may be forwarded
    http::response_head caller_head; ///< of the first upstream whose output was forwarded
    bool head_committed = false;
    bool done = false;
    bool paused = false;
    std::optional<std::uint64_t> last_event;
    time_point first_output{};
    std::uint64_t events_forwarded = 0;
};

} // namespace poplardrift::traffic
