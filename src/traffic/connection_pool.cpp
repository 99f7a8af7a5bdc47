#include "traffic/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace poplardrift::traffic
{

namespace
{

using namespace std::chrono_literals;

/// Idle limit for upstreams that announce no keep-alive timeout; most servers allow 5 s or more.
constexpr duration default_idle_limit = 4s;
/// Safety margin before the end of an announced keep-alive timeout: a request sent close to the end
/// could cross the upstream's close.
constexpr duration idle_limit_margin = 700ms;

auto idle_limit(const http::upstream_connection& connection) -> duration
{
    const auto announced = connection.keep_alive_seconds();
    if (!announced)
    {
        return default_idle_limit;
    }
    return std::chrono::seconds(*announced) - idle_limit_margin;
}

} // namespace

auto connection_pool::take(routing::upstream_state_id upstream, time_point now, duration max_idle)
    -> connection_ptr
{
    const auto found = this->idle.find(upstream);
    if (found == this->idle.end())
    {
        return nullptr;
    }
    auto& list = found->second;
    while (!list.empty())
    {
        auto last = std::move(list.back());
        list.pop_back();
        if (!last.connection->is_reusable())
        {
            continue;
        }
        if (now < last.until && now - last.since <= max_idle)
        {
            return last.connection;
        }
        last.connection->abandon();
    }
    return nullptr;
}

auto connection_pool::put_back(routing::upstream_state_id upstream, connection_ptr connection,
                               time_point now) -> void
{
    if (!connection->is_reusable())
    {
        return;
    }
    const auto until = now + idle_limit(*connection);
    if (until <= now)
    {
        connection->abandon();
        return;
    }
    this->idle[upstream].push_back({std::move(connection), now, until});
}

auto connection_pool::close_expired(time_point now) -> void
{
    for (auto& [upstream, list] : this->idle)
    {
        const auto kept = std::remove_if(list.begin(), list.end(),
                                         [now](const idle_connection& item)
                                         {
                                             if (item.connection->is_reusable() && now < item.until)
                                             {
                                                 return false;
                                             }
                                             item.connection->abandon();
                                             return true;
                                         });
        list.erase(kept, list.end());
    }
}

auto connection_pool::close_oldest() -> bool
{
    std::vector<idle_connection>* oldest = nullptr;
    for (auto& [upstream, list] : this->idle)
    {
        // Each list is in the order in which its connections became idle.
        if (!list.empty() && (oldest == nullptr || list.front().since < oldest->front().since))
        {
            oldest = &list;
        }
    }
    if (oldest == nullptr)
    {
        return false;
    }
    oldest->front().connection->abandon();
    oldest->erase(oldest->begin());
    return true;
}

auto connection_pool::close_all(routing::upstream_state_id upstream) -> void
{
    const auto found = this->idle.find(upstream);
    if (found == this->idle.end())
    {
        return;
    }
    for (const auto& item : found->second)
    {
        item.connection->abandon();
    }
    this->idle.erase(found);
}

} // namespace poplardrift::traffic
