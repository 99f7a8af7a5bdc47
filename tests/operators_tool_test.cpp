// The operators' tool as a process, against hosts that send broken responses.

#include "scripted_peers.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <string>

#include <sys/wait.h>

using namespace poplardrift::tests;

namespace
{

constexpr int exit_unreachable = 4;
const std::string document = "{}";
const std::string length = "Content-Length: " + std::to_string(document.size()) + "\r\n";

struct tool_result
{
    int exit_code = -1;
    std::string output;
};

auto run_tool(const std::string& arguments) -> tool_result
{
    const auto command =
        std::string(POPLARDRIFT_BINARY_DIR) + "/poplardriftctl " + arguments + " 2>/dev/null";
    auto* const pipe = ::popen(command.c_str(), "r");
    REQUIRE(pipe != nullptr);
    tool_result result;
    std::array<char, 4096> bytes{};
    while (const auto count = std::fread(bytes.data(), 1, bytes.size(), pipe))
    {
        result.output.append(bytes.data(), count);
    }
    const auto status = ::pclose(pipe);
    result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

/// Runs the tool against a host that answers with these bytes.
auto run_against(const std::string& response, const std::string& option, const std::string& command)
    -> tool_result
{
    scripted_server host(
        [&](peer_connection& peer)
        {
            static_cast<void>(peer.read_request());
            peer.send(response);
            peer.close();
        });
    const auto address = "127.0.0.1:" + std::to_string(host.address().port());
    return option == "--admin" ? run_tool("--json --admin " + address + " " + command)
                               : run_tool("--json " + command + " " + option + " " + address);
}

} // namespace

TEST_CASE("the operators' tool shows no response with an invalid head")
{
    for (const auto& head :
         {"HTTP/1.1 000 Unknown\r\n" + length, "HTTP/1.1 200 OK\r\n X: a\r\n" + length,
          "HTTP/1.1 200 OK\r\nX\x01: a\r\n" + length,
          "HTTP/1.1 200 OK\r\n" + length + "Transfer-Encoding: gzip\r\n"})
    {
        CAPTURE(head);
        const auto status = run_against(head + "\r\n" + document, "--admin", "status");
        CHECK(status.exit_code == exit_unreachable);
        CHECK(status.output.empty());
        const auto router = run_against(head + "\r\n" + document, "--router", "router status");
        CHECK(router.exit_code == exit_unreachable);
        CHECK(router.output.find(document) == std::string::npos);
    }
    const auto status =
        run_against("HTTP/1.1 200 OK\r\n" + length + "\r\n" + document, "--admin", "status");
    CHECK(status.exit_code == 0);
    CHECK(status.output == document + "\n");
}
