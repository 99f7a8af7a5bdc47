#include "daemon/http_front.hpp"

#include "daemon/forwarding.hpp"
#include "net/clock.hpp"
#include "net/growing_task_queue.hpp"
#include "net/resumable_task.hpp"
#include "poplardrift/base/crypto.hpp"
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
/// Room above the declared limit, so that this host answers in its own words.
constexpr std::size_t largest_body_read = 64u << 20;
constexpr const char* key_path = "/v1/transaction-keys";
constexpr std::string_view lookup_prefix = "/v1/transactions/";

auto not_run(int status, std::string title, std::string detail) -> problem
{
    return {status, std::move(title), std::move(detail), request_outcome::not_run,
            status == service_unavailable ? 1 : 0};
}

/// Headers that belong to one connection or that this host sets anew.
auto is_own_header(const std::string& name) -> bool
{
    static constexpr std::string_view own[] = {
        "connection",  "keep-alive", "transfer-encoding", "content-length",  "host",
        "te",          "upgrade",    "x-request-id",      "x-deadline-ms",   "remote_addr",
        "remote_port", "local_addr", "local_port",        "accept-encoding", "expect"};
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return std::find(std::begin(own), std::end(own), lower) != std::end(own);
}

auto pass_headers(const httplib::Request& request, std::initializer_list<const char*> names)
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

/// True when the assistant has said nothing yet.
auto is_first_turn(const nlohmann::json& messages) -> bool
{
    return std::none_of(messages.begin(), messages.end(),
                        [](const auto& item) {
                            return item.is_object() &&
                                   item.value("role", nlohmann::json()) == "assistant";
                        });
}

/// Counts a request as active for as long as it lives.
class active_request final
{
public:
    explicit active_request(traffic_context& context) : context(context) { ++this->context.active; }
    ~active_request() { --this->context.active; }
    active_request(const active_request&) = delete;
    auto operator=(const active_request&) -> active_request& = delete;

private:
    traffic_context& context;
};

/// A streamed answer between the handler, which fixes the status, and the writing of its body.
struct stream_session
{
    explicit stream_session(traffic_context& context, std::shared_ptr<chat_relay> relay)
        : held(context), relay(std::move(relay)),
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

    active_request held;
    std::shared_ptr<chat_relay> relay;
    httplib::DataSink* sink = nullptr;
    resumable_task task;
};

} // namespace

http_front::http_front(traffic_context& context, std::string id_prefix)
    : context(context), id_prefix(std::move(id_prefix)),
      listener({.address = context.settings.host.address,
                .port = context.settings.host.http_port,
                .most_connections = context.settings.most_connections,
                .idle_seconds = static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(
                                                     context.settings.idle_connection)
                                                     .count()),
                .most_body_bytes = largest_body_read,
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
            // Faults that the HTTP library finds itself.
            if (response.body.empty())
            {
                reply_problem(
                    response,
                    not_run(response.status, "Bad request", "the request could not be read"), "");
            }
        });
}

auto http_front::new_id() -> std::pair<request_id, std::string>
{
    const auto number = this->context.slots.next_request_id();
    return {number, this->id_prefix + "-" + std::to_string(number.value())};
}

auto http_front::refuse(httplib::Response& response, const problem& fault, const std::string& id)
    -> void
{
    this->context.log.write(event_code::request_invalid, "request " + id + ": " + fault.detail);
    reply_problem(response, fault, id);
}

auto http_front::handle_own_path(const httplib::Request& request, httplib::Response& response)
    -> bool
{
    if (request.path == "/healthz")
    {
        response.set_content("ok\n", "text/plain");
    }
    else if (request.path == "/readyz")
    {
        const auto reason =
            this->context.leaving ? "leaving" : this->context.control.not_ready_reason();
        response.status = reason.empty() ? 200 : service_unavailable;
        response.set_content((reason.empty() ? "ready" : reason) + "\n", "text/plain");
    }
    else if (request.path == "/metrics")
    {
        response.set_content(this->context.figures.to_text(), "text/plain; version=0.0.4");
    }
    else if (request.path == key_path && request.method == "POST")
    {
        this->handle_new_key(request, response);
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
        return not_run(headers_too_large, "Headers too large",
                       "allowed: " + std::to_string(this->context.settings.most_header_bytes) +
                           " bytes");
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

auto http_front::identify(const httplib::Request& request, httplib::Response& response,
                          caller_request& caller) -> bool
{
    caller.arrived = monotonic_now();
    std::tie(caller.number, caller.id) = this->new_id();
    caller.view = this->context.slots.view();
    if (const auto repeated = find_repeated_header(request))
    {
        this->refuse(response,
                     not_run(bad_request, "Bad request",
                             "the header " + *repeated + " stands more than once"),
                     caller.id);
        return false;
    }
    if (const auto fault = this->check_size(request))
    {
        this->refuse(response, *fault, caller.id);
        return false;
    }
    const auto reason = this->context.control.not_ready_reason();
    if (caller.view->routes.empty())
    {
        this->refuse(
            response,
            not_run(service_unavailable, "Not ready", reason.empty() ? "no routes" : reason),
            caller.id);
        return false;
    }
    caller.route = caller.view->match(request.method, request.path);
    if (caller.route == nullptr)
    {
        this->refuse(
            response,
            not_run(not_found, "No route", "no route takes " + request.method + " " + request.path),
            caller.id);
        return false;
    }
    caller.workspace = this->workspace_of(request, *caller.view);
    caller.api_key = api_key_of(request);
    if (caller.workspace == nullptr)
    {
        this->refuse(response,
                     not_run(unauthorized, "Unauthorized", "an API key of a workspace is needed"),
                     caller.id);
        return false;
    }
    if (request.body.size() > static_cast<std::size_t>(caller.view->limits.max_body_bytes))
    {
        this->refuse(
            response,
            not_run(payload_too_large, "Body too large",
                    "allowed: " + std::to_string(caller.view->limits.max_body_bytes) + " bytes"),
            caller.id);
        return false;
    }
    if (const auto fault = read_request_headers(request, caller))
    {
        this->refuse(response, *fault, caller.id);
        return false;
    }
    return true;
}

auto http_front::handle(const httplib::Request& request, httplib::Response& response) -> void
{
    const active_request held(this->context);
    if (this->context.leaving)
    {
        response.set_header("Connection", "close");
    }
    if (this->handle_own_path(request, response))
    {
        return;
    }
    if (growing_task_queue::is_overflow())
    {
        response.set_header("Connection", "close");
        reply_problem(response,
                      not_run(service_unavailable, "Too many connections",
                              "this host has as many connections as it may"),
                      "");
        return;
    }
    caller_request caller;
    if (!this->identify(request, response, caller))
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
            not_run(
                bad_request, "Bad request",
                "the body must be a JSON object in UTF-8 with a member messages that is not empty"),
            caller.id);
        return;
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean())
    {
        this->refuse(response, not_run(bad_request, "Bad request", "stream must be true or false"),
                     caller.id);
        return;
    }
    chat_request asked;
    asked.caller = caller;
    asked.body = request.body;
    asked.stream = stream != body.end() && stream->get<bool>();
    asked.is_new = is_first_turn(*messages);
    asked.conversation = identify_conversation(caller.workspace->id,
                                               request.get_header_value("x-conversation-id"), body);
    asked.hint = parse_affinity_hint(request.get_header_value("x-poplardrift-affinity"),
                                     asked.conversation, this->context.settings.host_secret);
    if (request.has_header("x-poplardrift-via"))
    {
        const auto via = parse_via(request.get_header_value("x-poplardrift-via"),
                                   this->context.settings.host_secret);
        if (!via)
        {
            this->refuse(response,
                         not_run(bad_request, "Bad request",
                                 "the request is not forwarded by a host of this fleet"),
                         caller.id);
            return;
        }
        asked.pinned = via->upstream;
        asked.conversation = via->conversation;
        asked.caller.id = via->request;
        this->context.hear_load(request.get_header_value("x-poplardrift-load"));
        response.set_header("x-poplardrift-load", this->context.load_text(caller));
        response.set_header("x-poplardrift-free", this->context.free_text(via->upstream));
    }
    asked.forwarded = pass_headers(request, {"accept", "traceparent", "tracestate"});
    auto relay = std::make_shared<chat_relay>(this->context, std::move(asked));
    if (relay->request().stream)
    {
        this->answer_stream(relay, response);
        return;
    }
    relay->run_whole();
    this->answer_whole(*relay, response);
}

auto http_front::answer_whole(chat_relay& relay, httplib::Response& response) -> void
{
    const auto& caller = relay.request().caller;
    if (relay.had_no_slot())
    {
        response.set_header("x-poplardrift-no-slot", "1");
    }
    if (relay.fault())
    {
        reply_problem(response, *relay.fault(), caller.id);
        return;
    }
    response.status = relay.whole_status();
    response.set_header("x-request-id", caller.id);
    response.set_header("x-poplardrift-affinity",
                        format_affinity_hint(relay.request().conversation, relay.place(),
                                             this->context.settings.host_secret));
    response.set_content(relay.whole_answer(),
                         relay.whole_type().empty() ? "application/json" : relay.whole_type());
}

auto http_front::answer_stream(const std::shared_ptr<chat_relay>& relay,
                               httplib::Response& response) -> void
{
    auto session = std::make_shared<stream_session>(this->context, relay);
    // Runs until the engine's headers are there, or until there is no answer.
    session->task.resume();
    if (!relay->is_committed())
    {
        this->answer_whole(*relay, response);
        return;
    }
    const auto& caller = relay->request().caller;
    response.set_header("x-request-id", caller.id);
    response.set_header("Cache-Control", "no-cache");
    response.set_header("x-poplardrift-affinity",
                        format_affinity_hint(relay->request().conversation, relay->place(),
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
            // The answer ends visibly broken: an error event, and no end of the chunked body.
            if (session->relay->fault())
            {
                const auto text =
                    "event: error\ndata: " +
                    problem_to_json(*session->relay->fault(), session->relay->request().caller.id)
                        .dump() +
                    "\n\n";
                sink.write(text.data(), text.size());
            }
            return false;
        });
}

// Plain services.

auto http_front::handle_service(const httplib::Request& request, httplib::Response& response,
                                const caller_request& caller) -> void
{
    service_request asked;
    asked.caller = caller;
    asked.method = request.method;
    asked.target = request.target;
    asked.body = request.body;
    asked.key = request.get_header_value("idempotency-key");
    asked.forwarded = request.has_header("x-poplardrift-forwarded");
    for (const auto& [name, value] : request.headers)
    {
        if (!is_own_header(name))
        {
            asked.headers.emplace(name, value);
        }
    }
    constexpr std::size_t longest_key = 255;
    if (asked.key.size() > longest_key)
    {
        this->refuse(
            response,
            not_run(bad_request, "Bad request", "Idempotency-Key: allowed: up to 255 characters"),
            caller.id);
        return;
    }
    service_relay relay(this->context, std::move(asked));
    relay.run();
    if (!relay.result().key.empty())
    {
        response.set_header("Idempotency-Key", relay.result().key);
    }
    if (relay.fault())
    {
        reply_problem(response, *relay.fault(), caller.id);
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

auto http_front::workspace_or_refusal(const httplib::Request& request, const routing_view& view,
                                      httplib::Response& response, const std::string& id)
    -> const workspace_view*
{
    const auto* workspace = this->workspace_of(request, view);
    if (workspace == nullptr)
    {
        this->refuse(response,
                     not_run(unauthorized, "Unauthorized", "an API key of a workspace is needed"),
                     id);
    }
    return workspace;
}

auto http_front::handle_new_key(const httplib::Request& request, httplib::Response& response)
    -> void
{
    const auto id = this->new_id().second;
    const auto view = this->context.slots.view();
    const auto* workspace = this->workspace_or_refusal(request, *view, response, id);
    if (workspace == nullptr)
    {
        return;
    }
    response.status = 201;
    response.set_header("x-request-id", id);
    response.set_content(
        nlohmann::json{{"key", this->context.transactions.issue_ticket(workspace->id)}}.dump(),
        "application/json");
}

auto http_front::handle_lookup(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto id = this->new_id().second;
    const auto view = this->context.slots.view();
    const auto* workspace = this->workspace_or_refusal(request, *view, response, id);
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
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                         "application/json");
}

} // namespace poplardrift
