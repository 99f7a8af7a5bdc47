#include "daemon/settings.hpp"
#include "poplardrift/base/events.hpp"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace poplardrift;

namespace
{

auto read_file(const std::string& name) -> std::string
{
    std::ifstream file(std::string(POPLARDRIFT_SOURCE_DIR) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto make_settings() -> nlohmann::json
{
    return nlohmann::json::parse(R"({
      "host": {"name": "a-1", "zone": "a", "address": "127.0.0.1", "peer_port": 7000, "http_port": 8080},
      "admin": {"address": "127.0.0.1", "port": 9090},
      "platform": {"address": "127.0.0.1", "port": 7400},
      "host_secret": "0123456789abcdef", "fleet_public_key": "00"})");
}

} // namespace

TEST_CASE("docs/EVENTS.md contains the event list generated from the code")
{
    CHECK(read_file("docs/EVENTS.md").find(event_catalog_markdown()) != std::string::npos);
}

TEST_CASE("docs/CONFIGURATION.md documents every setting and every declaration key")
{
    const auto page = read_file("docs/CONFIGURATION.md");
    for (const auto* source : {"src/daemon/settings.cpp", "src/config/declarations.cpp"})
    {
        const auto code = read_file(source);
        // The readers take the name as a string literal, the first argument or the one after
        // `reader`.
        for (const std::string call :
             {"text(\"", "integer(\"", "number(\"", "flag(\"", "choice(\"", "texts(\"",
              "read_ms(reader, \"", "read_milliseconds(reader, \"", "read_port(reader, \""})
        {
            for (auto at = code.find(call); at != std::string::npos; at = code.find(call, at + 1))
            {
                const auto begin = at + call.size();
                const auto name = code.substr(begin, code.find('"', begin) - begin);
                INFO(source << ": " << name);
                CHECK(page.find("`" + name + "`") != std::string::npos);
            }
        }
    }
}

TEST_CASE("parsing invalid settings reports every error at once")
{
    CHECK(parse_daemon_settings(make_settings()));
    auto faulty = make_settings();
    faulty["host"]["http_prt"] = 1;
    faulty["platform"]["address"] = "localhost";
    faulty["placement"] = "random";
    faulty["transactions"] = {{"dedupe_window_ms", 7'200'000}};
    const auto result = parse_daemon_settings(faulty);
    REQUIRE_FALSE(result);
    const auto& reason = result.failure_reason();
    CHECK(reason.find("/host/http_prt: unknown key; did you mean \"http_port\"?") !=
          std::string::npos);
    CHECK(reason.find("/platform/address: is \"localhost\"; allowed: an IP number") !=
          std::string::npos);
    CHECK(reason.find("/placement: is \"random\"; allowed: ") != std::string::npos);
    CHECK(reason.find("/transactions/dedupe_window_ms") != std::string::npos);
}
