#include "poplardrift/admission/admission.hpp"

#include "poplardrift/base/assert.hpp"
#include "poplardrift/placement/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace poplardrift
{

namespace
{

/// Pause between two choices of a waiting request's target, as long as a heartbeat.
constexpr duration target_interval = std::chrono::milliseconds(500);
/// Pause between two requests that try an owner without word of a free slot.
constexpr duration probe_interval = std::chrono::milliseconds(150);
/// Places kept for telling other hosts; older ones are dropped first.
constexpr std::size_t most_outgoing_exceptions = 4096;

auto is_excluded(const placement_request& wish, upstream_id id) -> bool
{
    return std::find(wish.excluded.begin(), wish.excluded.end(), id) != wish.excluded.end();
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
    this->outgoing_exceptions.reserve(most_outgoing_exceptions);
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
    // Line the slots of each pool up with the new view.
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
    // Requests that wait for a pool which is gone cannot be served.
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
                    {queue.begin()->second.wish.id, refused{refusal::no_upstream}});
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

auto admission::is_usable(const pool_ref& pool, std::size_t index, const placement_request& wish,
                          time_point now) const -> bool
{
    const auto& upstream = pool.view->upstreams[index];
    return upstream.eligible && now >= pool.state->slots[index]->ejected_until &&
           !is_excluded(wish, upstream.id);
}

auto admission::scan(const pool_ref& pool, const placement_request& wish, time_point now) const
    -> candidates
{
    if (wish.conversation == conversation_id{})
    {
        return this->scan_least_used(pool, wish, now);
    }
    candidates found;
    found.home =
        best_upstream(*pool.view, wish.conversation, [](std::size_t, const auto&) { return true; });
    found.usable = best_upstream(*pool.view, wish.conversation,
                                 [&](std::size_t index, const auto&)
                                 { return this->is_usable(pool, index, wish, now); });
    found.spare = found.usable;
    if (found.usable && !this->has_free_slot(*pool.state->slots[*found.usable], now))
    {
        found.spare =
            best_upstream(*pool.view, wish.conversation,
                          [&](std::size_t index, const auto&)
                          {
                              return this->has_free_slot(*pool.state->slots[index], now) &&
                                     this->is_usable(pool, index, wish, now);
                          });
    }
    return found;
}

auto admission::scan_least_used(const pool_ref& pool, const placement_request& wish,
                                time_point now) const -> candidates
{
    candidates found;
    double least_use = 0.0;
    double least_spare_use = 0.0;
    const auto count = pool.view->upstreams.size();
    for (std::size_t step = 0; step < count; ++step)
    {
        // Start at another place each time, so that ties are spread.
        const auto index = (pool.state->turn + step) % count;
        if (!this->is_usable(pool, index, wish, now))
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
        if (this->has_free_slot(slot, now) && (!found.spare || use < least_spare_use))
        {
            found.spare = index;
            least_spare_use = use;
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

auto admission::room_of(const pool_ref& pool, std::size_t index, time_point now) const
    -> std::int64_t
{
    const auto& slot = *pool.state->slots[index];
    const auto& upstream = pool.view->upstreams[index];
    const auto here = this->has_free_slot(slot, now) ? slot.granted - slot.in_use : 0;
    const auto told =
        upstream.owner != this->settings.self && this->is_reachable_owner(upstream.owner, now);
    return std::max<std::int64_t>(here, told ? slot.published_free : 0);
}

auto admission::roomiest(const pool_ref& pool, const placement_request& wish, time_point now) const
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    std::int64_t best_room = 0;
    std::uint64_t best_hash = 0;
    for (std::size_t index = 0; index < pool.view->upstreams.size(); ++index)
    {
        const auto room = this->room_of(pool, index, now);
        if (room == 0 || room < best_room || !this->is_usable(pool, index, wish, now))
        {
            continue;
        }
        const auto hash =
            hash_pair_64(wish.conversation.value(), pool.view->upstreams[index].id.value());
        if (!best || room > best_room || hash > best_hash)
        {
            best = index;
            best_room = room;
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
                          const placement_request& wish, time_point now)
    -> std::optional<std::size_t>
{
    if (wish.conversation == conversation_id{})
    {
        return found.spare ? found.spare : found.usable;
    }
    if (wish.is_new && found.usable)
    {
        const auto best = this->roomiest(pool, wish, now);
        return best ? best : found.usable;
    }
    // The caller's word first, then what hosts told, then the first choice.
    const auto told = wish.hint ? wish.hint : this->exceptions.find(wish.conversation);
    if (told)
    {
        const auto index = this->index_of(pool, *told);
        if (index && this->is_usable(pool, *index, wish, now))
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

auto admission::pick_baseline(const pool_ref& pool, const placement_request& wish, time_point now)
    -> std::optional<std::size_t>
{
    const auto count = pool.view->upstreams.size();
    const auto usable = [&](std::size_t index, const upstream_view&)
    { return this->is_usable(pool, index, wish, now); };
    if (this->settings.policy == placement_policy::rendezvous)
    {
        return best_upstream(*pool.view, wish.conversation, usable);
    }
    if (this->settings.policy == placement_policy::bounded_rendezvous)
    {
        return best_upstream(*pool.view, wish.conversation,
                             [&](std::size_t index, const upstream_view& item) {
                                 return usable(index, item) &&
                                        this->within_local_bound(pool, index);
                             });
    }
    if (this->settings.policy == placement_policy::least_loaded)
    {
        return this->scan_least_used(pool, wish, now).usable;
    }
    for (std::size_t step = 1; step <= count; ++step)
    {
        const auto index = (pool.state->turn + step) % count;
        if (usable(index, pool.view->upstreams[index]))
        {
            return index;
        }
    }
    return std::nullopt;
}

auto admission::learn_place(const pool_ref& pool, std::size_t index, conversation_id conversation)
    -> void
{
    const auto home =
        best_upstream(*pool.view, conversation, [](std::size_t, const auto&) { return true; });
    const auto place = pool.view->upstreams[index].id;
    const auto known = this->exceptions.find(conversation);
    const auto believed = known ? *known : pool.view->upstreams[*home].id;
    if (place == believed)
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
    if (this->outgoing_exceptions.size() == most_outgoing_exceptions)
    {
        const auto half = static_cast<std::ptrdiff_t>(most_outgoing_exceptions / 2);
        this->outgoing_exceptions.erase(this->outgoing_exceptions.begin(),
                                        this->outgoing_exceptions.begin() + half);
    }
    this->outgoing_exceptions.push_back({conversation, place});
}

auto admission::take_slot(const pool_ref& pool, std::size_t index, const placement_request& wish)
    -> placed
{
    ++pool.state->slots[index]->in_use;
    ++this->workspace_in_flight[wish.workspace];
    ++this->total_in_flight;
    pool.state->turn = static_cast<std::uint32_t>(index);
    if (wish.conversation != conversation_id{})
    {
        this->learn_place(pool, index, wish.conversation);
    }
    return {pool.view->upstreams[index].id};
}

auto admission::request(const placement_request& wish, time_point now) -> placement_result
{
    const auto pool = this->find_pool(wish.pool);
    if (pool.view == nullptr)
    {
        return refused{refusal::no_upstream};
    }
    if (wish.pinned)
    {
        return this->place_pinned(pool, wish, now);
    }
    if (this->settings.policy != placement_policy::affinity_within_bounds)
    {
        const auto index = this->pick_baseline(pool, wish, now);
        return index ? placement_result{this->take_slot(pool, *index, wish)}
                     : placement_result{refused{refusal::no_upstream}};
    }
    const auto found = this->scan(pool, wish, now);
    const auto target = this->preferred(pool, found, wish, now);
    if (!target)
    {
        return refused{refusal::no_upstream};
    }
    if (this->has_free_slot(*pool.state->slots[*target], now))
    {
        ++this->tally.preferred;
        return this->take_slot(pool, *target, wish);
    }
    // The wanted upstream is at its bound, and this host knows it exactly.
    const auto owner = pool.view->upstreams[*target].owner;
    // Whoever waits for any upstream goes first, so that each workspace gets its share.
    const auto others_wait = this->has_wide_waiter(pool);
    if (wish.may_forward && !others_wait && owner != this->settings.self &&
        this->is_reachable_owner(owner, now))
    {
        ++this->tally.forwarded;
        return this->forward(pool, *target);
    }
    if (wish.may_forward && !others_wait && wish.patience == duration{})
    {
        return this->place_elsewhere(pool, wish, *target, now);
    }
    return this->enqueue(pool, *target, wish, now);
}

auto admission::has_wide_waiter(const pool_ref& pool) const -> bool
{
    const auto is_wide = [](const auto& item) { return item.second.takes_any; };
    return std::any_of(pool.state->queues.begin(), pool.state->queues.end(),
                       [&](const auto& item)
                       { return std::any_of(item.second.begin(), item.second.end(), is_wide); });
}

auto admission::place_pinned(const pool_ref& pool, const placement_request& wish, time_point now)
    -> placement_result
{
    const auto index = this->index_of(pool, *wish.pinned);
    const auto free = index && this->is_usable(pool, *index, wish, now) &&
                      this->has_free_slot(*pool.state->slots[*index], now);
    if (free)
    {
        return this->take_slot(pool, *index, wish);
    }
    if (index && wish.patience > duration{} && this->is_usable(pool, *index, wish, now))
    {
        return this->enqueue(pool, *index, wish, now);
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
    const auto told_free = slot.published_free > 0 && owner != this->settings.self;
    return this->has_free_slot(slot, now) || (told_free && this->is_reachable_owner(owner, now));
}

auto admission::forward(const pool_ref& pool, std::size_t index) -> forward_to_owner
{
    auto& slot = *pool.state->slots[index];
    slot.published_free -= slot.published_free > 0 ? 1 : 0;
    return {pool.view->upstreams[index].owner, pool.view->upstreams[index].id};
}

auto admission::place_elsewhere(const pool_ref& pool, const placement_request& wish,
                                std::size_t target, time_point now) -> placement_result
{
    // The next choice by hash, which may hold the conversation from an earlier time like this.
    const auto best = best_upstream(*pool.view, wish.conversation,
                                    [&](std::size_t index, const auto&) {
                                        return this->may_have_slot(pool, index, now) &&
                                               this->is_usable(pool, index, wish, now);
                                    });
    if (!best)
    {
        return this->enqueue(pool, target, wish, now);
    }
    if (this->has_free_slot(*pool.state->slots[*best], now))
    {
        ++this->tally.elsewhere;
        return this->take_slot(pool, *best, wish);
    }
    ++this->tally.forwarded_elsewhere;
    return this->forward(pool, *best);
}

auto admission::on_denied(placement_request& wish, const forward_to_owner& tried, bool reached,
                          time_point now) -> placement_result
{
    ++this->tally.denied;
    ++wish.forwards;
    this->slots[tried.upstream].published_free = 0;
    if (!reached)
    {
        this->failed_owners[tried.owner] = now + this->settings.owner_rest;
    }
    const auto pool = this->find_pool(wish.pool);
    if (pool.view == nullptr)
    {
        return refused{refusal::no_upstream};
    }
    const auto target = this->preferred(pool, this->scan(pool, wish, now), wish, now);
    if (!target)
    {
        return refused{refusal::no_upstream};
    }
    if (wish.forwards >= this->settings.most_forwards)
    {
        return this->enqueue(pool, *target, wish, now);
    }
    return this->place_elsewhere(pool, wish, *target, now);
}

auto admission::on_forward_accepted(const placement_request& wish, upstream_id upstream) -> void
{
    // The owner tells the other hosts where the conversation runs.
    if (wish.conversation != conversation_id{})
    {
        this->exceptions.store(wish.conversation, upstream);
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
        // Without word of a free slot, one request at a time finds out.
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
            const auto id = next.position->second.wish.id;
            this->drop_waiter(*next.queue, next.position);
            ++this->tally.forwarded_elsewhere;
            this->ended.push_back({id, this->forward(pool, index)});
        }
    }
}

auto admission::aim_at(const pool_ref& pool, waiter& item, std::size_t index, bool ask) -> void
{
    if (item.target != upstream_id{})
    {
        auto& former = this->slots[item.target];
        POPLARDRIFT_ASSERT(former.wanted > 0);
        --former.wanted;
        former.asked -= item.wish.may_forward ? 0 : 1;
    }
    item.target = pool.view->upstreams[index].id;
    ++pool.state->slots[index]->wanted;
    pool.state->slots[index]->asked += item.wish.may_forward ? 0 : 1;
    if (ask && !item.wish.may_forward && pool.view->upstreams[index].owner != host_id{})
    {
        this->asks.insert(pool.view->upstreams[index].owner);
    }
}

auto admission::enqueue(const pool_ref& pool, std::size_t target, const placement_request& wish,
                        time_point now) -> placement_result
{
    auto& queue = pool.state->queues[wish.workspace];
    const auto full = this->total_queued >= this->current->limits.max_queued ||
                      static_cast<std::int64_t>(queue.size()) >= wish.max_queued;
    if (full)
    {
        // A higher priority takes the place of the least important request of its own workspace.
        const auto least = queue.empty() ? queue.end() : std::prev(queue.end());
        if (least == queue.end() || least->second.wish.priority >= wish.priority)
        {
            return refused{refusal::queue_full};
        }
        this->ended.push_back({least->second.wish.id, refused{refusal::queue_full}});
        this->drop_waiter(queue, least);
    }
    waiter item;
    item.wish = wish;
    item.first_target = pool.view->upstreams[target].id;
    item.next_choice = now + std::max(wish.patience, this->settings.ask_patience);
    this->aim_at(pool, item, target, true);
    queue.emplace(waiter_key{-wish.priority, ++this->arrivals}, item);
    ++this->total_queued;
    return waiting{};
}

auto admission::drop_waiter(workspace_queue& queue, workspace_queue::iterator position)
    -> workspace_queue::iterator
{
    auto& slot = this->slots[position->second.target];
    POPLARDRIFT_ASSERT(slot.wanted > 0 && this->total_queued > 0);
    --slot.wanted;
    slot.asked -= position->second.wish.may_forward ? 0 : 1;
    --this->total_queued;
    return queue.erase(position);
}

auto admission::next_waiter(const pool_ref& pool, std::size_t index, time_point now,
                            bool by_forward) -> waiter_ref
{
    // The workspace with the least in flight for its share goes first, so that a surging one is
    // held to its share while others want theirs.
    waiter_ref best;
    double best_use = 0.0;
    for (auto& [workspace, queue] : pool.state->queues)
    {
        const auto fits = [&](const auto& item)
        {
            const auto& candidate = item.second;
            const auto wants_it =
                candidate.takes_any || candidate.target == pool.view->upstreams[index].id;
            const auto elsewhere = by_forward && candidate.wish.pinned.has_value();
            return !elsewhere && wants_it && (!by_forward || candidate.wish.may_forward) &&
                   this->is_usable(pool, index, candidate.wish, now);
        };
        const auto first = std::find_if(queue.begin(), queue.end(), fits);
        if (first == queue.end())
        {
            continue;
        }
        const auto use = (this->workspace_in_flight[workspace] + 1) / first->second.wish.share;
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
        const auto wish = next.position->second.wish;
        const auto wanted = next.position->second.first_target == pool.view->upstreams[index].id;
        ++(wanted ? this->tally.preferred_waited : this->tally.elsewhere);
        this->drop_waiter(*next.queue, next.position);
        this->ended.push_back({wish.id, this->take_slot(pool, index, wish)});
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
                             [&](const auto& item) { return item.second.wish.id == id; });
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
        const auto long_ago = now - slot.ejected_until > this->settings.longest_ejection;
        slot.ejections = long_ago ? 0 : slot.ejections;
        return false;
    }
    ++slot.failures;
    const auto pool = this->find_pool(slot.pool);
    const auto may_eject = pool.view != nullptr && now >= slot.ejected_until &&
                           slot.failures >= this->settings.failures_to_eject &&
                           this->ejected_share(pool, now) < this->settings.most_ejected;
    if (!may_eject)
    {
        return false;
    }
    const auto length =
        this->settings.ejection * (std::int64_t{1} << std::min(slot.ejections, 10U));
    slot.ejected_until = now + std::min<duration>(length, this->settings.longest_ejection);
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
    // The owner has answered: those it left out need not wait for it any longer.
    for (auto& [workspace, queue] : pool.state->queues)
    {
        for (auto& [key, item] : queue)
        {
            const auto asked = !item.wish.may_forward && !item.wish.pinned;
            const auto left_out = asked && item.target == upstream && !item.takes_any;
            this->tally.left_out += left_out ? 1 : 0;
            item.next_choice = left_out ? now : item.next_choice;
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
    // Ask where the owner said that slots are free and fewest of this host's requests wait.
    std::optional<std::size_t> best;
    std::int64_t best_room = 0;
    std::uint64_t best_hash = 0;
    for (std::size_t index = 0; index < pool.view->upstreams.size(); ++index)
    {
        if (!this->is_usable(pool, index, item.wish, now))
        {
            continue;
        }
        const auto& upstream = pool.view->upstreams[index];
        const auto& slot = *pool.state->slots[index];
        const auto room = static_cast<std::int64_t>(slot.published_free) - slot.wanted;
        const auto hash = hash_pair_64(item.wish.id.value(), upstream.id.value());
        if (!best || room > best_room || (room == best_room && hash > best_hash))
        {
            best = index;
            best_room = room;
            best_hash = hash;
        }
    }
    return best;
}

auto admission::widen(const pool_ref& pool, waiter& item, time_point now)
    -> std::optional<wait_result>
{
    const auto first_time = !item.takes_any;
    this->tally.unanswered += first_time ? 1 : 0;
    item.takes_any = true;
    item.next_choice = now + target_interval;
    const auto best =
        best_upstream(*pool.view, item.wish.conversation,
                      [&](std::size_t index, const auto&)
                      {
                          const auto fits =
                              item.wish.may_forward
                                  ? this->may_have_slot(pool, index, now)
                                  : this->has_free_slot(*pool.state->slots[index], now);
                          return fits && this->is_usable(pool, index, item.wish, now);
                      });
    if (best && this->has_free_slot(*pool.state->slots[*best], now))
    {
        ++this->tally.elsewhere;
        return this->take_slot(pool, *best, item.wish);
    }
    if (best)
    {
        ++this->tally.forwarded_elsewhere;
        return this->forward(pool, *best);
    }
    const auto target = this->choose_target(pool, item, now);
    if (target)
    {
        this->aim_at(pool, item, *target, first_time);
    }
    return std::nullopt;
}

auto admission::tick_queue(const pool_ref& pool, workspace_queue& queue, time_point now) -> void
{
    for (auto position = queue.begin(); position != queue.end();)
    {
        auto& item = position->second;
        const auto given_up = item.wish.pinned && now >= item.next_choice;
        if (now >= item.wish.deadline || given_up)
        {
            const auto reason = given_up ? refusal::no_slot : refusal::queue_timeout;
            this->ended.push_back({item.wish.id, refused{reason}});
            position = this->drop_waiter(queue, position);
            continue;
        }
        const auto place = now >= item.next_choice ? this->widen(pool, item, now) : std::nullopt;
        if (place)
        {
            this->ended.push_back({item.wish.id, *place});
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

auto admission::take_asks() -> std::set<host_id>
{
    return std::exchange(this->asks, {});
}

auto admission::take_exceptions(std::size_t most) -> std::vector<placement_exception>
{
    const auto count = std::min(most, this->outgoing_exceptions.size());
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
            if (slot.in_use + slot.asked + held > 0)
            {
                const auto& upstream = pool.upstreams[index];
                result.push_back({upstream.id, upstream.owner, slot.in_use, slot.asked, held});
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
