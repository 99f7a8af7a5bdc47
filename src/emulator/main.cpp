#include "emulator/engine.hpp"
#include "emulator/link_relay.hpp"
#include "emulator/plain_service.hpp"
#include "emulator/platform.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>

namespace
{

using namespace poplardrift;
using namespace poplardrift::emulator;

/// All stand-ins of one run and the calls that steer them.
class stand_ins final
{
public:
    explicit stand_ins(const nlohmann::json& settings)
        : around(settings), listener({.address = settings.at("platform").at("address"),
                                      .port = settings.at("platform").at("port"),
                                      .idle_seconds = 60,
                                      .max_request_body_bytes = 256u << 20}),
          store(settings.at("platform"), around, listener.server())
    {
        const auto defaults = settings.value("defaults", nlohmann::json::object());
        this->group.set_bound(settings.value("load_bound", 1.25));
        for (const auto& item : settings.value("engines", nlohmann::json::array()))
        {
            this->engines.push_back(
                std::make_unique<engine>(item, defaults, this->around, this->group));
            this->group.add(this->engines.back().get());
        }
        for (const auto& item : settings.value("services", nlohmann::json::array()))
        {
            this->services.push_back(
                std::make_unique<plain_service>(item, defaults, this->around, this->ledger));
        }
        if (settings.value("links", true))
        {
            this->make_links();
        }
        this->set_calls();
    }

    [[nodiscard]] auto start() -> bool
    {
        for (auto& item : this->engines)
        {
            if (!item->start())
            {
                std::cerr << "cannot listen for " << item->name() << "\n";
                return false;
            }
        }
        for (auto& item : this->services)
        {
            if (!item->start())
            {
                std::cerr << "cannot listen for " << item->name() << "\n";
                return false;
            }
        }
        return this->listener.start();
    }

private:
    auto make_links() -> void
    {
        for (const auto& from : this->around.hosts())
        {
            for (const auto& to : this->around.hosts())
            {
                if (from.name != to.name)
                {
                    this->links.push_back(std::make_unique<link_relay>(this->around, from, to));
                    this->store.set_link(from.name, to.name, this->links.back()->port());
                }
            }
        }
    }

    auto set_calls() -> void
    {
        auto& http = this->listener.server();
        http.Post("/control", [this](const auto& request, auto& response)
                  { this->control(request, response); });
        http.Get("/stats",
                 [this](const auto&, auto& response) { reply(response, 200, this->stats()); });
        http.Post("/stats/reset",
                  [this](const auto& request, auto& response)
                  {
                      this->reset(request.has_param("keep_violations"));
                      reply(response, 200, {{"reset", true}});
                  });
        http.Get(R"(/bookings/(.+))",
                 [this](const auto& request, auto& response) {
                     reply(response, 200, {{"count", this->ledger.count(request.matches[1])}});
                 });
    }

    auto control(const httplib::Request& request, httplib::Response& response) -> void
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object())
        {
            reply(response, 400, {{"error", "a JSON object is needed"}});
            return;
        }
        const auto set = body.value("set", nlohmann::json::object());
        for (auto& item : this->engines)
        {
            if (body.value("engine", "") == item->name() || body.value("engine", "") == "*")
            {
                item->set_faults(set);
            }
        }
        for (auto& item : this->services)
        {
            if (body.value("service", "") == item->name() || body.value("service", "") == "*")
            {
                item->set_faults(set);
            }
        }
        if (body.contains("log"))
        {
            this->store.set_log_faults(body["log"]);
        }
        if (body.contains("hosts"))
        {
            this->store.set_host_faults(body["hosts"]);
        }
        if (body.contains("cut"))
        {
            this->around.set_cuts(body["cut"]);
        }
        if (body.contains("silence_links"))
        {
            for (auto& link : this->links)
            {
                link->silence_present();
            }
        }
        if (body.contains("expect_out"))
        {
            this->around.set_out(body["expect_out"].at("name"), body["expect_out"].at("out"));
        }
        reply(response, 200, {{"done", true}});
    }

    [[nodiscard]] auto stats() -> nlohmann::json
    {
        nlohmann::json result = {{"violations", this->around.violations().to_json()},
                                 {"violation_times_ms", this->around.violations().times_to_json()},
                                 {"skew_max_over_mean", this->group.highest_skew()},
                                 {"bookings", this->ledger.size()},
                                 {"doubled", this->ledger.doubled()},
                                 {"platform", this->store.stats()}};
        result["engines"] = nlohmann::json::array();
        for (const auto& item : this->engines)
        {
            result["engines"].push_back(item->stats());
        }
        for (const auto& item : this->services)
        {
            result["services"].push_back(item->stats());
        }
        for (const auto& link : this->links)
        {
            auto& bytes = result["link_bytes"][link->from_host().name];
            bytes = (bytes.is_null() ? std::int64_t{0} : bytes.get<std::int64_t>()) + link->bytes();
        }
        return result;
    }

    auto reset(bool keep_violations) -> void
    {
        if (!keep_violations)
        {
            this->around.violations().reset();
        }
        this->group.reset();
        this->store.reset_stats();
        for (auto& item : this->engines)
        {
            item->reset_stats();
        }
    }

    world around;
    http_listener listener;
    engine_group group;
    booking_ledger ledger;
    platform store;
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<plain_service>> services;
    std::vector<std::unique_ptr<link_relay>> links;
};

auto wait_for_signal() -> void
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    CLI::App app(
        "poplardrift-emulator: stand-ins for the platform, model engines and plain services");
    std::string path;
    app.add_option("--settings", path, "JSON file with hosts, engines and services")->required();
    app.set_version_flag("--version", POPLARDRIFT_VERSION);
    app.footer("Exit codes: 0 stopped by a signal, 2 bad settings, 3 an address is taken.");
    CLI11_PARSE(app, argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::ifstream file(path);
    const auto settings = nlohmann::json::parse(file, nullptr, false);
    if (!settings.is_object() || !settings.contains("platform"))
    {
        std::cerr << path << ": not a JSON object with a member platform\n";
        return 2;
    }
    auto* all = new stand_ins(settings);
    if (!all->start())
    {
        return 3;
    }
    std::cout << "ready\n" << std::flush;
    wait_for_signal();
    // Connections may wait for minutes; the process ends without them.
    std::_Exit(0);
}
