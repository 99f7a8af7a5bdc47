#pragma once

#include "loopback_proxy.hpp"
#include "notice_monitor.hpp"
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

/// What an upstream asks and tells the fleet. All may be called from any thread.
struct upstream_events
{
    /// A request runs; its identifier and the upstream's number.
    std::function<void(const std::string& id, std::size_t number)> on_run;
    /// A request whose prompt ends the upstream begins its answer.
    std::function<void(const std::string& id, std::size_t number)> on_fatal_request;
    /// Number of the upstream's start that leaves; 0 if it does not.
    std::function<std::uint64_t(std::size_t number)> get_leaving_start;
    std::function<std::string()> get_fatal_part; ///< empty if there is none
};

/// An upstream behind its own proxy. For a seeded share of requests it responds slowly, fails,
/// declines, breaks off or hangs. Reports each run to the handler and each injected failure to the
/// tracker. Uses one thread per connection.
class soak_upstream final
{
public:
    soak_upstream(boost::asio::io_context& io, request_tracker& tracker, std::size_t number,
                  std::uint64_t seed, upstream_events events, notice_monitor& notices);

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
        pause,
        break_off,
        hang,
    };
    struct request
    {
        std::string id;
        std::string path;
        std::string expected_upstream;
        std::string prompt;
        int resume_after = 0;
    };

    auto serve(tests::peer_connection& peer) -> void;
    auto decline(tests::peer_connection& peer, const request& received, bool wants_pause) -> void;
    /// Field by which a leaving upstream says so; empty otherwise.
    [[nodiscard]] auto leaving_field(const request& received) -> std::string;
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
    upstream_events events;
    notice_monitor& notices;
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
