#include "daemon/admin_api.hpp"

#include "net/clock.hpp"

#include <thread>

namespace poplardrift
{

namespace
{

constexpr duration change_patience = std::chrono::seconds(4);
constexpr duration poll_pause = std::chrono::milliseconds(10);
constexpr std::size_t largest_change = 64u << 20;

auto reply(httplib::Response& response, int status, const nlohmann::json& body) -> void
{
    response.status = status;
    response.set_content(body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n",
                         "application/json");
}

auto state_text(upstream_state state) -> const char*
{
    static constexpr const char* names[] = {"cold", "warm", "ejected", "leaving"};
    return names[static_cast<int>(state)];
}

auto member_text(member_status status) -> const char*
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
                                  .max_request_body_bytes = largest_change})
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
                 reply(response, 200, {{"events", this->context.log.recent()}});
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
                                           {"status", member_text(item.status)},
                                           {"listed", item.listed},
                                           {"configuration_offset",
                                            offset == offsets.end() ? 0 : offset->second.value()}});
            }
            for (const auto& item : core.overview(monotonic_now()))
            {
                result["upstreams"].push_back({{"path", item.path},
                                               {"owner", item.owner},
                                               {"state", state_text(item.state)},
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
    reply(response, 200, body);
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
    reply(response, 200, body);
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
                const auto touches =
                    path.empty() ||
                    std::any_of(entry->paths.begin(), entry->paths.end(),
                                [&](const auto& item) { return item.starts_with(path); });
                if (touches)
                {
                    entries.push_back(to_json(*entry));
                }
            }
            return nlohmann::json{{"entries", std::move(entries)}};
        });
    reply(response, 200, body);
}

auto admin_api::find_faults(const config_change& change) -> std::vector<config_error>
{
    return this->context.control.inspect(
        [&](const control_core& core)
        {
            std::vector<config_error> errors;
            if (const auto refusal = core.config().check(change))
            {
                errors.push_back({"change " + change.id, *refusal});
                return errors;
            }
            auto values = core.config().values();
            for (const auto& item : change.sets)
            {
                values.erase(item.path);
                if (item.value)
                {
                    values[item.path] = *item.value;
                    declarations alone;
                    read_declaration(item.path, *item.value, alone, errors, unknown_keys::refuse);
                }
            }
            std::vector<config_error> others;
            cross_check(read_declarations(values, others, unknown_keys::ignore), errors);
            return errors;
        });
}

auto admin_api::wait_for_change(const std::string& id) -> std::optional<audit_entry>
{
    const auto until = monotonic_now() + change_patience;
    while (monotonic_now() < until)
    {
        auto entry = this->context.control.inspect([&](const control_core& core)
                                                   { return core.config().result_of(id); });
        if (entry)
        {
            return entry;
        }
        std::this_thread::sleep_for(poll_pause);
    }
    return std::nullopt;
}

auto admin_api::handle_change(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto document = nlohmann::json::parse(request.body, nullptr, false);
    const auto change = config_change::from_json(document);
    if (!change)
    {
        reply(response, 400, {{"result", "refused"}, {"reason", change.last_reason()}});
        return;
    }
    // A repeat of a change that is known gets what became of it.
    if (const auto known = this->context.control.inspect(
            [&](const control_core& core) { return core.config().result_of(change->id); }))
    {
        reply(response, known->accepted ? 200 : 409,
              {{"result", known->accepted ? "accepted" : "refused"}, {"entry", to_json(*known)}});
        return;
    }
    const auto faults = this->find_faults(*change);
    if (!faults.empty())
    {
        reply(response, 422,
              {{"result", "refused"},
               {"reason", faults.front().text()},
               {"errors", errors_to_json(faults)}});
        return;
    }
    log_client client(this->context.settings.platform);
    const auto appended = client.append("config", {change->to_json()});
    this->context.control.post(control_bytes_spent{control_traffic::log, client.take_bytes()});
    if (appended == append_result::not_appended)
    {
        reply(response, 503,
              {{"result", "not-appended"}, {"reason", "the platform's log cannot be reached"}});
        return;
    }
    // What the log has decided is read back; a lost answer is settled the same way.
    const auto entry = this->wait_for_change(change->id);
    if (!entry)
    {
        reply(response, 202,
              {{"result", "unknown"},
               {"reason", "the change has not been read back yet; ask for its id later"},
               {"change_id", change->id}});
        return;
    }
    reply(response, entry->accepted ? 200 : 409,
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
        reply(response, 404, {{"result", "unknown"}, {"change_id", id}});
        return;
    }
    reply(response, 200,
          {{"result", entry->accepted ? "accepted" : "refused"}, {"entry", to_json(*entry)}});
}

} // namespace poplardrift
