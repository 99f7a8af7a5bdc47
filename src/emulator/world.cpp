#include "emulator/world.hpp"

#include "net/clock.hpp"

#include <random>
#include <thread>

namespace poplardrift::emulator
{

namespace
{

/// Time after which something taken out must get no new work.
constexpr std::int64_t out_grace_ms = 3000;
/// A request that waits for the end of a cut is given up after this.
constexpr int longest_cut_ms = 120'000;
constexpr double poll_ms = 20.0;
constexpr std::size_t most_violation_times = 1000;

} // namespace

auto violation_counts::add(const std::string& promise) -> void
{
    const std::lock_guard lock(this->mutex);
    ++this->counts[promise];
    if (this->times.size() < most_violation_times)
    {
        this->times.emplace_back(wall_clock_ms(), promise);
    }
}

auto violation_counts::times_to_json() const -> nlohmann::json
{
    const std::lock_guard lock(this->mutex);
    return nlohmann::json(this->times);
}

auto violation_counts::to_json() const -> nlohmann::json
{
    const std::lock_guard lock(this->mutex);
    return nlohmann::json(this->counts);
}

auto violation_counts::reset() -> void
{
    const std::lock_guard lock(this->mutex);
    this->counts.clear();
    this->times.clear();
}

world::world(const nlohmann::json& settings)
{
    for (const auto& item : settings.value("hosts", nlohmann::json::array()))
    {
        fleet_host host{item.at("name"), item.at("zone"), item.at("address"), item.at("peer_port"),
                        item.at("http_port")};
        this->zone_by_address[host.address] = host.zone;
        this->fleet.push_back(std::move(host));
    }
    this->one_way_latency_ms = settings.value("latency_ms", 0.0);
}

auto world::zone_of_address(const std::string& address) const -> std::string
{
    const auto found = this->zone_by_address.find(address);
    return found == this->zone_by_address.end() ? "" : found->second;
}

auto world::set_cuts(const nlohmann::json& pairs) -> void
{
    const std::lock_guard lock(this->mutex);
    this->cuts.clear();
    for (const auto& pair : pairs)
    {
        this->cuts.emplace(pair.at(0), pair.at(1));
        this->cuts.emplace(pair.at(1), pair.at(0));
    }
}

auto world::are_cut(const std::string& left, const std::string& right) const -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->cuts.contains({left, right});
}

auto world::is_unreachable(const std::string& address, const std::string& zone) const -> bool
{
    return this->are_cut(this->zone_of_address(address), zone);
}

auto world::wait_while_cut(const std::string& address, const std::string& zone) const -> bool
{
    for (double waited = 0; this->is_unreachable(address, zone); waited += poll_ms)
    {
        if (waited > longest_cut_ms)
        {
            return false;
        }
        sleep_ms(poll_ms);
    }
    return true;
}

auto world::set_out(const std::string& name, bool out) -> void
{
    const std::lock_guard lock(this->mutex);
    if (out)
    {
        this->out_since_ms[name] = wall_clock_ms();
    }
    else
    {
        this->out_since_ms.erase(name);
        this->back_since_ms[name] = wall_clock_ms();
    }
}

auto world::is_out(const std::string& name) const -> bool
{
    const std::lock_guard lock(this->mutex);
    const auto back = this->back_since_ms.find(name);
    const auto just_back =
        back != this->back_since_ms.end() && wall_clock_ms() - back->second < out_grace_ms;
    return this->out_since_ms.contains(name) || just_back;
}

auto world::is_late_for(const std::string& name) const -> bool
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->out_since_ms.find(name);
    return found != this->out_since_ms.end() && wall_clock_ms() - found->second > out_grace_ms;
}

auto reply(httplib::Response& response, int status, const nlohmann::json& body) -> void
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

auto drop_connection(httplib::Response& response) -> void
{
    response.set_content_provider(1 << 20, "application/octet-stream",
                                  [](std::size_t, std::size_t, httplib::DataSink&)
                                  { return false; });
}

auto sleep_ms(double milliseconds) -> void
{
    if (milliseconds > 0)
    {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
    }
}

auto random_fraction() -> double
{
    thread_local std::mt19937_64 generator(std::random_device{}());
    return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

} // namespace poplardrift::emulator
