#include "load/balancer.hpp"

#include "net/response_check.hpp"

#include <httplib.h>

namespace poplardrift::load
{

namespace
{

constexpr auto probe_interval = std::chrono::milliseconds(500);

auto is_ready(const caller_endpoint& host) -> bool
{
    httplib::Client client(host.address, host.port);
    client.set_connection_timeout(0, 300'000);
    client.set_read_timeout(0, 500'000);
    const auto answer = client.Get("/readyz");
    return has_valid_response(answer) && answer->status == 200;
}

} // namespace

balancer::balancer(const nlohmann::json& described)
{
    for (const auto& item : described)
    {
        this->hosts.push_back({item.at("name"), item.at("address"), item.at("http_port")});
    }
    this->prober = std::thread([this] { this->probe_loop(); });
}

balancer::~balancer()
{
    this->stopping = true;
    this->prober.join();
}

auto balancer::probe_loop() -> void
{
    while (!this->stopping)
    {
        for (const auto& host : this->hosts)
        {
            const auto good = is_ready(host);
            const std::lock_guard lock(this->mutex);
            if (good)
            {
                this->ready.insert(host.name);
            }
            else
            {
                this->ready.erase(host.name);
            }
        }
        std::this_thread::sleep_for(probe_interval);
    }
}

auto balancer::pick(std::uint64_t salt) -> caller_endpoint
{
    const std::lock_guard lock(this->mutex);
    std::vector<const caller_endpoint*> usable;
    for (const auto& host : this->hosts)
    {
        if (this->ready.empty() || this->ready.contains(host.name))
        {
            usable.push_back(&host);
        }
    }
    return *usable[salt % usable.size()];
}

auto balancer::was_killed(const std::string& name) -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->killed.contains(name);
}

auto balancer::note_killed(const std::string& name) -> void
{
    const std::lock_guard lock(this->mutex);
    this->killed.insert(name);
    this->ready.erase(name);
}

auto balancer::wait_ready(double seconds) -> bool
{
    for (double waited = 0; waited < seconds; waited += 0.1)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->ready.size() == this->hosts.size())
            {
                return true;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

} // namespace poplardrift::load
