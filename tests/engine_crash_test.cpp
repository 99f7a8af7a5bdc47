// Requests that end the process of each engine that runs them, played against the router over
// sockets.

#include "router_fixture.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>

using namespace poplardrift;
using namespace poplardrift::tests;
using namespace std::chrono_literals;

namespace
{

/// Requests with the part that may still reach engines after the fifth crash.
constexpr int max_sends_after_fifth_crash = 3;

const std::string shared_part = "a1:800";
const std::string session_part = "b2:400";
const std::string fatal_part = "dead0:60";

auto chat_request(const std::string& id, const std::string& parts) -> std::string
{
    return "GET /stream/x HTTP/1.1\r\nHost: h\r\nPoplardrift-Attempt-Id: " + id +
           "\r\nX-Api-Key: k\r\nPoplardrift-Model: m\r\nPoplardrift-Token-Usage: 1300,80\r\n"
           "Poplardrift-Prompt-Prefix: " +
           parts + "\r\nConnection: close\r\n\r\n";
}

/// Engines that close all connections when a request with the fatal part begins its answer.
class fragile_engines final
{
public:
    explicit fragile_engines(int count)
    {
        for (int number = 0; number < count; ++number)
        {
            this->servers.push_back(std::make_unique<scripted_server>([this](peer_connection& peer)
                                                                      { this->serve(peer); }));
        }
    }
    [[nodiscard]] auto addresses() const -> std::vector<boost::asio::ip::tcp::endpoint>
    {
        std::vector<boost::asio::ip::tcp::endpoint> all;
        for (const auto& server : this->servers)
        {
            all.push_back(server->address());
        }
        return all;
    }

    std::atomic<int> crashes{0};
    std::atomic<int> sends_after_fifth_crash{0};

private:
    auto serve(peer_connection& peer) -> void
    {
        for (auto request = peer.read_request(); !request.empty(); request = peer.read_request())
        {
            std::this_thread::sleep_for(5ms);
            if (request.find(fatal_part) != std::string::npos)
            {
                if (this->crashes++ >= 5)
                {
                    ++this->sends_after_fifth_crash;
                }
                peer.reset();
                return;
            }
            peer.send(stream_head + chunk(event_text(1)) + chunk(event_text(2)) + "0\r\n\r\n");
        }
    }

    std::vector<std::unique_ptr<scripted_server>> servers;
};

/// A router before engines that need some time for their prompts.
auto with_engines(routing::routing_configuration& configuration, routing::fleet_view&) -> void
{
    configuration.services[0].engine = routing::engine_rules{600'000, 0.0, 0.0};
}

auto send_chat(router& host, const std::string& id, const std::string& parts) -> received_response
{
    auto caller = connect_to(host.caller_address);
    caller.send(chat_request(id, parts));
    return caller.read_response(2000ms);
}

} // namespace

TEST_CASE("requests with a prompt part that crashes engines stop reaching them")
{
    fragile_engines engines(12);
    router host(engines.addresses(), with_engines);
    int sound_answers = 0;
    constexpr int rounds = 30;
    for (int number = 0; number < rounds; ++number)
    {
        const auto id = std::to_string(number);
        static_cast<void>(
            send_chat(host, "fatal-" + id,
                      shared_part + "," + session_part + "," + fatal_part + ",f" + id + ":10"));
        for (int sound = 0; sound < 3; ++sound)
        {
            const auto sound_id = id + "-" + std::to_string(sound);
            const auto response = send_chat(host, "sound-" + sound_id,
                                            shared_part + "," + session_part + ",c" + id +
                                                std::to_string(sound) + ":10");
            sound_answers += response.is_complete && response.status == 200 ? 1 : 0;
        }
    }
    CAPTURE(engines.crashes.load());
    CHECK(engines.sends_after_fifth_crash <= max_sends_after_fifth_crash);
    CHECK(sound_answers == rounds * 3);
}

TEST_CASE("a request that crashes engines and is repeated by its caller ends three of them at most")
{
    fragile_engines engines(12);
    router host(engines.addresses(), with_engines);
    int sound_answers = 0;
    constexpr int repeats = 6;
    for (int number = 0; number < repeats; ++number)
    {
        const auto id = std::to_string(number);
        // The parts but the last are those of sound requests.
        static_cast<void>(
            send_chat(host, "fatal-" + id, shared_part + "," + session_part + "," + fatal_part));
        for (int sound = 0; sound < 3; ++sound)
        {
            const auto sound_id = id + "-" + std::to_string(sound);
            const auto response = send_chat(host, "sound-" + sound_id,
                                            shared_part + "," + session_part + ",c" + id +
                                                std::to_string(sound) + ":10");
            sound_answers += response.is_complete && response.status == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(150ms);
    }
    CHECK(engines.crashes <= 3);
    CHECK(sound_answers == repeats * 3);
}
