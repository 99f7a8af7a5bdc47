#pragma once

#include "emulator/world.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <thread>

namespace poplardrift::emulator
{

/// Stand-in for the platform: the append-only log with offsets and limited retention, the host list
/// that lags, and the weight store with its rate.
class platform final
{
public:
    platform(const nlohmann::json& settings, world& around, httplib::Server& http);
    ~platform();
    platform(const platform&) = delete;
    auto operator=(const platform&) -> platform& = delete;

    auto set_log_faults(const nlohmann::json& changes) -> void;
    auto set_host_faults(const nlohmann::json& changes) -> void;
    [[nodiscard]] auto stats() const -> nlohmann::json;
    auto reset_stats() -> void;
    /// Address at which `asker` reaches another host's messages; set by links that can be cut.
    auto set_link(const std::string& asker, const std::string& host, std::uint16_t port) -> void;

private:
    struct record
    {
        std::uint64_t offset = 0;
        std::int64_t time_ms = 0;
        nlohmann::json data;
    };

    struct stream
    {
        std::deque<record> records;
        std::uint64_t next = 1;
    };

    auto handle_append(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_read(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_hosts(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_weights(const httplib::Request& request, httplib::Response& response) -> void;
    [[nodiscard]] auto is_out(const httplib::Request& request, httplib::Response& response) -> bool;
    auto trim(stream& target) -> void;
    auto watch_hosts() -> void;

    world& around;
    mutable std::mutex mutex;
    std::condition_variable appended;
    std::map<std::string, stream> streams;
    std::atomic<bool> log_down{false};
    std::atomic<bool> stopping{false};
    std::atomic<double> delay_ms{0.0};
    std::atomic<double> lose_answers{0.0};
    std::atomic<std::int64_t> retention_ms{3'600'000};
    std::int64_t most_records = 1'000'000;
    std::int64_t appends_a_second = 500;
    std::int64_t second = 0;
    std::int64_t appends_in_second = 0;
    std::atomic<std::int64_t> appends{0};
    std::atomic<std::int64_t> refused_appends{0};
    std::atomic<std::int64_t> host_lag_ms{5000};
    std::map<std::string, std::int64_t> last_healthy_ms;
    std::set<std::string> leaving_hosts;
    std::map<std::pair<std::string, std::string>, std::uint16_t> links;
    std::thread watcher;
    std::int64_t weight_loads = 0;
};

} // namespace poplardrift::emulator
