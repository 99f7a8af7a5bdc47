#include "poplardrift/admission/admission.hpp"

#include "poplardrift/base/assert.hpp"
#include "poplardrift/placement/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift
{

namespace
{

/// Interval between two target choices of a waiting request: about one heartbeat interval.
constexpr duration retarget_interval = std::chrono::milliseconds(500);
/// Interval between two forwards to an owner that advertises no free slot.
constexpr duration probe_interval = std::chrono::milliseconds(150);
/// Most placement exceptions queued for other hosts; on overflow the older half is dropped.
constexpr std::size_t max_outgoing_exceptions = 4096;

auto is_excluded(const placement_request& request, upstream_id id) -> bool
{
    return std::find(request.excluded.begin(), request.excluded.end(), id) !=
           request.excluded.end();
}

} // namespace

auto to_text(refusal reason) -> std::string_view
{
    switch (reason)
    {
    case refusal::no_upstream:
        return "no upstream may take work";
    case refusal::queue_full:
        return "the queue is full";
    case refusal::queue_timeout:
        return "no slot came free in time";
    case refusal::no_slot:
        return "the upstream has no slot now";
    }
    POPLARDRIFT_ASSERT(false);
    return "";
}

admission::admission(admission_settings settings)
    : settings(settings), current(std::make_shared<routing_view>()),
      exceptions(settings.exception_capacity)
{
    this->outgoing_exceptions.reserve(max_outgoing_exceptions);
}

auto admission::find_pool(pool_id id) -> pool_ref
{
    for (const auto& pool : this->current->pools)
    {
        if (pool.id == id)
        {
            return {&pool, &this->pools.find(id)->second};
        }
    }
    return {};
}

auto admission::set_view(std::shared_ptr<const routing_view> view, time_point now) -> void
{
    this->current = std::move(view);
    // Order the slots of each pool like the upstreams of the new view.
    for (const auto& pool : this->current->pools)
    {
        auto& state = this->pools[pool.id];
        state.slots.clear();
        for (const auto& upstream : pool.upstreams)
        {
            auto& slot = this->slots[upstream.id];
            slot.pool = pool.id;
            state.slots.push_back(&slot);
        }
    }
    // Refuse requests that wait for a pool that no longer exists.
    for (auto& [id, state] : this->pools)
    {
        if (this->find_pool(id).view != nullptr)
        {
            continue;
        }
        for (auto& [workspace, queue] : state.queues)
        {
            while (!queue.empty())
            {
                this->ended.push_back(
                    {queue.begin()->second.request.id, refused{refusal::no_upstream}});
                this->drop_waiter(queue, queue.begin());
            }
        }
        state.queues.clear();
    }
    this->on_tick(now);
}

auto admission::has_free_slot(const slot_state& slot, time_point now) const -> bool
{
    return slot.in_use < slot.granted && now < slot.valid_until;
}

auto admission::is_usable(const pool_ref& pool, std::size_t index, const placement_request& request,
                          time_point now) const -> bool
{
    const auto& upstream = pool.view->upstreams[index];
    return upstream.eligible && now >= pool.state->slots[index]->ejected_until &&
           !is_excluded(request, upstream.id);
}

auto admission::scan(const pool_ref& pool, const placement_request& request, time_point now) const
    -> candidates
{
    if (request.conversation == conversation_id{})
    {
        return this->scan_least_used(pool, request, now);
    }
    candidates found;
    found.home = best_upstream(*pool.view, request.conversation,
                               [](std::size_t, const auto&) { return true; });
    found.usable = best_upstream(*pool.view, request.conversation,
                                 [&](std::size_t index, const auto&)
                                 { return this->is_usable(pool, index, request, now); });
    found.available = found.usable;
    if (found.usable && !this->has_free_slot(*pool.state->slots[*found.usable], now))
    {
        found.available =
            best_upstream(*pool.view, request.conversation,
                          [&](std::size_t index, const auto&)
                          {
                              return this->has_free_slot(*pool.state->slots[index], now) &&
                                     this->is_usable(pool, index, request, now);
                          });
    }
    return found;
}

auto admission::scan_least_used(const pool_ref& pool, const placement_request& request,
                                time_point now) const -> candidates
{
    candidates found;
    double least_use = 0.0;
    double least_available_use = 0.0;
    const auto count = pool.view->upstreams.size();
    for (std::size_t step = 0; step < count; ++step)
    {
        // Start at a rotating index, so that ties are spread over the upstreams.
        const auto index = (pool.state->rotation + step) % count;
        if (!this->is_usable(pool, index, request, now))
        {
            continue;
        }
        const auto& slot = *pool.state->slots[index];
        const auto use = (slot.in_use + slot.wanted) / pool.view->upstreams[index].weight;
        if (!found.usable || use < least_use)
        {
            found.usable = index;
            least_use = use;
        }
        if (this->has_free_slot(slot, now) && (!found.available || use < least_available_use))
        {
            found.available = index;
            least_available_use = use;
        }
    }
    found.home = found.usable;
    return found;
}

auto admission::index_of(const pool_ref& pool, upstream_id id) const -> std::optional<std::size_t>
{
    const auto& upstreams = pool.view->upstreams;
    const auto at =
        std::lower_bound(upstreams.begin(), upstreams.end(), id,
                         [](const auto& item, upstream_id key) { return item.id < key; });
    if (at == upstreams.end() || at->id != id)
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(at - upstreams.begin());
}

auto admission::estimated_free_slots(const pool_ref& pool, std::size_t index, time_point now) const
    -> std::int64_t
{
    const auto& slot = *pool.state->slots[index];
    const auto& upstream = pool.view->upstreams[index];
    const auto granted_free = this->has_free_slot(slot, now) ? slot.granted - slot.in_use : 0;
    const auto use_published =
        upstream.owner != this->settings.self && this->is_reachable_owner(upstream.owner, now);
    return std::max<std::int64_t>(granted_free, use_published ? slot.published_free : 0);
}

auto admission::most_free_upstream(const pool_ref& pool, const placement_request& request,
                                   time_point now) const -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    std::int64_t best_free = 0;
    std::uint64_t best_hash = 0;
    for (std::size_t index = 0; index < pool.view->upstreams.size(); ++index)
    {
        const auto free_count = this->estimated_free_slots(pool, index, now);
        if (free_count == 0 || free_count < best_free ||
            !this->is_usable(pool, index, request, now))
        {
            continue;
        }
        const auto hash =
            hash_pair_64(request.conversation.value(), pool.view->upstreams[index].id.value());
        if (!best || free_count > best_free || hash > best_hash)
        {
            best = index;
            best_free = free_count;
            best_hash = hash;
        }
    }
    return best;
}

auto admission::free_slots(upstream_id upstream, time_point now) const -> std::uint32_t
{
    const auto found = this->slots.find(upstream);
    const auto free = found != this->slots.end() && this->has_free_slot(found->second, now);
    return free ? found->second.granted - found->second.in_use : 0;
}

auto admission::preferred(const pool_ref& pool, const candidates& found,
                          const placement_request& request, time_point now)
    -> std::optional<std::size_t>
{
    if (request.conversation == conversation_id{})
    {
        return found.available ? found.available : found.usable;
    }
    if (request.is_new && found.usable)
    {
        const auto best = this->most_free_upstream(pool, request, now);
        return best ? best : found.usable;
    }
    // The caller's hint takes precedence over the exception table, and that over the first choice.
    const auto last_known =
        request.hint ? request.hint : this->exceptions.find(request.conversation);
    if (last_known)
    {
        const auto index = this->index_of(pool, *last_known);
        if (index && this->is_usable(pool, *index, request, now))
        {
            return index;
        }
    }
    return found.usable;
}

auto admission::within_local_bound(const pool_ref& pool, std::size_t index) const -> bool
{
    std::uint32_t total = 0;
    std::size_t eligible = 0;
    for (std::size_t other = 0; other < pool.state->slots.size(); ++other)
    {
        total += pool.state->slots[other]->in_use;
        eligible += pool.view->upstreams[other].eligible ? 1 : 0;
    }
    const auto bound = this->current->limits.load_bound * (total + 1) /
                       static_cast<double>(std::max<std::size_t>(eligible, 1));
    return pool.state->slots[index]->in_use < std::ceil(bound);
}

auto admission::pick_baseline(const pool_ref& pool, const placement_request& request,
                              time_point now) -> std::optional<std::size_t>
{
    const auto count = pool.view->upstreams.size();
    const auto usable = [&](std::size_t index, const upstream_view&)
    { return this->is_usable(pool, index, request, now); };
    if (this->settings.policy == placement_policy::rendezvous)
    {
        return best_upstream(*pool.view, request.conversation, usable);
    }
    if (this->settings.policy == placement_policy::bounded_rendezvous)
    {
        return best_upstream(*pool.view, request.conversation,
                             [&](std::size_t index, const upstream_view& item) {
                                 return usable(index, item) &&
                                        this->within_local_bound(pool, index);
                             });
    }
    if (this->settings.policy == placement_policy::least_loaded)
    {
        return this->scan_least_used(pool, request, now).usable;
    }
    for (std::size_t step = 1; step <= count; ++step)
    {
        const auto index = (pool.state->rotation + step) % count;
        if (usable(index, pool.view->upstreams[index]))
        {
            return index;
        }
    }
    return std::nullopt;
}

auto admission::record_placement(const pool_ref& pool, std::size_t index,
                                 conversation_id conversation) -> void
{
    const auto home =
        best_upstream(*pool.view, conversation, [](std::size_t, const auto&) { return true; });
    const auto place = pool.view->upstreams[index].id;
    const auto known = this->exceptions.find(conversation);
    const auto expected = known ? *known : pool.view->upstreams[*home].id;
    if (place == expected)
    {
        return;
    }
    if (index == *home)
    {
        this->exceptions.erase(conversation);
    }
    else
    {
        this->exceptions.store(conversation, place);
    }
    if (this->outgoing_exceptions.size() == max_outgoing_exceptions)
    {
        const auto half = static_cast<std::ptrdiff_t>(max_outgoing_exceptions / 2);
        this->outgoing_exceptions.erase(this->outgoing_exceptions.begin(),
                                        this->outgoing_exceptions.begin() + half);
    }
    this->outgoing_exceptions.push_back({conversation, place});
}

auto admission::take_slot(const pool_ref& pool, std::size_t index, const placement_request& request)
    -> placed
{
    ++pool.state->slots[index]->in_use;
    ++this->workspace_in_flight[request.workspace];
    ++this->total_in_flight;
    pool.state->rotation = static_cast<std::uint32_t>(index);
    if (request.conversation != conversation_id{})
    {
        this->record_placement(pool, index, request.conversation);
    }
    return {pool.view->upstreams[index].id};
}

auto admission::request(const placement_request& request, time_point now) -> placement_result
{
    const auto pool = this->find_pool(request.pool);
    if (pool.view == nullptr)
    {
        return refused{refusal::no_upstream};
    }
    if (request.pinned)
    {
        return this->place_pinned(pool, request, now);
    }
    if (this->settings.policy != placement_policy::affinity_within_bounds)
    {
        const auto index = this->pick_baseline(pool, request, now);
        return index ? placement_result{this->take_slot(pool, *index, request)}
                     : placement_result{refused{refusal::no_upstream}};
    }
    const auto found = this->scan(pool, request, now);
    const auto target = this->preferred(pool, found, request, now);
    if (!target)
    {
        return refused{refusal::no_upstream};
    }
    if (this->has_free_slot(*pool.state->slots[*target], now))
    {
        ++this->tally.preferred;
        return this->take_slot(pool, *target, request);
    }
    // This host has no free granted slot at the preferred upstream.
    const auto owner = pool.view->upstreams[*target].owner;
    // Requests that already wait for any upstream go first, so that each workspace gets its share.
    const auto others_wait = this->has_unrestricted_waiter(pool);
    if (request.may_forward && !others_wait && owner != this->settings.self &&
        this->is_reachable_owner(owner, now))
    {
        ++this->tally.forwarded;
        return this->forward(pool, *target);
    }
    if (request.may_forward && !others_wait && request.target_wait == duration{})
    {
        return this->place_elsewhere(pool, request, *target, now);
    }
    return this->enqueue(pool, *target, request, now);
}

auto admission::has_unrestricted_waiter(const pool_ref& pool) const -> bool
{
    const auto is_unrestricted = [](const auto& item) { return item.second.accepts_any; };
    return std::any_of(
        pool.state->queues.begin(), pool.state->queues.end(),
        [&](const auto& item)
        { return std::any_of(item.second.begin(), item.second.end(), is_unrestricted); });
}

auto admission::place_pinned(const pool_ref& pool, const placement_request& request, time_point now)
    -> placement_result
{
    const auto index = this->index_of(pool, *request.pinned);
    const auto free = index && this->is_usable(pool, *index, request, now) &&
                      this->has_free_slot(*pool.state->slots[*index], now);
    if (free)
    {
        return this->take_slot(pool, *index, request);
    }
    if (index && request.target_wait > duration{} && this->is_usable(pool, *index, request, now))
    {
        return this->enqueue(pool, *index, request, now);
    }
    return refused{refusal::no_slot};
}

auto admission::is_reachable_owner(host_id owner, time_point now) const -> bool
{
    const auto failed = this->failed_owners.find(owner);
    return owner != host_id{} && (failed == this->failed_owners.end() || now >= failed->second);
}

auto admission::may_have_slot(const pool_ref& pool, std::size_t index, time_point now) const -> bool
{
    const auto& slot = *pool.state->slots[index];
    const auto owner = pool.view->upstreams[index].owner;
    const auto published = slot.published_free > 0 && owner != this->settings.self;
    return this->has_free_slot(slot, now) || (published && this->is_reachable_owner(owner, now));
}

auto admission::forward(const pool_ref& pool, std::size_t index) -> forward_to_owner
{
    auto& slot = *pool.state->slots[index];
    slot.published_free -= slot.published_free > 0 ? 1 : 0;
    return {pool.view->upstreams[index].owner, pool.view->upstreams[index].id};
}

auto admission::place_elsewhere(const pool_ref& pool, const placement_request& request,
                                std::size_t target, time_point now) -> placement_result
{
    // The next choice by hash may still have the conversation cached from an earlier placement
    // elsewhere.
    const auto best = best_upstream(*pool.view, request.conversation,
                                    [&](std::size_t index, const auto&) {
                                        return this->may_have_slot(pool, index, now) &&
                                               this->is_usable(pool, index, request, now);
                                    });
    if (!best)
    {
        return this->enqueue(pool, target, request, now);
    }
    if (this->has_free_slot(*pool.state->slots[*best], now))
    {
        ++this->tally.elsewhere;
        return this->take_slot(pool, *best, request);
    }
    ++this->tally.forwarded_elsewhere;
    return this->forward(pool, *best);
}

auto admission::on_denied(placement_request& request, const forward_to_owner& tried, bool reached,
                          time_point now) -> placement_result
{
    ++this->tally.denied;
    ++request.denied_forwards;
    this->slots[tried.upstream].published_free = 0;
    if (!reached)
    {
        this->failed_owners[tried.owner] = now + this->settings.owner_backoff;
    }
    const auto pool = this->find_pool(request.pool);
    if (pool.view == nullptr)
    {
        return refused{refusal::no_upstream};
    }
    const auto target = this->preferred(pool, this->scan(pool, request, now), request, now);
    if (!target)
    {
        return refused{refusal::no_upstream};
    }
    if (request.denied_forwards >= this->settings.max_forwards)
    {
        return this->enqueue(pool, *target, request, now);
    }
    return this->place_elsewhere(pool, request, *target, now);
}

auto admission::on_forward_accepted(const placement_request& request, upstream_id upstream) -> void
{
    // Not queued for other hosts: the owner sends them the exception.
    if (request.conversation != conversation_id{})
    {
        this->exceptions.store(request.conversation, upstream);
    }
}

auto admission::on_forward_ended(upstream_id upstream, time_point now) -> void
{
    auto& slot = this->slots[upstream];
    ++slot.published_free;
    if (this->total_queued > 0)
    {
        const auto pool = this->find_pool(slot.pool);
        if (pool.view != nullptr)
        {
            this->forward_waiters(pool, now);
        }
    }
}

auto admission::forward_waiters(const pool_ref& pool, time_point now) -> void
{
    for (std::size_t index = 0; index < pool.view->upstreams.size(); ++index)
    {
        auto& slot = *pool.state->slots[index];
        const auto owner = pool.view->upstreams[index].owner;
        const auto usable = owner != this->settings.self && this->is_reachable_owner(owner, now);
        // When the owner advertises no free slot, one waiting request at a time probes it.
        const auto probe = usable && slot.published_free == 0 && now >= slot.next_probe;
        for (bool first = true; usable && (slot.published_free > 0 || (probe && first));
             first = false)
        {
            slot.next_probe = now + probe_interval;
            const auto next = this->next_waiter(pool, index, now, true);
            if (next.queue == nullptr)
            {
                break;
            }
            const auto id = next.position->second.request.id;
            this->drop_waiter(*next.queue, next.position);
            ++this->tally.forwarded_elsewhere;
            this->ended.push_back({id, this->forward(pool, index)});
        }
    }
}

auto admission::set_target(const pool_ref& pool, waiter& item, std::size_t index, bool notify_owner)
    -> void
{
    if (item.target != upstream_id{})
    {
        auto& former = this->slots[item.target];
        POPLARDRIFT_ASSERT(former.wanted > 0);
        --former.wanted;
        former.reported_wanted -= item.request.may_forward ? 0 : 1;
    }
    item.target = pool.view->upstreams[index].id;
    ++pool.state->slots[index]->wanted;
    pool.state->slots[index]->reported_wanted += item.request.may_forward ? 0 : 1;
    if (notify_owner && !item.request.may_forward && pool.view->upstreams[index].owner != host_id{})
    {
        this->owners_to_notify.insert(pool.view->upstreams[index].owner);
    }
}

auto admission::enqueue(const pool_ref& pool, std::size_t target, const placement_request& request,
                        time_point now) -> placement_result
{
    auto& queue = pool.state->queues[request.workspace];
    const auto full = this->total_queued >= this->current->limits.max_queued ||
                      static_cast<std::int64_t>(queue.size()) >= request.max_queued;
    if (full)
    {
        // A request of higher priority replaces the last request in the queue of its workspace.
        const auto least = queue.empty() ? queue.end() : std::prev(queue.end());
        if (least == queue.end() || least->second.request.priority >= request.priority)
        {
            return refused{refusal::queue_full};
        }
        this->ended.push_back({least->second.request.id, refused{refusal::queue_full}});
        this->drop_waiter(queue, least);
    }
    waiter item;
    item.request = request;
    item.first_target = pool.view->upstreams[target].id;
    item.next_retarget = now + std::max(request.target_wait, this->settings.min_target_wait);
    this->set_target(pool, item, target, true);
    queue.emplace(waiter_key{-request.priority, ++this->arrivals}, item);
    ++this->total_queued;
    return waiting{};
}

auto admission::drop_waiter(workspace_queue& queue, workspace_queue::iterator position)
    -> workspace_queue::iterator
{
    auto& slot = this->slots[position->second.target];
    POPLARDRIFT_ASSERT(slot.wanted > 0 && this->total_queued > 0);
    --slot.wanted;
    slot.reported_wanted -= position->second.request.may_forward ? 0 : 1;
    --this->total_queued;
    return queue.erase(position);
}

auto admission::next_waiter(const pool_ref& pool, std::size_t index, time_point now,
                            bool by_forward) -> waiter_ref
{
    // Weighted fair queuing: the workspace with the fewest requests in flight relative to its share
    // goes first, so that a workspace with a burst cannot exceed its share while others wait.
    waiter_ref best;
    double best_use = 0.0;
    for (auto& [workspace, queue] : pool.state->queues)
    {
        const auto fits = [&](const auto& item)
        {
            const auto& candidate = item.second;
            const auto accepts_upstream =
                candidate.accepts_any || candidate.target == pool.view->upstreams[index].id;
            const auto cannot_forward = by_forward && candidate.request.pinned.has_value();
            return !cannot_forward && accepts_upstream &&
                   (!by_forward || candidate.request.may_forward) &&
                   this->is_usable(pool, index, candidate.request, now);
        };
        const auto first = std::find_if(queue.begin(), queue.end(), fits);
        if (first == queue.end())
        {
            continue;
        }
        const auto use = (this->workspace_in_flight[workspace] + 1) / first->second.request.share;
        if (best.queue == nullptr || use < best_use)
        {
            best = {&queue, first};
            best_use = use;
        }
    }
    return best;
}

auto admission::serve_waiters(const pool_ref& pool, std::size_t index, time_point now) -> void
{
    while (this->has_free_slot(*pool.state->slots[index], now))
    {
        const auto next = this->next_waiter(pool, index, now, false);
        if (next.queue == nullptr)
        {
            return;
        }
        const auto request = next.position->second.request;
        const auto is_preferred =
            next.position->second.first_target == pool.view->upstreams[index].id;
        ++(is_preferred ? this->tally.preferred_waited : this->tally.elsewhere);
        this->drop_waiter(*next.queue, next.position);
        this->ended.push_back({request.id, this->take_slot(pool, index, request)});
    }
}

auto admission::release(upstream_id upstream, workspace_id workspace, time_point now) -> void
{
    auto& slot = this->slots[upstream];
    auto& used = this->workspace_in_flight[workspace];
    POPLARDRIFT_ASSERT(slot.in_use > 0 && used > 0 && this->total_in_flight > 0);
    --slot.in_use;
    --used;
    --this->total_in_flight;
    if (this->total_queued == 0)
    {
        return;
    }
    const auto pool = this->find_pool(slot.pool);
    if (pool.view == nullptr)
    {
        return;
    }
    const auto at = std::find(pool.state->slots.begin(), pool.state->slots.end(), &slot);
    if (at != pool.state->slots.end())
    {
        this->serve_waiters(pool, static_cast<std::size_t>(at - pool.state->slots.begin()), now);
    }
}

auto admission::cancel(request_id id) -> bool
{
    for (auto& [pool, state] : this->pools)
    {
        for (auto& [workspace, queue] : state.queues)
        {
            const auto found =
                std::find_if(queue.begin(), queue.end(),
                             [&](const auto& item) { return item.second.request.id == id; });
            if (found != queue.end())
            {
                this->drop_waiter(queue, found);
                return true;
            }
        }
    }
    return false;
}

auto admission::still_valid(upstream_id upstream, time_point now) const -> bool
{
    if (this->settings.policy != placement_policy::affinity_within_bounds)
    {
        return true;
    }
    const auto found = this->slots.find(upstream);
    return found != this->slots.end() && now < found->second.valid_until &&
           found->second.in_use <= found->second.granted;
}

auto admission::ejected_share(const pool_ref& pool, time_point now) const -> double
{
    const auto& all = pool.state->slots;
    const auto ejected = std::count_if(all.begin(), all.end(),
                                       [&](const auto* slot) { return now < slot->ejected_until; });
    return static_cast<double>(ejected) / static_cast<double>(std::max<std::size_t>(all.size(), 1));
}

auto admission::on_result(upstream_id upstream, bool succeeded, time_point now) -> bool
{
    auto& slot = this->slots[upstream];
    if (succeeded)
    {
        slot.failures = 0;
        const auto long_ago = now - slot.ejected_until > this->settings.max_ejection;
        slot.ejections = long_ago ? 0 : slot.ejections;
        return false;
    }
    ++slot.failures;
    const auto pool = this->find_pool(slot.pool);
    const auto may_eject = pool.view != nullptr && now >= slot.ejected_until &&
                           slot.failures >= this->settings.consecutive_failures_to_eject &&
                           this->ejected_share(pool, now) < this->settings.max_ejected_share;
    if (!may_eject)
    {
        return false;
    }
    const auto ejection_time =
        this->settings.base_ejection * (std::int64_t{1} << std::min(slot.ejections, 10U));
    slot.ejected_until = now + std::min<duration>(ejection_time, this->settings.max_ejection);
    ++slot.ejections;
    slot.failures = 0;
    return true;
}

auto admission::on_grant(upstream_id upstream, std::uint32_t granted, time_point valid_until,
                         time_point now) -> void
{
    auto& slot = this->slots[upstream];
    slot.granted = granted;
    slot.valid_until = valid_until;
    const auto pool = this->find_pool(slot.pool);
    if (pool.view == nullptr || this->total_queued == 0)
    {
        return;
    }
    const auto at = std::find(pool.state->slots.begin(), pool.state->slots.end(), &slot);
    if (at == pool.state->slots.end())
    {
        return;
    }
    this->serve_waiters(pool, static_cast<std::size_t>(at - pool.state->slots.begin()), now);
    // The owner has answered: requests that its grant does not cover stop waiting for this target.
    for (auto& [workspace, queue] : pool.state->queues)
    {
        for (auto& [key, item] : queue)
        {
            const auto awaits_grant = !item.request.may_forward && !item.request.pinned;
            const auto left_out = awaits_grant && item.target == upstream && !item.accepts_any;
            this->tally.left_out += left_out ? 1 : 0;
            item.next_retarget = left_out ? now : item.next_retarget;
        }
    }
    this->tick_pool(pool, now);
}

auto admission::on_free_slots(upstream_id upstream, std::uint32_t free_slots) -> void
{
    this->slots[upstream].published_free = free_slots;
}

auto admission::revoke(upstream_id upstream) -> void
{
    const auto found = this->slots.find(upstream);
    if (found != this->slots.end())
    {
        found->second.granted = 0;
    }
}

auto admission::on_exception(const placement_exception& item) -> void
{
    this->exceptions.store(item.conversation, item.upstream);
}

auto admission::choose_target(const pool_ref& pool, const waiter& item, time_point now) const
    -> std::optional<std::size_t>
{
    // Prefer the upstream with the most advertised free slots less this host's waiting requests;
    // break ties by hash.
    std::optional<std::size_t> best;
    std::int64_t best_free = 0;
    std::uint64_t best_hash = 0;
    for (std::size_t index = 0; index < pool.view->upstreams.size(); ++index)
    {
        if (!this->is_usable(pool, index, item.request, now))
        {
            continue;
        }
        const auto& upstream = pool.view->upstreams[index];
        const auto& slot = *pool.state->slots[index];
        const auto free_count = static_cast<std::int64_t>(slot.published_free) - slot.wanted;
        const auto hash = hash_pair_64(item.request.id.value(), upstream.id.value());
        if (!best || free_count > best_free || (free_count == best_free && hash > best_hash))
        {
            best = index;
            best_free = free_count;
            best_hash = hash;
        }
    }
    return best;
}

auto admission::retarget_waiter(const pool_ref& pool, waiter& item, time_point now)
    -> std::optional<wait_result>
{
    const auto first_time = !item.accepts_any;
    this->tally.unanswered += first_time ? 1 : 0;
    item.accepts_any = true;
    item.next_retarget = now + retarget_interval;
    const auto best =
        best_upstream(*pool.view, item.request.conversation,
                      [&](std::size_t index, const auto&)
                      {
                          const auto fits =
                              item.request.may_forward
                                  ? this->may_have_slot(pool, index, now)
                                  : this->has_free_slot(*pool.state->slots[index], now);
                          return fits && this->is_usable(pool, index, item.request, now);
                      });
    if (best && this->has_free_slot(*pool.state->slots[*best], now))
    {
        ++this->tally.elsewhere;
        return this->take_slot(pool, *best, item.request);
    }
    if (best)
    {
        ++this->tally.forwarded_elsewhere;
        return this->forward(pool, *best);
    }
    const auto target = this->choose_target(pool, item, now);
    if (target)
    {
        this->set_target(pool, item, *target, first_time);
    }
    return std::nullopt;
}

auto admission::tick_queue(const pool_ref& pool, workspace_queue& queue, time_point now) -> void
{
    for (auto position = queue.begin(); position != queue.end();)
    {
        auto& item = position->second;
        const auto pin_expired = item.request.pinned && now >= item.next_retarget;
        if (now >= item.request.deadline || pin_expired)
        {
            const auto reason = pin_expired ? refusal::no_slot : refusal::queue_timeout;
            this->ended.push_back({item.request.id, refused{reason}});
            position = this->drop_waiter(queue, position);
            continue;
        }
        const auto place =
            now >= item.next_retarget ? this->retarget_waiter(pool, item, now) : std::nullopt;
        if (place)
        {
            this->ended.push_back({item.request.id, *place});
            position = this->drop_waiter(queue, position);
            continue;
        }
        ++position;
    }
}

auto admission::tick_pool(const pool_ref& pool, time_point now) -> void
{
    for (auto& [workspace, queue] : pool.state->queues)
    {
        this->tick_queue(pool, queue, now);
    }
    this->forward_waiters(pool, now);
    std::erase_if(pool.state->queues, [](const auto& item) { return item.second.empty(); });
}

auto admission::on_tick(time_point now) -> void
{
    if (this->total_queued == 0)
    {
        return;
    }
    for (const auto& view : this->current->pools)
    {
        this->tick_pool(this->find_pool(view.id), now);
    }
}

auto admission::take_ended() -> std::vector<wait_ended>
{
    return std::exchange(this->ended, {});
}

auto admission::take_owners_to_notify() -> std::set<host_id>
{
    return std::exchange(this->owners_to_notify, {});
}

auto admission::take_exceptions(std::size_t max_count) -> std::vector<placement_exception>
{
    const auto count = std::min(max_count, this->outgoing_exceptions.size());
    const auto first = this->outgoing_exceptions.end() - static_cast<std::ptrdiff_t>(count);
    std::vector<placement_exception> result(first, this->outgoing_exceptions.end());
    this->outgoing_exceptions.erase(first, this->outgoing_exceptions.end());
    return result;
}

auto admission::uses(time_point now) const -> std::vector<slot_use>
{
    std::vector<slot_use> result;
    for (const auto& pool : this->current->pools)
    {
        const auto& state = this->pools.at(pool.id);
        for (std::size_t index = 0; index < pool.upstreams.size(); ++index)
        {
            const auto& slot = *state.slots[index];
            const auto held = now < slot.valid_until ? slot.granted : 0;
            if (slot.in_use + slot.reported_wanted + held > 0)
            {
                const auto& upstream = pool.upstreams[index];
                result.push_back(
                    {upstream.id, upstream.owner, slot.in_use, slot.reported_wanted, held});
            }
        }
    }
    return result;
}

auto admission::loads() const -> std::vector<pool_load>
{
    std::vector<pool_load> result;
    for (const auto& pool : this->current->pools)
    {
        pool_load load{pool.id, 0, 0};
        const auto& state = this->pools.at(pool.id);
        for (std::size_t index = 0; index < pool.upstreams.size(); ++index)
        {
            const auto& upstream = pool.upstreams[index];
            const auto in_use = upstream.eligible ? state.slots[index]->in_use : 0;
            load.all += in_use;
            load.warm += upstream.state == upstream_state::warm ? in_use : 0;
        }
        result.push_back(load);
    }
    return result;
}

} // namespace poplardrift
