#pragma once

#include "daemon/caller_request.hpp"
#include "daemon/traffic_context.hpp"
#include "poplardrift/streams/event_sequencer.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace poplardrift
{

/// A chat as the caller asked for it.
struct chat_request
{
    caller_request caller;
    std::string body; ///< as it came
    bool stream = false;
    conversation_id conversation;
    std::optional<upstream_id> hint;
    bool is_new = false;                ///< its first turn: no engine holds anything of it
    std::optional<upstream_id> pinned;  ///< another host forwarded it for this upstream only
    httplib::Headers forwarded_headers; ///< headers that go on to the engine
};

/// Answers one chat: finds a slot, sends the request to the engine, relays the answer, and takes a
/// broken answer up again, at the same engine or at another one. Blocking; one thread at a time.
class chat_relay final
{
public:
    /// Called once, when it is certain that an answer comes; it returns when the answer's body may
    /// be written.
    using commit_function = std::function<void()>;
    /// Takes bytes for the caller; false when the caller is gone.
    using write_function = std::function<bool(std::string_view bytes)>;

    chat_relay(traffic_context& context, chat_request request);

    /// Relays a streamed answer. Before the commit nothing has been written.
    auto run_stream(const commit_function& commit, const write_function& write) -> void;
    /// Gets a whole answer.
    auto run_unstreamed() -> void;

    /// Why there is no answer, or why it ended broken.
    [[nodiscard]] auto failure() const -> const std::optional<problem>&
    {
        return this->last_problem;
    }
    [[nodiscard]] auto is_committed() const -> bool { return this->committed; }
    [[nodiscard]] auto is_complete() const -> bool { return this->complete; }
    /// The whole answer, for `run_unstreamed`, or an engine's own refusal.
    [[nodiscard]] auto answer_body() const -> const std::string& { return this->body; }
    [[nodiscard]] auto answer_status_code() const -> int { return this->status; }
    [[nodiscard]] auto answer_content_type() const -> const std::string&
    {
        return this->content_type;
    }
    /// Where the chat runs, for the affinity hint.
    [[nodiscard]] auto serving_upstream() const -> upstream_id { return this->upstream.id; }
    [[nodiscard]] auto request() const -> const chat_request& { return this->chat; }
    /// True when the pinned upstream had no slot, so that nothing was sent.
    [[nodiscard]] auto had_no_slot() const -> bool { return this->no_slot; }

private:
    enum class attempt_result : std::uint8_t
    {
        complete,
        caller_gone,
        engine_refused, ///< the engine's own answer goes to the caller
        retry_elsewhere,
        denied,        ///< the owner had no slot: nothing was sent to the engine
        owner_failed,  ///< the owner could not be reached: likewise
        resume_stream, ///< broke midway; the engine may still hold the answer
        out_of_time,
    };

    [[nodiscard]] auto acquire_slot() -> bool;
    [[nodiscard]] auto make_slot_request() -> placement_request;
    [[nodiscard]] auto apply_wait_result(const wait_result& result) -> bool;
    [[nodiscard]] auto set_upstream(upstream_id id) -> bool;
    auto add_forward_headers(httplib::Request& request) const -> void;
    [[nodiscard]] auto acquire_next_slot(bool owner_reached) -> bool;
    auto record_owner_load(const httplib::Response& response) -> void;
    auto release_slot() -> void;
    auto exclude_upstream() -> void;
    auto run_attempts() -> void;
    [[nodiscard]] auto run_attempt() -> attempt_result;
    [[nodiscard]] auto exchange(bool resume, bool dial_new) -> attempt_result;
    [[nodiscard]] auto make_request(bool resume) const -> httplib::Request;
    [[nodiscard]] auto make_continuation_body() const -> std::string;
    [[nodiscard]] auto on_headers(const httplib::Response& response) -> bool;
    [[nodiscard]] auto on_bytes(std::string_view bytes) -> bool;
    [[nodiscard]] auto classify_exchange(const httplib::Response& response, bool answered,
                                         httplib::Error error, bool reused) -> attempt_result;
    auto report_upstream_result(bool succeeded) -> void;
    [[nodiscard]] auto classify_error_status(int answer_status) -> attempt_result;
    auto record_event_latency() -> void;
    auto finish() -> void;
    auto fail(int problem_status, const std::string& detail, request_outcome outcome,
              int retry_after) -> void;
    [[nodiscard]] auto is_out_of_time() const -> bool;

    traffic_context& context;
    chat_request chat;
    const route_metrics& latencies;
    commit_function commit;
    write_function write;
    placement_request slot_request; ///< of the present attempt
    std::optional<forward_to_owner>
        forward_target;     ///< the host that the present attempt goes through
    upstream_view upstream; ///< of the present attempt
    std::array<upstream_id, placement_request::max_excluded> excluded{};
    std::size_t excluded_count = 0;
    sse_splitter splitter;
    event_sequencer sequencer;
    std::vector<std::string_view> ready_events;
    std::string stream_id; ///< the engine's name for the answer
    std::string body;
    std::string content_type;
    int status = 0;
    bool committed = false;
    bool complete = false;
    bool caller_gone = false;
    bool mismatched = false; ///< the answer was another request's
    bool holds_slot = false;
    bool no_slot = false;
    bool owner_accepted = false;
    time_point last_event{};
    std::optional<problem> last_problem;
};

} // namespace poplardrift
