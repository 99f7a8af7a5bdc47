#pragma once

#include "net/http_listener.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace poplardrift::emulator
{

/// A host of the fleet as the emulator's settings name it.
struct fleet_host
{
    std::string name;
    std::string zone;
    std::string address;
    std::uint16_t peer_port = 0;
    std::uint16_t http_port = 0;
};

/// Counters of broken promises, by promise.
class violation_counts final
{
public:
    auto add(const std::string& promise) -> void;
    /// When the first ones happened, in milliseconds since 1970.
    [[nodiscard]] auto times_to_json() const -> nlohmann::json;
    [[nodiscard]] auto to_json() const -> nlohmann::json;
    auto reset() -> void;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::int64_t> counts;
    std::vector<std::pair<std::int64_t, std::string>> times; ///< of the first ones
};

/// What all stand-ins share: who is where, which zones are cut off from each other, and what has
/// gone wrong. Any thread.
class world final
{
public:
    explicit world(const nlohmann::json& settings);

    /// Zone of a caller by its source address; empty when it is no host of the fleet.
    [[nodiscard]] auto zone_of_address(const std::string& address) const -> std::string;
    [[nodiscard]] auto hosts() const -> const std::vector<fleet_host>& { return this->fleet; }
    [[nodiscard]] auto are_cut(const std::string& left, const std::string& right) const -> bool;
    /// True when a caller at this address cannot reach something in `zone`.
    [[nodiscard]] auto is_unreachable(const std::string& address, const std::string& zone) const
        -> bool;
    auto set_cuts(const nlohmann::json& pairs) -> void;

    /// Waits while the caller is cut off; false when the wait was given up.
    [[nodiscard]] auto wait_while_cut(const std::string& address, const std::string& zone) const
        -> bool;

    /// Zones (and upstreams, by name) that should get no new work, with when that began.
    auto set_out(const std::string& name, bool out) -> void;
    /// True while something is taken out, and for a short time after its return, in which routers
    /// learn of it.
    [[nodiscard]] auto is_out(const std::string& name) const -> bool;
    /// True when work that arrives now breaks the promise to something taken out.
    [[nodiscard]] auto is_late_for(const std::string& name) const -> bool;

    [[nodiscard]] auto violations() -> violation_counts& { return this->counts; }
    [[nodiscard]] auto latency_ms() const -> double { return this->one_way_latency_ms.load(); }
    auto set_latency_ms(double value) -> void { this->one_way_latency_ms = value; }

private:
    std::vector<fleet_host> fleet;
    std::map<std::string, std::string> zone_by_address;
    mutable std::mutex mutex;
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<std::string, std::int64_t> out_since_ms;
    std::map<std::string, std::int64_t> back_since_ms;
    violation_counts counts;
    std::atomic<double> one_way_latency_ms{0.0};
};

/// Answers with JSON.
auto reply(httplib::Response& response, int status, const nlohmann::json& body) -> void;
/// Ends the connection without an answer.
auto drop_connection(httplib::Response& response) -> void;
auto sleep_ms(double milliseconds) -> void;
/// A number in [0, 1) from a generator of this thread.
[[nodiscard]] auto random_fraction() -> double;

} // namespace poplardrift::emulator
