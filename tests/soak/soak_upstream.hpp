#pragma once

#include "loopback_proxy.hpp"
#include "request_tracker.hpp"
#include "scripted_peers.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace poplardrift::soak
{

/// An upstream behind its own proxy. For a seeded share of requests it responds slowly, fails,
/// declines, breaks off or hangs. Reports each run to the handler and each injected failure to the
/// tracker. Uses one thread per connection.
class soak_upstream final
{
public:
    /// Called for each run with the request's identifier and the upstream's number.
    using run_handler = std::function<void(const std::string& id, std::size_t number)>;

    soak_upstream(boost::asio::io_context& io, request_tracker& tracker, std::size_t number,
                  std::uint64_t seed, run_handler on_run);

    [[nodiscard]] auto name() const -> std::string;
    /// The proxy's address, which is advertised to the hosts.
    [[nodiscard]] auto address() const -> boost::asio::ip::tcp::endpoint
    {
        return this->link.address();
    }
    [[nodiscard]] auto get_link() -> loopback_proxy& { return this->link; }
    /// When off, every request gets a correct response.
    auto set_misbehaving(bool is_misbehaving) -> void { this->misbehaving = is_misbehaving; }
    [[nodiscard]] auto get_number() const -> std::size_t { return this->number; }
    [[nodiscard]] auto get_zone() const -> std::string;

private:
    enum class response_mode
    {
        answer,
        slow,
        fail,
        decline,
        break_off,
        hang,
    };
    struct request
    {
        std::string id;
        std::string path;
        std::string expected_upstream;
        int resume_after = 0;
    };

    auto serve(tests::peer_connection& peer) -> void;
    /// Sends the response; false if the connection was reset.
    auto run(tests::peer_connection& peer, const request& received, response_mode mode) -> bool;
    auto delay_response(const request& received, response_mode mode) -> void;
    auto send_whole_response(tests::peer_connection& peer, const request& received) -> void;
    /// False if the stream was broken off.
    auto send_stream(tests::peer_connection& peer, const request& received, bool breaks_off)
        -> bool;
    [[nodiscard]] auto draw_response_mode() -> response_mode;
    [[nodiscard]] auto draw(int limit) -> int;
    [[nodiscard]] static auto parse(const std::string& text) -> request;

    request_tracker& tracker;
    std::size_t number;
    run_handler on_run;
    std::mutex random_mutex;
    std::mt19937_64 random;
    std::atomic<bool> misbehaving{true};
    std::atomic<bool> stopping{false};
    tests::scripted_server server;
    loopback_proxy link;
};

/// Number of events in each stream.
inline constexpr int stream_events = 8;
/// Text of one event of a stream.
[[nodiscard]] auto event_text(const std::string& id, int event) -> std::string;
/// Body of a response that is not a stream.
[[nodiscard]] auto response_body(const std::string& id) -> std::string;

} // namespace poplardrift::soak
