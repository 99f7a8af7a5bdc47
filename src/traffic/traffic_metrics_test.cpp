#include "traffic/traffic_metrics.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <regex>
#include <sstream>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

auto read_whole(const std::string& path) -> std::string
{
    std::ifstream file(path);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Exposition text with one series of each metric.
auto scraped() -> std::string
{
    traffic::traffic_metrics metrics;
    metrics.count_outcome("r", "done", 100ms);
    metrics.count_send("s", true);
    metrics.count_denied_retry("s");
    metrics.count_ejection("s");
    metrics.count_load_report("s", false);
    metrics.observe_estimate("s", 1.5);
    metrics.count_peer_bytes(100);
    metrics.set_sessions(3);
    return metrics.to_text();
}

} // namespace

TEST_CASE("alert rules and the dashboard refer only to existing metrics")
{
    const auto text = scraped();
    const std::string folder = POPLARDRIFT_SOURCE_DIR "/deploy/observability/";
    CHECK(nlohmann::json::accept(read_whole(folder + "dashboard.json")));
    for (const auto* const name : {"alerts.yml", "dashboard.json"})
    {
        const auto file = read_whole(folder + name);
        const std::regex metric("poplardrift_[a-z_]+");
        auto found = std::sregex_iterator(file.begin(), file.end(), metric);
        CHECK(found != std::sregex_iterator());
        for (; found != std::sregex_iterator(); ++found)
        {
            CHECK(text.find("\n" + found->str()) != std::string::npos);
        }
    }
}

TEST_CASE("metrics are labeled by route, outcome and service")
{
    const auto text = scraped();
    CHECK(text.find(R"(poplardrift_requests_total{outcome="done",route="r"} 1)") !=
          std::string::npos);
    CHECK(text.find(R"(poplardrift_sends_total{repeat="true",service="s"} 1)") !=
          std::string::npos);
    CHECK(text.find(R"(poplardrift_first_output_seconds_bucket{route="r",le="0.1"} 1)") !=
          std::string::npos);
    CHECK(text.find("poplardrift_peer_bytes_total 100") != std::string::npos);
    CHECK(text.find("poplardrift_caller_connections 3") != std::string::npos);
}
