#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace poplardrift::load
{

/// A host as callers reach it.
struct caller_endpoint
{
    std::string name;
    std::string address;
    int port = 0;
};

/// Stands for the platform's balancer: knows which hosts say that they are ready, with the lag of
/// its probes, and spreads callers over them at random.
class balancer final
{
public:
    explicit balancer(const nlohmann::json& hosts);
    ~balancer();
    balancer(const balancer&) = delete;
    auto operator=(const balancer&) -> balancer& = delete;

    /// A ready host; any host when none is ready. `salt` picks among them.
    [[nodiscard]] auto pick(std::uint64_t salt) -> caller_endpoint;
    /// True when the experiment has killed this host.
    [[nodiscard]] auto was_killed(const std::string& name) -> bool;
    auto note_killed(const std::string& name) -> void;
    /// Waits until all hosts are ready; false after `seconds`.
    [[nodiscard]] auto wait_ready(double seconds) -> bool;

private:
    auto probe_loop() -> void;

    std::vector<caller_endpoint> hosts;
    std::mutex mutex;
    std::set<std::string> ready;
    std::set<std::string> killed;
    std::atomic<bool> stopping{false};
    std::thread prober;
};

} // namespace poplardrift::load
