#include "daemon/http_front.hpp"

#include "daemon/forwarding.hpp"
#include "net/clock.hpp"
#include "net/growing_task_queue.hpp"
#include "net/resumable_task.hpp"
#include "poplardrift/base/crypto.hpp"
#include "poplardrift/base/json_text.hpp"
#include "poplardrift/placement/conversation.hpp"

namespace poplardrift
{

namespace
{

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int payload_too_large = 413;
constexpr int headers_too_large = 431;
constexpr int service_unavailable = 503;
/// The largest body limit that can be configured. Bodies up to this size are read, so that this
/// host rejects those above a lower limit with its own problem details.
constexpr std::size_t max_body_read = 64u << 20;
constexpr const char* key_path = "/v1/transaction-keys";
constexpr std::string_view lookup_prefix = "/v1/transactions/";

auto make_rejection(int status, std::string title, std::string detail) -> problem
{
    return {status, std::move(title), std::move(detail), request_outcome::not_run,
            status == service_unavailable ? 1 : 0};
}

/// True for headers that belong to one connection or that this host sets itself.
auto is_not_forwarded(const std::string& name) -> bool
{
    static constexpr std::string_view names[] = {
        "connection",  "keep-alive", "transfer-encoding", "content-length",  "host",
        "te",          "upgrade",    "x-request-id",      "x-deadline-ms",   "remote_addr",
        "remote_port", "local_addr", "local_port",        "accept-encoding", "expect"};
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return std::find(std::begin(names), std::end(names), lower) != std::end(names);
}

auto copy_headers(const httplib::Request& request, std::initializer_list<const char*> names)
    -> httplib::Headers
{
    httplib::Headers result;
    for (const auto* name : names)
    {
        if (request.has_header(name))
        {
            result.emplace(name, request.get_header_value(name));
        }
    }
    return result;
}

/// True when no message has the role assistant.
auto is_first_turn(const nlohmann::json& messages) -> bool
{
    return std::none_of(messages.begin(), messages.end(),
                        [](const auto& item) {
                            return item.is_object() &&
                                   item.value("role", nlohmann::json()) == "assistant";
                        });
}

/// Counts a request as active during its lifetime.
class active_request final
{
public:
    explicit active_request(traffic_context& context) : context(context)
    {
        ++this->context.active_requests;
    }
    ~active_request() { --this->context.active_requests; }
    active_request(const active_request&) = delete;
    auto operator=(const active_request&) -> active_request& = delete;

private:
    traffic_context& context;
};

/// State of a streamed answer, shared by the handler that sets the status and the content provider
/// that writes the body.
struct stream_session
{
    explicit stream_session(traffic_context& context, std::shared_ptr<chat_relay> relay)
        : active_guard(context), relay(std::move(relay)),
          task(
              [this](const resumable_task::pause_function& pause)
              {
                  this->relay->run_stream(pause,
                                          [this](std::string_view bytes) {
                                              return this->sink != nullptr &&
                                                     this->sink->write(bytes.data(), bytes.size());
                                          });
              })
    {
    }

    active_request active_guard;
    std::shared_ptr<chat_relay> relay;
    httplib::DataSink* sink = nullptr;
    resumable_task task;
};

} // namespace

http_front::http_front(traffic_context& context, std::string id_prefix)
    : context(context), id_prefix(std::move(id_prefix)),
      listener({.address = context.settings.host.address,
                .port = context.settings.host.http_port,
                .max_connections = context.settings.most_connections,
                .idle_seconds = static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(
                                                     context.settings.idle_connection)
                                                     .count()),
                .max_request_body_bytes = max_body_read,
                .certificate = context.settings.caller_tls.certificate,
                .key = context.settings.caller_tls.key})
{
    auto& http = this->listener.server();
    const auto handler = [this](const httplib::Request& request, httplib::Response& response)
    { this->handle(request, response); };
    http.Get(".*", handler);
    http.Post(".*", handler);
    http.Put(".*", handler);
    http.Patch(".*", handler);
    http.Delete(".*", handler);
    http.set_error_handler(
        [](const httplib::Request&, httplib::Response& response)
        {
            // Errors detected by the HTTP library.
            if (response.body.empty())
            {
                reply_problem(
                    response,
                    make_rejection(response.status, "Bad request", "the request could not be read"),
                    "");
            }
        });
}

auto http_front::make_request_id() -> std::pair<request_id, std::string>
{
    const auto number = this->context.admission.next_request_id();
    return {number, this->id_prefix + "-" + std::to_string(number.value())};
}

auto http_front::refuse(httplib::Response& response, const problem& error, const std::string& id)
    -> void
{
    this->context.log.write(event_code::request_invalid, "request " + id + ": " + error.detail);
    reply_problem(response, error, id);
}

auto http_front::handle_host_path(const httplib::Request& request, httplib::Response& response)
    -> bool
{
    if (request.path == "/healthz")
    {
        response.set_content("ok\n", "text/plain");
    }
    else if (request.path == "/readyz")
    {
        const auto reason =
            this->context.stopping ? "leaving" : this->context.control.not_ready_reason();
        response.status = reason.empty() ? 200 : service_unavailable;
        response.set_content((reason.empty() ? "ready" : reason) + "\n", "text/plain");
    }
    else if (request.path == "/metrics")
    {
        response.set_content(this->context.process_metrics.to_text(), "text/plain; version=0.0.4");
    }
    else if (request.path == key_path && request.method == "POST")
    {
        this->handle_key_request(request, response);
    }
    else if (request.path.rfind(lookup_prefix, 0) == 0 && request.method == "GET")
    {
        this->handle_lookup(request, response);
    }
    else
    {
        return false;
    }
    return true;
}

auto http_front::check_size(const httplib::Request& request) const -> std::optional<problem>
{
    std::size_t header_bytes = 0;
    for (const auto& [name, value] : request.headers)
    {
        header_bytes += name.size() + value.size() + 4;
    }
    if (header_bytes > this->context.settings.most_header_bytes)
    {
        return make_rejection(
            headers_too_large, "Headers too large",
            "allowed: " + std::to_string(this->context.settings.most_header_bytes) + " bytes");
    }
    return std::nullopt;
}

auto http_front::workspace_of(const httplib::Request& request, const routing_view& view) const
    -> const workspace_view*
{
    const auto key = api_key_of(request);
    const auto found =
        key.empty() ? view.workspaces_by_key.end() : view.workspaces_by_key.find(sha256_hex(key));
    return found == view.workspaces_by_key.end() ? nullptr
                                                 : &view.workspaces[found->second.value()];
}

auto http_front::prepare_caller_request(const httplib::Request& request,
                                        httplib::Response& response, caller_request& caller) -> bool
{
    caller.arrived = monotonic_now();
    std::tie(caller.numeric_id, caller.id) = this->make_request_id();
    caller.view = this->context.admission.view();
    if (const auto repeated = find_repeated_header(request))
    {
        this->refuse(response,
                     make_rejection(bad_request, "Bad request",
                                    "the header " + *repeated + " stands more than once"),
                     caller.id);
        return false;
    }
    if (const auto error = this->check_size(request))
    {
        this->refuse(response, *error, caller.id);
        return false;
    }
    const auto reason = this->context.control.not_ready_reason();
    if (caller.view->routes.empty())
    {
        this->refuse(
            response,
            make_rejection(service_unavailable, "Not ready", reason.empty() ? "no routes" : reason),
            caller.id);
        return false;
    }
    caller.route = caller.view->match(request.method, request.path);
    if (caller.route == nullptr)
    {
        this->refuse(response,
                     make_rejection(not_found, "No route",
                                    "no route takes " + request.method + " " + request.path),
                     caller.id);
        return false;
    }
    caller.workspace = this->workspace_of(request, *caller.view);
    caller.api_key = api_key_of(request);
    if (caller.workspace == nullptr)
    {
        this->refuse(
            response,
            make_rejection(unauthorized, "Unauthorized", "an API key of a workspace is needed"),
            caller.id);
        return false;
    }
    if (request.body.size() > static_cast<std::size_t>(caller.view->limits.max_body_bytes))
    {
        this->refuse(
            response,
            make_rejection(payload_too_large, "Body too large",
                           "allowed: " + std::to_string(caller.view->limits.max_body_bytes) +
                               " bytes"),
            caller.id);
        return false;
    }
    if (const auto error = read_request_headers(request, caller))
    {
        this->refuse(response, *error, caller.id);
        return false;
    }
    return true;
}

auto http_front::handle(const httplib::Request& request, httplib::Response& response) -> void
{
    const active_request active_guard(this->context);
    if (this->context.stopping)
    {
        response.set_header("Connection", "close");
    }
    if (this->handle_host_path(request, response))
    {
        return;
    }
    if (growing_task_queue::is_overflow())
    {
        response.set_header("Connection", "close");
        reply_problem(response,
                      make_rejection(service_unavailable, "Too many connections",
                                     "this host has as many connections as it may"),
                      "");
        return;
    }
    caller_request caller;
    if (!this->prepare_caller_request(request, response, caller))
    {
        return;
    }
    if (caller.route->declared.kind == route_kind::chat)
    {
        this->handle_chat(request, response, caller);
    }
    else
    {
        this->handle_service(request, response, caller);
    }
}

// Chats.

auto http_front::handle_chat(const httplib::Request& request, httplib::Response& response,
                             const caller_request& caller) -> void
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    const auto messages = body.is_object() ? body.find("messages") : body.end();
    if (!body.is_object() || messages == body.end() || !messages->is_array() || messages->empty())
    {
        this->refuse(
            response,
            make_rejection(
                bad_request, "Bad request",
                "the body must be a JSON object in UTF-8 with a member messages that is not empty"),
            caller.id);
        return;
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
    {
        this->refuse(response,
                     make_rejection(bad_request, "Bad request", "stream must be true or false"),
                     caller.id);
        return;
    }
    chat_request chat;
    chat.caller = caller;
    chat.body = request.body;
    chat.stream = stream != body.end() && stream->get<bool>();
    chat.is_new = is_first_turn(*messages);
    chat.conversation = identify_conversation(caller.workspace->id,
                                              request.get_header_value("x-conversation-id"), body);
    chat.hint = parse_affinity_hint(request.get_header_value("x-poplardrift-affinity"),
                                    chat.conversation, this->context.settings.host_secret);
    if (request.has_header("x-poplardrift-via"))
    {
        const auto via = parse_via(request.get_header_value("x-poplardrift-via"),
                                   this->context.settings.host_secret);
        if (!via)
        {
            this->refuse(response,
                         make_rejection(bad_request, "Bad request",
                                        "the request is not forwarded by a host of this fleet"),
                         caller.id);
            return;
        }
        chat.pinned = via->upstream;
        chat.conversation = via->conversation;
        chat.caller.id = via->request;
        this->context.on_load_header(request.get_header_value("x-poplardrift-load"));
        response.set_header("x-poplardrift-load", this->context.make_load_header(caller));
        response.set_header("x-poplardrift-free",
                            this->context.make_free_slots_header(via->upstream));
    }
    chat.forwarded_headers = copy_headers(request, {"accept", "traceparent", "tracestate"});
    auto relay = std::make_shared<chat_relay>(this->context, std::move(chat));
    if (relay->request().stream)
    {
        this->reply_streamed(relay, response);
        return;
    }
    relay->run_unstreamed();
    this->reply_unstreamed(*relay, response);
}

auto http_front::reply_unstreamed(chat_relay& relay, httplib::Response& response) -> void
{
    const auto& caller = relay.request().caller;
    if (relay.had_no_slot())
    {
        response.set_header("x-poplardrift-no-slot", "1");
    }
    if (relay.failure())
    {
        reply_problem(response, *relay.failure(), caller.id);
        return;
    }
    response.status = relay.answer_status_code();
    response.set_header("x-request-id", caller.id);
    response.set_header("x-poplardrift-affinity",
                        format_affinity_hint(relay.request().conversation, relay.serving_upstream(),
                                             this->context.settings.host_secret));
    response.set_content(relay.answer_body(), relay.answer_content_type().empty()
                                                  ? "application/json"
                                                  : relay.answer_content_type());
}

auto http_front::reply_streamed(const std::shared_ptr<chat_relay>& relay,
                                httplib::Response& response) -> void
{
    auto session = std::make_shared<stream_session>(this->context, relay);
    // Runs until the engine's headers have arrived or the request has failed.
    session->task.resume();
    if (!relay->is_committed())
    {
        this->reply_unstreamed(*relay, response);
        return;
    }
    const auto& caller = relay->request().caller;
    response.set_header("x-request-id", caller.id);
    response.set_header("Cache-Control", "no-cache");
    response.set_header("x-poplardrift-affinity",
                        format_affinity_hint(relay->request().conversation,
                                             relay->serving_upstream(),
                                             this->context.settings.host_secret));
    response.set_chunked_content_provider(
        "text/event-stream",
        [session](std::size_t, httplib::DataSink& sink)
        {
            session->sink = &sink;
            session->task.resume();
            session->sink = nullptr;
            if (session->relay->is_complete())
            {
                sink.done();
                return true;
            }
            // The caller can detect the incomplete answer: an error event is sent and the chunked
            // body is not terminated.
            if (session->relay->failure())
            {
                const auto text =
                    "event: error\ndata: " +
                    to_json_text(problem_to_json(*session->relay->failure(),
                                                 session->relay->request().caller.id)) +
                    "\n\n";
                sink.write(text.data(), text.size());
            }
            return false;
        });
}

// Services.

auto http_front::handle_service(const httplib::Request& request, httplib::Response& response,
                                const caller_request& caller) -> void
{
    service_request service_call;
    service_call.caller = caller;
    service_call.method = request.method;
    service_call.target = request.target;
    service_call.body = request.body;
    service_call.key = request.get_header_value("idempotency-key");
    service_call.forwarded = request.has_header("x-poplardrift-forwarded");
    for (const auto& [name, value] : request.headers)
    {
        if (!is_not_forwarded(name))
        {
            service_call.headers.emplace(name, value);
        }
    }
    constexpr std::size_t max_key_length = 255;
    if (service_call.key.size() > max_key_length)
    {
        this->refuse(response,
                     make_rejection(bad_request, "Bad request",
                                    "Idempotency-Key: allowed: up to 255 characters"),
                     caller.id);
        return;
    }
    service_relay relay(this->context, std::move(service_call));
    relay.run();
    if (!relay.result().key.empty())
    {
        response.set_header("Idempotency-Key", relay.result().key);
    }
    if (relay.failure())
    {
        reply_problem(response, *relay.failure(), caller.id);
        return;
    }
    const auto& result = relay.result();
    response.status = result.answer.status;
    response.set_header("x-request-id", caller.id);
    if (result.replayed)
    {
        response.set_header("x-poplardrift-replayed", "true");
    }
    if (!result.answer.body_kept)
    {
        response.set_header("x-poplardrift-body-dropped", "true");
    }
    response.set_content(result.answer.body, result.answer.content_type.empty()
                                                 ? "application/octet-stream"
                                                 : result.answer.content_type);
}

auto http_front::authenticate_workspace(const httplib::Request& request, const routing_view& view,
                                        httplib::Response& response, const std::string& id)
    -> const workspace_view*
{
    const auto* workspace = this->workspace_of(request, view);
    if (workspace == nullptr)
    {
        this->refuse(
            response,
            make_rejection(unauthorized, "Unauthorized", "an API key of a workspace is needed"),
            id);
    }
    return workspace;
}

auto http_front::handle_key_request(const httplib::Request& request, httplib::Response& response)
    -> void
{
    const auto id = this->make_request_id().second;
    const auto view = this->context.admission.view();
    const auto* workspace = this->authenticate_workspace(request, *view, response, id);
    if (workspace == nullptr)
    {
        return;
    }
    response.status = 201;
    response.set_header("x-request-id", id);
    response.set_content(
        to_json_text({{"key", this->context.transactions.issue_ticket(workspace->id)}}),
        "application/json");
}

auto http_front::handle_lookup(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto id = this->make_request_id().second;
    const auto view = this->context.admission.view();
    const auto* workspace = this->authenticate_workspace(request, *view, response, id);
    if (workspace == nullptr)
    {
        return;
    }
    const auto key = request.path.substr(lookup_prefix.size());
    const auto found = this->context.transactions.lookup(workspace->id, key);
    static constexpr const char* names[] = {"none", "running", "done", "unknown"};
    nlohmann::json body = {{"key", key},
                           {"state", names[static_cast<int>(found.key_state)]},
                           {"as_of_offset", found.as_of.value()}};
    if (found.answer)
    {
        body["answer"] = {{"status", found.answer->status},
                          {"content_type", found.answer->content_type},
                          {"body", found.answer->body},
                          {"body_kept", found.answer->body_kept}};
    }
    response.set_header("x-request-id", id);
    response.set_content(to_json_text(body), "application/json");
}

} // namespace poplardrift
