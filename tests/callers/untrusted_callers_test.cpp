// Crowds of callers that keep to no limit, against one router process with low limits. Without a
// bound, each crowd takes the memory or the descriptors of the process several times over. Each
// case checks that the process lives, that its peaks stay within its limits, and that an ordinary
// request is answered while the crowd is still connected.

#include "caller_crowd.hpp"
#include "router_deployment.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t bytes_per_mb = 1'000'000;
/// Time without any progress after which a crowd counts as settled, and the longest wait for that.
/// They bound the test, not the router.
constexpr auto quiet_time = 1500ms;
constexpr auto crowd_time = 25'000ms;
/// Attempts of the ordinary caller, half a second apart; a process that hangs answers none.
constexpr int ordinary_attempts = 50;

/// Descriptors enough for a thousand callers, so that what each of them holds counts.
constexpr process_limits many_descriptors{48, 4100};

const std::string chunked_post =
    "POST /safe/x HTTP/1.1\r\n" + caller_fields + "Transfer-Encoding: chunked\r\n\r\n";

auto post_with_length(std::size_t length) -> std::string
{
    return "POST /safe/x HTTP/1.1\r\n" + caller_fields +
           "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

auto hexadecimal(std::size_t number) -> std::string
{
    std::ostringstream text;
    text << std::hex << number;
    return text.str();
}

/// Answers GET /safe/large with half a megabyte and all else with a few bytes.
auto serve(peer_connection& peer) -> void
{
    const std::string head = "HTTP/1.1 200 OK\r\nPoplardrift-Runner-Seal: s\r\nContent-Length: ";
    constexpr std::size_t large_bytes = 500'000;
    for (auto request = peer.read_request(); !request.empty(); request = peer.read_request())
    {
        const auto is_large = request.starts_with("GET /safe/large");
        const auto body = std::string(is_large ? large_bytes : 5, 'a');
        peer.send(head + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

/// One router process with its store and an upstream.
class deployment final
{
public:
    explicit deployment(process_limits limits = {})
        : upstream(serve), fleet({this->upstream.address()}, limits), router(&this->fleet.router)
    {
        REQUIRE(this->answers_ordinary_request());
    }

    auto answers_ordinary_request() -> bool
    {
        const auto request = post_with_length(1000) + std::string(1000, 'b');
        for (int attempt = 0; attempt < ordinary_attempts; ++attempt)
        {
            auto caller = connect_to(this->router->callers);
            caller.send(request);
            if (caller.read_response(3000ms).status == 200)
            {
                return true;
            }
            std::this_thread::sleep_for(500ms);
        }
        return false;
    }

    auto check_withstands(const boost::asio::ip::tcp::endpoint& target, std::size_t connections,
                          const crowd_script& script) -> void
    {
        caller_crowd crowd(target, connections, script);
        crowd.run(quiet_time, crowd_time);
        const auto is_alive = this->router->is_running();
        const auto is_serving = is_alive && this->answers_ordinary_request();
        const auto peak = this->router->peak();
        const auto& limits = this->router->limits;
        std::cout << Catch::getResultCapture().getCurrentTestName() << ": alive " << is_alive
                  << ", ordinary request answered " << is_serving << ", peak memory "
                  << peak.resident_bytes / bytes_per_mb << " of " << limits.memory_mb
                  << " MB, descriptors " << peak.descriptors << " of " << limits.descriptors
                  << std::endl;
        CHECK(is_alive);
        CHECK(is_serving);
        CHECK(peak.resident_bytes < limits.memory_mb * bytes_per_mb);
        CHECK(peak.descriptors < limits.descriptors);
    }

    scripted_server upstream;
    router_deployment fleet;
    router_process* router;
};

} // namespace

TEST_CASE("an idle router process is well within its limits")
{
    deployment host;
    const auto peak = host.router->peak();
    std::cout << "idle: peak memory " << peak.resident_bytes / bytes_per_mb << " MB, descriptors "
              << peak.descriptors << std::endl;
    CHECK(peak.resident_bytes < host.router->limits.memory_mb * bytes_per_mb / 2);
}

TEST_CASE("bodies in the largest chunks that stop just short of their end")
{
    deployment host;
    crowd_script script;
    script.begin = chunked_post + hexadecimal(max_body_bytes) + "\r\n";
    script.unit = "x";
    script.unit_count = max_body_bytes - 1;
    host.check_withstands(host.router->callers, 40, script);
}

TEST_CASE("bodies in chunks of one byte that stop just short of their end")
{
    deployment host;
    crowd_script script;
    script.begin = chunked_post;
    script.unit = "1\r\nx\r\n";
    script.unit_count = 600'000;
    host.check_withstands(host.router->callers, 150, script);
}

TEST_CASE("bodies with a length that stop just short of their end")
{
    deployment host;
    crowd_script script;
    script.begin = post_with_length(max_body_bytes);
    script.unit = "x";
    script.unit_count = max_body_bytes - 1;
    host.check_withstands(host.router->callers, 60, script);
}

TEST_CASE("whole bodies of the largest size, many at a time")
{
    deployment host;
    crowd_script script;
    script.begin = post_with_length(max_body_bytes);
    script.unit = "x";
    script.unit_count = max_body_bytes;
    script.reconnects = 1;
    host.check_withstands(host.router->callers, 40, script);
}

TEST_CASE("bodies announced to be far over the limit, sent again and again")
{
    deployment host;
    crowd_script script;
    script.begin = post_with_length(10'000'000'000);
    script.unit = std::string(1000, 'x');
    script.unit_count = 100;
    script.reconnects = 10;
    host.check_withstands(host.router->callers, 300, script);
}

TEST_CASE("bodies far over the limit that are just sent")
{
    deployment host;
    crowd_script script;
    script.begin = chunked_post;
    script.unit = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
    script.unit_count = 3200;
    script.reconnects = 2;
    host.check_withstands(host.router->callers, 40, script);
}

TEST_CASE("chunk extensions without end")
{
    deployment host(many_descriptors);
    crowd_script script;
    script.begin = chunked_post + "1;";
    script.unit = "a=b;";
    script.unit_count = 16'000;
    host.check_withstands(host.router->callers, 1000, script);
}

TEST_CASE("trailers without end")
{
    deployment host(many_descriptors);
    crowd_script script;
    script.begin = chunked_post + "1\r\nx\r\n0\r\n";
    script.unit = "a: b\r\n";
    script.unit_count = 10'000;
    host.check_withstands(host.router->callers, 1000, script);
}

TEST_CASE("heads of very many fields that stop just short of their end")
{
    deployment host(many_descriptors);
    crowd_script script;
    script.begin = "GET /safe/x HTTP/1.1\r\n" + caller_fields;
    script.unit = "a:\r\n";
    script.unit_count = 4000;
    host.check_withstands(host.router->callers, 1000, script);
}

TEST_CASE("header fields without end")
{
    deployment host;
    crowd_script script;
    script.begin = "GET /safe/x HTTP/1.1\r\n" + caller_fields;
    script.unit = "a: b\r\n";
    script.unit_count = 1'000'000;
    script.reconnects = 3;
    host.check_withstands(host.router->callers, 300, script);
}

TEST_CASE("bodies after heads of very many fields that stop just short of their end")
{
    deployment host(many_descriptors);
    crowd_script script;
    std::string head = "POST /safe/x HTTP/1.1\r\n" + caller_fields + "Content-Length: 100\r\n";
    for (int field = 0; field < 3900; ++field)
    {
        head += "a:\r\n";
    }
    script.begin = head + "\r\n";
    script.unit = "x";
    script.unit_count = 99;
    host.check_withstands(host.router->callers, 1000, script);
}

TEST_CASE("heads at a byte at a time")
{
    deployment host;
    crowd_script script;
    script.begin = "GET /safe/x HTTP/1.1\r\n" + caller_fields;
    script.byte_interval = 1000ms;
    script.reconnects = 2;
    host.check_withstands(host.router->callers, 1500, script);
}

TEST_CASE("pipelined requests whose answers nobody reads")
{
    deployment host;
    crowd_script script;
    script.unit = "GET /safe/large HTTP/1.1\r\n" + caller_fields + "\r\n";
    script.unit_count = 2000;
    script.reads = false;
    host.check_withstands(host.router->callers, 100, script);
}

// Listed in KNOWN-RED.txt.
TEST_CASE("pipelined requests behind one that runs", "[!mayfail]")
{
    deployment host(many_descriptors);
    crowd_script script;
    script.begin = "GET /safe/large HTTP/1.1\r\n" + caller_fields + "\r\n";
    script.unit = post_with_length(4'000'000);
    script.unit_count = 20'000;
    script.reads = false;
    host.check_withstands(host.router->callers, 1000, script);
}

TEST_CASE("thousands of connections that send nothing")
{
    deployment host;
    host.check_withstands(host.router->callers, 3000, {});
}

TEST_CASE("connections that expect 100-continue and send no body")
{
    deployment host;
    crowd_script script;
    script.begin = "POST /safe/x HTTP/1.1\r\n" + caller_fields +
                   "Expect: 100-continue\r\nContent-Length: 4000000\r\n\r\n";
    host.check_withstands(host.router->callers, 1000, script);
}

TEST_CASE("the ports for status, metrics and peers, to which connections send nothing")
{
    deployment host;
    const auto port = GENERATE(0, 1, 2);
    const std::vector targets = {host.router->status, host.router->metrics, host.router->peers};
    CAPTURE(port);
    host.check_withstands(targets[static_cast<std::size_t>(port)], 3000, {});
}

TEST_CASE("the ports for status and peers, to which connections send heads without end")
{
    deployment host;
    crowd_script script;
    script.begin = "GET /status HTTP/1.1\r\n" + caller_fields;
    script.unit = "a:\r\n";
    script.unit_count = 1900;
    const auto port = GENERATE(0, 1);
    const std::vector targets = {host.router->status, host.router->peers};
    CAPTURE(port);
    host.check_withstands(targets[static_cast<std::size_t>(port)], 600, script);
}

TEST_CASE("the ports for status and peers, to which connections send bodies that do not end")
{
    deployment host;
    crowd_script script;
    script.begin = chunked_post + "fff0\r\n";
    script.unit = "x";
    script.unit_count = 0xfff0 - 1;
    const auto port = GENERATE(0, 1);
    const std::vector targets = {host.router->status, host.router->peers};
    CAPTURE(port);
    host.check_withstands(targets[static_cast<std::size_t>(port)], 600, script);
}

TEST_CASE("status pages whose answers nobody reads")
{
    deployment host;
    crowd_script script;
    script.unit = "GET /metrics HTTP/1.1\r\n" + caller_fields + "\r\n";
    script.unit_count = 5000;
    script.reads = false;
    const auto port = GENERATE(0, 1);
    const std::vector targets = {host.router->status, host.router->peers};
    CAPTURE(port);
    host.check_withstands(targets[static_cast<std::size_t>(port)], 400, script);
}
