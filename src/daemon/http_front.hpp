#pragma once

#include "daemon/chat_relay.hpp"
#include "daemon/service_relay.hpp"
#include "daemon/traffic_context.hpp"
#include "net/http_listener.hpp"

#include <string>

namespace poplardrift
{

/// HTTP interface for callers: validates each request, finds its route and workspace and passes it
/// to the relay for its kind. Handlers run on the listener's threads.
class http_front final
{
public:
    http_front(traffic_context& context, std::string id_prefix);

    [[nodiscard]] auto start() -> bool { return this->listener.start(); }
    auto stop() -> void { this->listener.stop(); }

private:
    auto handle(const httplib::Request& request, httplib::Response& response) -> void;
    /// Serves paths of the host itself, such as health and metrics. False for other paths.
    [[nodiscard]] auto handle_host_path(const httplib::Request& request,
                                        httplib::Response& response) -> bool;
    /// Fills `caller`, or refuses the request and returns false.
    [[nodiscard]] auto prepare_caller_request(const httplib::Request& request,
                                              httplib::Response& response, caller_request& caller)
        -> bool;
    [[nodiscard]] auto check_size(const httplib::Request& request) const -> std::optional<problem>;
    auto handle_chat(const httplib::Request& request, httplib::Response& response,
                     const caller_request& caller) -> void;
    auto handle_service(const httplib::Request& request, httplib::Response& response,
                        const caller_request& caller) -> void;
    auto handle_key_request(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_lookup(const httplib::Request& request, httplib::Response& response) -> void;
    auto reply_streamed(const std::shared_ptr<chat_relay>& relay, httplib::Response& response)
        -> void;
    auto reply_unstreamed(chat_relay& relay, httplib::Response& response) -> void;
    [[nodiscard]] auto workspace_of(const httplib::Request& request, const routing_view& view) const
        -> const workspace_view*;
    /// Returns null and refuses the request when it has no API key of a workspace.
    [[nodiscard]] auto authenticate_workspace(const httplib::Request& request,
                                              const routing_view& view, httplib::Response& response,
                                              const std::string& id) -> const workspace_view*;
    [[nodiscard]] auto make_request_id() -> std::pair<request_id, std::string>;
    auto refuse(httplib::Response& response, const problem& error, const std::string& id) -> void;

    traffic_context& context;
    std::string id_prefix;
    http_listener listener;
};

} // namespace poplardrift
