#include "daemon/admin_api.hpp"

#include "net/clock.hpp"
#include "poplardrift/base/json_text.hpp"

#include <thread>

namespace poplardrift
{

namespace
{

/// Longest time that a request waits for its change to be read back from the log.
constexpr duration change_timeout = std::chrono::seconds(4);
constexpr duration change_poll_interval = std::chrono::milliseconds(10);
constexpr std::size_t max_change_bytes = 64u << 20;

auto send_json(httplib::Response& response, int status, const nlohmann::json& body) -> void
{
    response.status = status;
    response.set_content(to_json_text(body, 2) + "\n", "application/json");
}

auto upstream_state_name(upstream_state state) -> const char*
{
    static constexpr const char* names[] = {"cold", "warm", "ejected", "leaving"};
    return names[static_cast<int>(state)];
}

auto member_status_name(member_status status) -> const char*
{
    static constexpr const char* names[] = {"alive", "suspect", "leaving", "absent"};
    return names[static_cast<int>(status)];
}

auto errors_to_json(const std::vector<config_error>& errors) -> nlohmann::json
{
    auto result = nlohmann::json::array();
    for (const auto& error : errors)
    {
        result.push_back({{"where", error.where}, {"what", error.what}});
    }
    return result;
}

} // namespace

auto to_json(const audit_entry& entry) -> nlohmann::json
{
    return {{"offset", entry.offset.value()},
            {"time_ms", entry.time.count()},
            {"change_id", entry.change_id},
            {"author", entry.author},
            {"team", entry.team},
            {"accepted", entry.accepted},
            {"reason", entry.reason},
            {"paths", entry.paths},
            {"before", entry.before},
            {"after", entry.after}};
}

admin_api::admin_api(traffic_context& context)
    : context(context), listener({.address = context.settings.admin_address,
                                  .port = context.settings.admin_port,
                                  .max_connections = 256,
                                  .max_request_body_bytes = max_change_bytes})
{
    auto& http = this->listener.server();
    http.Get("/admin/v1/status",
             [this](const auto&, auto& response) { this->handle_status(response); });
    http.Get("/admin/v1/config", [this](const auto& request, auto& response)
             { this->handle_config(request, response); });
    http.Get("/admin/v1/audit", [this](const auto& request, auto& response)
             { this->handle_audit(request, response); });
    http.Get("/admin/v1/events",
             [this](const auto&, auto& response) {
                 send_json(response, 200, {{"events", this->context.log.recent()}});
             });
    http.Post("/admin/v1/changes", [this](const auto& request, auto& response)
              { this->handle_change(request, response); });
    http.Get(R"(/admin/v1/changes/([^/]+))", [this](const auto& request, auto& response)
             { this->handle_change_lookup(request.matches[1], response); });
    http.Get("/metrics",
             [this](const auto&, auto& response) {
                 response.set_content(this->context.process_metrics.to_text(),
                                      "text/plain; version=0.0.4");
             });
}

auto admin_api::handle_status(httplib::Response& response) -> void
{
    auto body = this->context.control.inspect(
        [](const control_core& core)
        {
            nlohmann::json result = {{"log_reachable", core.log_is_reachable()},
                                     {"configuration_offset", core.config().applied().value()},
                                     {"configuration_complete", core.config().is_complete()},
                                     {"control_bytes", core.traffic().total()},
                                     {"hosts", nlohmann::json::array()},
                                     {"upstreams", nlohmann::json::array()},
                                     {"zones", nlohmann::json::object()}};
            const auto offsets = core.configuration_offsets();
            for (const auto& [id, item] : core.members().members())
            {
                const auto offset = offsets.find(item.where.name);
                result["hosts"].push_back({{"name", item.where.name},
                                           {"zone", item.where.zone},
                                           {"status", member_status_name(item.status)},
                                           {"listed", item.listed},
                                           {"configuration_offset",
                                            offset == offsets.end() ? 0 : offset->second.value()}});
            }
            for (const auto& item : core.overview(monotonic_now()))
            {
                result["upstreams"].push_back({{"path", item.path},
                                               {"owner", item.owner},
                                               {"state", upstream_state_name(item.state)},
                                               {"limit", item.limit},
                                               {"in_use", item.in_use},
                                               {"promised", item.granted}});
            }
            for (const auto& [name, zone] : core.declared().zones)
            {
                result["zones"][name] = zone.in_service ? "in" : "out";
            }
            return result;
        });
    body["host"] = this->context.settings.host.name;
    body["zone"] = this->context.settings.host.zone;
    body["version"] = POPLARDRIFT_VERSION;
    body["not_ready"] =
        this->context.stopping ? "leaving" : this->context.control.not_ready_reason();
    body["active_requests"] = this->context.active_requests.load();
    body["transactions_recovered"] = this->context.transactions.is_recovered();
    send_json(response, 200, body);
}

auto admin_api::handle_config(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto prefix = request.get_param_value("prefix");
    const auto body = this->context.control.inspect(
        [&](const control_core& core)
        {
            nlohmann::json entries = nlohmann::json::object();
            for (const auto& [path, entry] : core.config().entries())
            {
                if (path.starts_with(prefix))
                {
                    entries[path] = {
                        {"version", entry.version.value()},
                        {"value", entry.value ? *entry.value : nlohmann::json(nullptr)}};
                }
            }
            return nlohmann::json{{"offset", core.config().applied().value()},
                                  {"entries", std::move(entries)}};
        });
    send_json(response, 200, body);
}

auto admin_api::handle_audit(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto path = request.get_param_value("path");
    const auto limit = request.has_param("limit")
                           ? std::strtoul(request.get_param_value("limit").c_str(), nullptr, 10)
                           : 50;
    const auto body = this->context.control.inspect(
        [&](const control_core& core)
        {
            auto entries = nlohmann::json::array();
            const auto& trail = core.config().audit();
            for (auto entry = trail.rbegin(); entry != trail.rend() && entries.size() < limit;
                 ++entry)
            {
                const auto matches =
                    path.empty() ||
                    std::any_of(entry->paths.begin(), entry->paths.end(),
                                [&](const auto& item) { return item.starts_with(path); });
                if (matches)
                {
                    entries.push_back(to_json(*entry));
                }
            }
            return nlohmann::json{{"entries", std::move(entries)}};
        });
    send_json(response, 200, body);
}

auto admin_api::validate_change(const config_change& change) -> std::vector<config_error>
{
    return this->context.control.inspect(
        [&](const control_core& core)
        {
            std::vector<config_error> errors;
            if (const auto rejection = core.config().check(change))
            {
                errors.push_back({"change " + change.id, *rejection});
                return errors;
            }
            auto values = core.config().values();
            for (const auto& item : change.sets)
            {
                values.erase(item.path);
                if (item.value)
                {
                    values[item.path] = *item.value;
                    declarations scratch;
                    read_declaration(item.path, *item.value, scratch, errors, unknown_keys::refuse);
                }
            }
            std::vector<config_error> ignored_errors;
            check_consistency(read_declarations(values, ignored_errors, unknown_keys::ignore),
                              errors);
            return errors;
        });
}

auto admin_api::wait_for_change(const std::string& id) -> std::optional<audit_entry>
{
    const auto until = monotonic_now() + change_timeout;
    while (monotonic_now() < until)
    {
        auto entry = this->context.control.inspect([&](const control_core& core)
                                                   { return core.config().result_of(id); });
        if (entry)
        {
            return entry;
        }
        std::this_thread::sleep_for(change_poll_interval);
    }
    return std::nullopt;
}

auto admin_api::handle_change(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto document = nlohmann::json::parse(request.body, nullptr, false);
    const auto change = config_change::from_json(document);
    if (!change)
    {
        send_json(response, 400, {{"result", "refused"}, {"reason", change.failure_reason()}});
        return;
    }
    // A repeated change gets its recorded result.
    if (const auto earlier = this->context.control.inspect(
            [&](const control_core& core) { return core.config().result_of(change->id); }))
    {
        send_json(
            response, earlier->accepted ? 200 : 409,
            {{"result", earlier->accepted ? "accepted" : "refused"}, {"entry", to_json(*earlier)}});
        return;
    }
    const auto errors = this->validate_change(*change);
    if (!errors.empty())
    {
        send_json(response, 422,
                  {{"result", "refused"},
                   {"reason", errors.front().text()},
                   {"errors", errors_to_json(errors)}});
        return;
    }
    log_client client(this->context.settings.platform);
    const auto appended = client.append("config", {change->to_json()});
    this->context.control.post(control_bytes_spent{control_traffic::log, client.take_bytes()});
    if (appended == append_result::not_appended)
    {
        send_json(response, 503,
                  {{"result", "not-appended"}, {"reason", "the platform's log cannot be reached"}});
        return;
    }
    // Log order decides whether the change is accepted, so wait until it is read back. This also
    // resolves an append whose response was lost.
    const auto entry = this->wait_for_change(change->id);
    if (!entry)
    {
        send_json(response, 202,
                  {{"result", "unknown"},
                   {"reason", "the change has not been read back yet; ask for its id later"},
                   {"change_id", change->id}});
        return;
    }
    send_json(response, entry->accepted ? 200 : 409,
              {{"result", entry->accepted ? "accepted" : "refused"},
               {"reason", entry->reason},
               {"entry", to_json(*entry)}});
}

auto admin_api::handle_change_lookup(const std::string& id, httplib::Response& response) -> void
{
    const auto entry = this->context.control.inspect([&](const control_core& core)
                                                     { return core.config().result_of(id); });
    if (!entry)
    {
        send_json(response, 404, {{"result", "unknown"}, {"change_id", id}});
        return;
    }
    send_json(response, 200,
              {{"result", entry->accepted ? "accepted" : "refused"}, {"entry", to_json(*entry)}});
}

} // namespace poplardrift
