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

/// A caller's chat request.
struct chat_request
{
    caller_request caller;
    std::string body; ///< unmodified JSON
    bool stream = false;
    conversation_id conversation;
    std::optional<upstream_id> hint;    ///< affinity hint of the caller
    bool is_new = false;                ///< first turn: no engine has cached any of it
    std::optional<upstream_id> pinned;  ///< forwarded by another host for this upstream only
    httplib::Headers forwarded_headers; ///< headers to send to the engine
};

/// Answers one chat request: acquires a slot, sends the request to the engine and relays the
/// answer. Resumes an interrupted answer at the same engine or continues it at another one.
/// Blocking; one thread at a time.
class chat_relay final
{
public:
    /// Called once, when the engine has started to answer; returns when the response body can be
    /// written.
    using commit_function = std::function<void()>;
    /// Sends bytes to the caller; false when the caller has disconnected.
    using write_function = std::function<bool(std::string_view bytes)>;

    chat_relay(traffic_context& context, chat_request request);

    /// Relays a streamed answer. Nothing is written before `commit` is called.
    auto run_stream(const commit_function& commit, const write_function& write) -> void;
    /// Fetches an answer that is not streamed.
    auto run_unstreamed() -> void;

    /// Why there is no answer, or why it is incomplete.
    [[nodiscard]] auto failure() const -> const std::optional<problem>&
    {
        return this->last_problem;
    }
    [[nodiscard]] auto is_committed() const -> bool { return this->committed; }
    [[nodiscard]] auto is_complete() const -> bool { return this->complete; }
    /// Body of an answer that is not streamed, or of an engine's error response.
    [[nodiscard]] auto answer_body() const -> const std::string& { return this->body; }
    [[nodiscard]] auto answer_status_code() const -> int { return this->status; }
    [[nodiscard]] auto answer_content_type() const -> const std::string&
    {
        return this->content_type;
    }
    /// Upstream that serves the chat, for the affinity hint.
    [[nodiscard]] auto serving_upstream() const -> upstream_id { return this->upstream.id; }
    [[nodiscard]] auto request() const -> const chat_request& { return this->chat; }
    /// True when the pinned upstream had no slot, so that nothing was sent to it.
    [[nodiscard]] auto had_no_slot() const -> bool { return this->no_slot; }

private:
    enum class attempt_result : std::uint8_t
    {
        complete,
        caller_gone,
        engine_refused, ///< the engine's error response goes to the caller
        retry_elsewhere,
        denied,        ///< the owner had no slot; nothing was sent to the engine
        owner_failed,  ///< the owner could not be reached; nothing was sent to the engine
        resume_stream, ///< interrupted; the engine may still hold the answer
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
    /// After a send that may have run, `not_run` and statuses that promise it are replaced.
    auto fail(int problem_status, const std::string& detail, request_outcome outcome,
              int retry_after) -> void;
    [[nodiscard]] auto is_out_of_time() const -> bool;

    traffic_context& context;
    chat_request chat;
    const route_metrics& latencies;
    commit_function commit;
    write_function write;
    placement_request slot_request;                 ///< of the current attempt
    std::optional<forward_to_owner> forward_target; ///< of the current attempt, when forwarded
    upstream_view upstream;                         ///< of the current attempt
    std::array<upstream_id, placement_request::max_excluded> excluded{};
    std::size_t excluded_count = 0;
    sse_splitter splitter;
    event_sequencer sequencer;
    std::vector<std::string_view> ready_events;
    std::string stream_id; ///< id that the engine gave to the answer
    std::string body;
    std::string content_type;
    int status = 0;
    bool committed = false;
    bool complete = false;
    bool caller_gone = false;
    bool mismatched = false; ///< the answer belongs to another request or is not an event stream
    bool holds_slot = false;
    bool no_slot = false;
    bool owner_accepted = false;
    time_point last_event{};
    std::optional<problem> last_problem;
    bool may_have_run = false; ///< an engine may have begun to run the request
};

} // namespace poplardrift
