#pragma once

#include "request_tracker.hpp"
#include "scripted_peers.hpp"
#include "soak_fleet.hpp"

#include <atomic>
#include <map>
#include <random>
#include <thread>

namespace poplardrift::soak
{

/// A caller with its own thread: sends requests of all kinds to all hosts over persistent
/// connections and checks each response.
class soak_caller final
{
public:
    soak_caller(soak_fleet& fleet, std::uint64_t seed);
    ~soak_caller();
    soak_caller(const soak_caller&) = delete;
    auto operator=(const soak_caller&) -> soak_caller& = delete;

    auto stop() -> void { this->stopping = true; }

private:
    auto run() -> void;
    auto send_request() -> void;
    struct persistent_connection
    {
        tests::peer_connection peer;
        clock::time_point opened_at;
    };

    [[nodiscard]] auto connection_to(std::size_t host) -> persistent_connection*;
    /// Fields that describe the prompt of a request of this kind.
    [[nodiscard]] auto prompt_fields(request_kind kind, const std::string& id) -> std::string;
    /// Sends a request with a key that the configuration revoked some time ago.
    auto send_with_revoked_key(std::size_t host, tests::peer_connection& connection) -> void;
    auto check_response(const std::string& id, const tests::received_response& response,
                        clock::duration elapsed, clock::time_point opened_at) -> void;
    auto check_rejection(const std::string& id, const request_record& record,
                         const tests::received_response& response) -> void;
    auto check_success(const std::string& id, const request_record& record,
                       const tests::received_response& response) -> void;
    /// Reports an incomplete response only if the host has not been disturbed, other than by a
    /// planned stop, since the connection was opened: otherwise the connection may belong to an
    /// earlier process.
    auto check_incomplete_response(const std::string& id, const request_record& record,
                                   clock::time_point opened_at) -> void;
    [[nodiscard]] auto draw(std::size_t limit) -> std::size_t;

    soak_fleet& fleet;
    std::mt19937_64 random;
    std::map<std::size_t, persistent_connection> connections;
    bool uses_permanent_key = false; ///< in the current request
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace poplardrift::soak
