#pragma once

#include "daemon/traffic_context.hpp"
#include "net/http_listener.hpp"

namespace poplardrift
{

/// HTTP interface for operators: status, configuration, audit trail, recent events, metrics, and
/// signed configuration changes.
class admin_api final
{
public:
    explicit admin_api(traffic_context& context);

    [[nodiscard]] auto start() -> bool { return this->listener.start(); }
    auto stop() -> void { this->listener.stop(); }

private:
    auto handle_status(httplib::Response& response) -> void;
    auto handle_config(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_audit(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_change(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_change_lookup(const std::string& id, httplib::Response& response) -> void;
    [[nodiscard]] auto validate_change(const config_change& change) -> std::vector<config_error>;
    [[nodiscard]] auto wait_for_change(const std::string& id) -> std::optional<audit_entry>;

    traffic_context& context;
    http_listener listener;
};

/// Audit entry in the form of the admin API.
[[nodiscard]] auto to_json(const audit_entry& entry) -> nlohmann::json;

} // namespace poplardrift
