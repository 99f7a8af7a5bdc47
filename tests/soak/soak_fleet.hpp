#pragma once

#include "address_block.hpp"
#include "notice_monitor.hpp"
#include "request_tracker.hpp"
#include "router_host.hpp"
#include "soak_upstream.hpp"
#include "store_stand_in.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace poplardrift::soak
{

/// Size, files and addresses of a fleet.
struct fleet_settings
{
    std::string program;
    std::string folder; ///< directory for settings files and logs
    std::uint64_t seed = 1;
    std::size_t hosts = 3;
    std::size_t upstreams = 5;
    int first_network = 60; ///< second byte of the hosts' loopback addresses, or above
};

/// Hosts, upstreams and the store of one seed, with the times at which they were disturbed. The
/// checks use the times to apply only the guarantees that hold.
class soak_fleet final
{
public:
    static constexpr std::string_view host_name = "h.example";
    // Guaranteed bounds, as in the users' site files.
    static constexpr std::chrono::milliseconds route_timeout{2500};
    static constexpr std::chrono::milliseconds response_margin{500};
    static constexpr std::chrono::milliseconds drain_limit{2000};
    static constexpr std::chrono::milliseconds configuration_limit{2000};
    static constexpr std::chrono::milliseconds evacuation_limit{5000};
    static constexpr std::chrono::milliseconds resync_time{3000};
    static constexpr std::chrono::milliseconds stop_limit{8000};
    static constexpr std::chrono::milliseconds startup_time{2000};
    static constexpr std::chrono::milliseconds recovery_limit{12'000};
    static constexpr int max_attempts = 3;
    static constexpr std::chrono::milliseconds contact_time{3000};
    /// Requests with a fatal part that may reach upstreams later than contact_time after the fifth
    /// end.
    static constexpr int crashes_before_limit = 5;
    static constexpr int max_late_fatal_requests = 3;

    explicit soak_fleet(const fleet_settings& settings);
    ~soak_fleet();
    soak_fleet(const soak_fleet&) = delete;
    auto operator=(const soak_fleet&) -> soak_fleet& = delete;

    [[nodiscard]] auto get_tracker() -> request_tracker& { return this->tracker; }
    [[nodiscard]] auto count_hosts() const -> std::size_t { return this->hosts.size(); }
    [[nodiscard]] auto get_host(std::size_t number) const -> router_host&
    {
        return *this->hosts[number];
    }
    [[nodiscard]] auto count_upstreams() const -> std::size_t { return this->upstreams.size(); }
    [[nodiscard]] auto get_upstream(std::size_t number) -> soak_upstream&
    {
        return *this->upstreams[number];
    }
    [[nodiscard]] auto get_store() -> tests::store_stand_in& { return this->store; }
    [[nodiscard]] auto get_store_link(std::size_t host) -> loopback_proxy&
    {
        return *this->store_links[host];
    }

    /// Publishes a configuration with the next key; the two newest keys are valid.
    auto rotate_key() -> void;
    /// Valid in every configuration.
    static constexpr std::string_view permanent_key = "key-lasting";
    /// The newest key that hosts in sync with the store have applied by now.
    [[nodiscard]] auto newest_applied_key() const -> std::string;
    /// A key whose revocation hosts in sync with the store have applied by now, if any.
    [[nodiscard]] auto revoked_key() const -> std::optional<std::string>;
    auto set_draining(std::size_t upstream, bool is_draining) -> void;
    /// While a part is fatal, some callers send prompts with it, and each upstream that begins to
    /// answer one ends.
    auto set_fatal_part(bool is_fatal) -> void;
    /// The part in the callers' notation; empty if there is none.
    [[nodiscard]] auto get_fatal_part() const -> std::string;
    auto set_zone_evacuated(const std::string& zone, bool is_evacuated) -> void;
    /// Operators and upstreams write again what a restore of the store may have lost.
    auto write_again() -> void;

    /// Counts active faults: +1 when one starts, -1 when it ends.
    auto change_store_faults(int change) -> void;
    auto change_link_faults(int change) -> void;
    [[nodiscard]] auto was_store_undisturbed_since(clock::time_point moment) const -> bool;
    [[nodiscard]] auto were_links_undisturbed_since(clock::time_point moment) const -> bool;
    /// True if neither the host nor the store has been disturbed since `moment`, nor within the
    /// resync time before it.
    [[nodiscard]] auto was_in_sync_since(std::size_t host, clock::time_point moment) const -> bool;

    /// Waits until every host serves requests; false if one does not in time.
    [[nodiscard]] auto wait_until_serving(std::chrono::milliseconds limit) -> bool;

private:
    struct upstream_state
    {
        std::atomic<bool> draining{false};
        std::atomic<clock::time_point> drain_started_at{};
        std::atomic<std::uint64_t> incarnation{1};
        std::atomic<std::uint64_t> leaving_start{0}; ///< incarnation that leaves; 0 if none does
    };

    [[nodiscard]] auto settings_text(std::size_t host) const -> std::string;
    [[nodiscard]] static auto configuration_text(std::uint64_t version) -> std::string;
    auto put_evacuation(const std::string& zone, bool is_evacuated) -> void;
    auto advertise(std::size_t upstream) -> void;
    auto run_advertiser() -> void;
    auto on_run(const std::string& id, std::size_t upstream) -> void;
    auto on_fatal_request(const std::string& id, std::size_t upstream) -> void;
    auto restart_upstream(std::size_t upstream) -> void;
    [[nodiscard]] auto is_serving(std::size_t host) -> bool;

    address_block addresses;
    request_tracker tracker;
    notice_monitor notices{this->tracker};
    tests::store_stand_in store;
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard;
    std::vector<std::unique_ptr<loopback_proxy>> store_links;
    std::vector<std::unique_ptr<soak_upstream>> upstreams;
    std::vector<std::unique_ptr<upstream_state>> states;
    std::vector<std::unique_ptr<router_host>> hosts;
    std::thread proxy_thread;
    std::thread advertiser;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> sequence{0};

    std::atomic<std::uint64_t> version{0};
    std::atomic<clock::time_point> version_published_at{};
    mutable std::mutex fatal_mutex;
    int fatal_parts = 0; ///< number of parts so far
    bool has_fatal_part = false;
    int crashes = 0; ///< under the current part
    clock::time_point last_free_crash_at{};
    int late_fatal_requests = 0;
    std::mutex zone_mutex;
    std::map<std::string, clock::time_point> evacuated_zones;
    std::atomic<int> store_faults{0};
    std::atomic<int> link_faults{0};
    std::atomic<clock::time_point> store_disturbed_at{};
    std::atomic<clock::time_point> links_disturbed_at{};
};

} // namespace poplardrift::soak
