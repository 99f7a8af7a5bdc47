#include "emulator/engine.hpp"

#include "emulator/answer_text.hpp"
#include "net/clock.hpp"
#include "poplardrift/base/crypto.hpp"
#include "poplardrift/base/ids.hpp"

#include <cmath>
#include <random>

namespace poplardrift::emulator
{

namespace
{

/// A warm engine joins the mean after this time, so that routers can learn of it.
constexpr std::int64_t settle_ms = 15'000;
/// An engine that was pushed past what it bears is down for this long.
constexpr std::int64_t crash_ms = 3'000;
constexpr int unavailable = 503;
constexpr std::size_t most_resumable = 20'000;

auto fresh_incarnation() -> std::uint32_t
{
    std::random_device source;
    return static_cast<std::uint32_t>(source()) | 1U;
}

} // namespace

/// What one request is answered with.
struct engine::answer_plan
{
    std::string id;
    std::string request_id;
    std::uint64_t prompt = 0;
    std::vector<std::pair<std::uint64_t, std::int64_t>> prefixes;
    std::int64_t prompt_token_count = 0;
    std::int64_t cached = 0;
    std::int64_t first = 1; ///< number of the first event to send
    std::int64_t length = 16;
    std::uint64_t generation = 0;
    std::string caller;
    bool breaks = false;
};

/// Counts one request as in flight for as long as it lives.
struct engine::held_request
{
    explicit held_request(engine& at) : at(at) {}
    ~held_request() { this->at.running.fetch_sub(1); }
    held_request(const held_request&) = delete;
    auto operator=(const held_request&) -> held_request& = delete;
    engine& at;
};

auto prefix_cache::longest(const std::vector<std::pair<std::uint64_t, std::int64_t>>& prefixes)
    -> std::int64_t
{
    const std::lock_guard lock(this->mutex);
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix)
    {
        const auto found = this->entries.find(prefix->first);
        if (found != this->entries.end())
        {
            this->by_use.splice(this->by_use.begin(), this->by_use, found->second);
            return prefix->second;
        }
    }
    return 0;
}

auto prefix_cache::store(std::uint64_t hash, std::int64_t tokens) -> void
{
    const std::lock_guard lock(this->mutex);
    if (this->entries.contains(hash))
    {
        return;
    }
    this->by_use.push_front({hash, tokens});
    this->entries[hash] = this->by_use.begin();
    this->used_tokens += tokens;
    while (this->used_tokens > this->most_tokens && this->by_use.size() > 1)
    {
        this->used_tokens -= this->by_use.back().tokens;
        this->entries.erase(this->by_use.back().hash);
        this->by_use.pop_back();
    }
}

auto prefix_cache::contains(std::uint64_t hash) const -> bool
{
    const std::lock_guard lock(this->mutex);
    return this->entries.contains(hash);
}

auto prefix_cache::clear() -> void
{
    const std::lock_guard lock(this->mutex);
    this->by_use.clear();
    this->entries.clear();
    this->used_tokens = 0;
}

auto engine_group::check_bound(const engine& at, world& around) -> void
{
    double total = 0;
    double weights = 0;
    for (const auto* member : this->members)
    {
        // A zone that is cut off cannot know what the others carry: it is judged by itself.
        if (member->counts_towards_mean() && !around.are_cut(member->in_zone(), at.in_zone()))
        {
            total += member->in_flight();
            weights += member->weight();
        }
    }
    if (!at.counts_towards_mean() || total <= 0)
    {
        return;
    }
    const auto mean = total * at.weight() / weights;
    const auto load = at.in_flight();
    if (load > std::ceil(this->bound.load() * mean - 1e-9))
    {
        around.violations().add("load_bound");
    }
    // Where the mean is below one request, one request is no skew.
    const auto ratio = load / std::max(mean, 1.0);
    auto seen = this->skew.load();
    while (ratio > seen && !this->skew.compare_exchange_weak(seen, ratio))
    {
    }
}

engine::engine(const nlohmann::json& settings, const nlohmann::json& defaults, world& around,
               engine_group& group)
    : own_name(settings.at("name")), zone(settings.at("zone")),
      own_weight(settings.value("weight", 1.0)), around(around), group(group),
      listener(
          {.address = settings.at("address"), .port = settings.at("port"), .idle_seconds = 60}),
      cache(settings.value("cache_tokens", defaults.value("cache_tokens", 200'000))),
      slots(settings.value("slots", defaults.value("slots", 64))),
      cold_bearable(settings.value("cold_bearable", defaults.value("cold_bearable", 2))),
      warm_after(settings.value("warm_after", defaults.value("warm_after", 6))),
      prefill_ms_per_1k(defaults.value("prefill_ms_per_1k", 60.0)),
      token_ms(defaults.value("token_ms", 20.0)),
      checks_fencing(settings.value("checks_fencing", false)), incarnation(fresh_incarnation()),
      model(defaults.value("model", "base"))
{
    if (settings.value("warm", defaults.value("warm", false)))
    {
        this->served_since_cold = this->warm_after;
        this->warm_since_ms = wall_clock_ms();
    }
    auto& http = this->listener.server();
    http.Post("/v1/chat/completions", [this](const auto& request, auto& response)
              { this->handle_chat(request, response); });
    http.Post(R"(/v1/streams/([^/]+)/resume)", [this](const auto& request, auto& response)
              { this->handle_resume(request, response); });
    http.Get("/report", [this](const auto& request, auto& response)
             { this->handle_report(request, response); });
    http.Post("/orders", [this](const auto& request, auto& response)
              { this->handle_order(request, response); });
}

auto engine::start() -> bool
{
    return this->listener.start();
}

auto engine::is_cold() const -> bool
{
    return this->served_since_cold.load() < this->warm_after;
}

auto engine::bearable() const -> int
{
    return this->is_cold() ? this->cold_bearable : this->slots * 4;
}

auto engine::counts_towards_mean() const -> bool
{
    return !this->is_cold() && !this->faults.down && !this->faults.leaving &&
           !this->faults.silent && wall_clock_ms() - this->warm_since_ms.load() > settle_ms &&
           wall_clock_ms() > this->down_until_ms.load() && !this->around.is_out(this->zone) &&
           !this->around.is_out(this->own_name);
}

auto engine::turn_cold() -> void
{
    this->served_since_cold = 0;
    this->incarnation = fresh_incarnation();
    this->cache.clear();
    ++this->generation;
}

auto engine::decode_ms() const -> double
{
    // Past its batch size an engine shares its time.
    const auto crowding = std::max(1.0, static_cast<double>(this->running.load()) / this->slots);
    return this->token_ms * crowding;
}

auto engine::admit() -> bool
{
    ++this->requests;
    const auto now_running = this->running.fetch_add(1) + 1;
    auto highest = this->peak.load();
    while (now_running > highest && !this->peak.compare_exchange_weak(highest, now_running))
    {
    }
    if (this->is_cold() && now_running > this->bearable())
    {
        // Pushed past what it bears: it falls over and takes everything with it.
        this->around.violations().add("cold_start");
        this->down_until_ms = wall_clock_ms() + crash_ms;
        this->turn_cold();
    }
    this->group.check_bound(*this, this->around);
    if (this->around.is_late_for(this->zone) || this->around.is_late_for(this->own_name))
    {
        this->around.violations().add("taken_out");
    }
    return wall_clock_ms() > this->down_until_ms.load();
}

auto engine::prefill(answer_plan& plan) -> void
{
    plan.cached = std::min(this->cache.longest(plan.prefixes), plan.prompt_token_count);
    this->prompt_tokens += plan.prompt_token_count;
    this->cached_tokens += plan.cached;
    const auto fresh = static_cast<double>(plan.prompt_token_count - plan.cached);
    const auto slowdown = this->is_cold() ? 3.0 : 1.0;
    sleep_ms(this->around.latency_ms() * 2 + this->faults.late_ms.load() +
             fresh / 1000.0 * this->prefill_ms_per_1k * slowdown);
}

auto engine::finish(const answer_plan& plan) -> void
{
    // The prompt with its answer is what the next turn begins with.
    std::string answer;
    for (std::int64_t number = 1; number <= plan.length; ++number)
    {
        answer += token_text(plan.prompt, number);
    }
    this->cache.store(extend_prompt(plan.prompt, "assistant", answer),
                      plan.prompt_token_count + tokens_of(answer));
    ++this->served;
    if (++this->served_since_cold == this->warm_after)
    {
        this->warm_since_ms = wall_clock_ms();
    }
}

auto engine::handle_chat(const httplib::Request& request, httplib::Response& response) -> void
{
    if (!this->around.wait_while_cut(request.remote_addr, this->zone))
    {
        drop_connection(response);
        return;
    }
    while (this->faults.silent)
    {
        sleep_ms(50);
    }
    response.set_header("x-request-id", request.get_header_value("x-request-id"));
    if (this->faults.down || wall_clock_ms() <= this->down_until_ms.load())
    {
        reply(response, unavailable, {{"error", {{"message", "engine is down"}}}});
        return;
    }
    if (this->faults.nonsense)
    {
        response.set_content("\x01\x02 this is no answer", "text/plain");
        return;
    }
    auto held = std::make_shared<held_request>(*this);
    if (!this->admit())
    {
        reply(response, unavailable, {{"error", {{"message", "engine has fallen over"}}}});
        return;
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.contains("messages"))
    {
        reply(response, 400, {{"error", {{"message", "messages are missing"}}}});
        return;
    }
    auto plan = std::make_shared<answer_plan>();
    plan->id = "chatcmpl-" + random_hex(8);
    plan->request_id = request.get_header_value("x-request-id");
    for (const auto& message : body["messages"])
    {
        const auto content = message.value("content", "");
        plan->prompt = extend_prompt(plan->prompt, message.value("role", ""), content);
        plan->prompt_token_count += tokens_of(content);
        plan->prefixes.emplace_back(plan->prompt, plan->prompt_token_count);
    }
    plan->length = body.value("max_tokens", 16);
    plan->generation = this->generation.load();
    plan->caller = request.remote_addr;
    plan->breaks = random_fraction() < this->faults.break_streams.load();
    // A caller that brings an answer's beginning wants its end.
    const auto last = request.get_header_value("last-event-id");
    plan->first = last.empty() ? 1 : std::atoll(last.c_str()) + 1;
    response.set_header("x-stream-id", plan->id);
    if (body.value("stream", false))
    {
        this->answer_stream(std::move(plan), std::move(held), response);
        return;
    }
    this->prefill(*plan);
    this->answer_whole(*plan, response);
}

auto engine::answer_whole(const answer_plan& plan, httplib::Response& response) -> void
{
    std::string text;
    for (auto number = plan.first; number <= plan.length; ++number)
    {
        sleep_ms(this->decode_ms());
        text += token_text(plan.prompt, number);
    }
    if (plan.generation != this->generation.load() || plan.breaks)
    {
        drop_connection(response);
        return;
    }
    this->finish(plan);
    reply(response, 200,
          {{"id", plan.id},
           {"object", "chat.completion"},
           {"choices",
            {{{"index", 0},
              {"message", {{"role", "assistant"}, {"content", text}}},
              {"finish_reason", "stop"}}}},
           {"usage",
            {{"prompt_tokens", plan.prompt_token_count},
             {"completion_tokens", plan.length},
             {"prompt_tokens_details", {{"cached_tokens", plan.cached}}}}}});
}

auto engine::write_token(const answer_plan& plan, std::int64_t number, httplib::DataSink& sink)
    -> bool
{
    const auto event = [&](const std::string& id)
    {
        return "id: " + std::to_string(number) + "\ndata: {\"id\":\"" + id +
               "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{"
               "\"content\":\"" +
               token_text(plan.prompt, number) + "\"}}]}\n\n";
    };
    std::string text;
    if (random_fraction() < this->faults.cross.load())
    {
        text += event("chatcmpl-of-somebody-else");
    }
    text += event(plan.id);
    if (random_fraction() < this->faults.reorder.load())
    {
        text += event(plan.id);
    }
    return sink.write(text.data(), text.size());
}

auto engine::stream_events(const answer_plan& plan, httplib::DataSink& sink) -> bool
{
    const auto is_broken = [&](std::int64_t number)
    {
        return plan.generation != this->generation.load() ||
               (plan.breaks && number > plan.first + plan.length / 3);
    };
    for (auto number = plan.first; number <= plan.length; ++number)
    {
        sleep_ms(this->decode_ms());
        while (this->faults.silent || this->around.is_unreachable(plan.caller, this->zone))
        {
            sleep_ms(20);
            if (!sink.is_writable())
            {
                return false;
            }
        }
        if (is_broken(number) || !this->write_token(plan, number, sink))
        {
            return false;
        }
    }
    const auto last = std::to_string(plan.length + 1);
    const nlohmann::json usage = {{"id", plan.id},
                                  {"object", "chat.completion.chunk"},
                                  {"choices", nlohmann::json::array()},
                                  {"usage",
                                   {{"prompt_tokens", plan.prompt_token_count},
                                    {"completion_tokens", plan.length},
                                    {"prompt_tokens_details", {{"cached_tokens", plan.cached}}}}}};
    const auto end = "id: " + last + "\ndata: " + usage.dump() +
                     "\n\nid: " + std::to_string(plan.length + 2) + "\ndata: [DONE]\n\n";
    if (!sink.write(end.data(), end.size()))
    {
        return false;
    }
    this->finish(plan);
    sink.done();
    return true;
}

auto engine::answer_stream(std::shared_ptr<answer_plan> plan, std::shared_ptr<held_request> held,
                           httplib::Response& response) -> void
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->streams.size() > most_resumable)
        {
            this->streams.clear();
        }
        this->streams[plan->id] = plan;
    }
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, plan = std::move(plan), held = std::move(held)](std::size_t, httplib::DataSink& sink)
        {
            this->prefill(*plan);
            return this->stream_events(*plan, sink);
        });
}

auto engine::handle_resume(const httplib::Request& request, httplib::Response& response) -> void
{
    std::shared_ptr<answer_plan> plan;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->streams.find(request.matches[1]);
        if (found != this->streams.end())
        {
            plan = std::make_shared<answer_plan>(*found->second);
        }
    }
    const auto gone = plan == nullptr || plan->generation != this->generation.load();
    if (gone || this->faults.down || wall_clock_ms() <= this->down_until_ms.load())
    {
        reply(response, 404, {{"error", {{"message", "no such stream"}}}});
        return;
    }
    auto held = std::make_shared<held_request>(*this);
    if (!this->admit())
    {
        reply(response, unavailable, {{"error", {{"message", "engine has fallen over"}}}});
        return;
    }
    plan->first = std::atoll(request.get_header_value("last-event-id").c_str()) + 1;
    plan->breaks = false;
    plan->caller = request.remote_addr;
    response.set_header("x-request-id", request.get_header_value("x-request-id"));
    response.set_header("x-stream-id", plan->id);
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, plan, held = std::move(held)](std::size_t, httplib::DataSink& sink)
        { return this->stream_events(*plan, sink); });
}

auto engine::handle_report(const httplib::Request& request, httplib::Response& response) -> void
{
    if (this->faults.down || this->faults.silent ||
        this->around.is_unreachable(request.remote_addr, this->zone) ||
        wall_clock_ms() <= this->down_until_ms.load())
    {
        drop_connection(response);
        return;
    }
    const auto running_now = this->running.load();
    nlohmann::json fresh = {{"incarnation", this->incarnation.load()},
                            {"in_flight", running_now},
                            {"waiting", std::max(0, running_now - this->slots)},
                            {"served", this->served.load()},
                            {"cold", this->is_cold()},
                            {"leaving", this->faults.leaving.load()}};
    const std::lock_guard lock(this->mutex);
    fresh["model"] = this->model;
    // A report is kept until it is older than the lag that is simulated.
    const auto now = wall_clock_ms();
    if (this->lagged_report.is_null() ||
        now - this->lagged_at_ms >= this->faults.report_lag_ms.load())
    {
        this->lagged_report = std::move(fresh);
        this->lagged_at_ms = now;
    }
    reply(response, 200, this->lagged_report);
}

auto engine::handle_order(const httplib::Request& request, httplib::Response& response) -> void
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_discarded())
    {
        reply(response, 400, {{"error", "no JSON"}});
        return;
    }
    const auto fencing = body.value("fencing", std::uint64_t{0});
    {
        const std::lock_guard lock(this->mutex);
        const auto stale = fencing < this->highest_fencing;
        if (stale && this->checks_fencing)
        {
            reply(response, 409, {{"error", "old fencing number"}});
            return;
        }
        if (stale)
        {
            // Nothing stops it here: an order of a former holder has taken effect.
            ++this->stale_orders;
            this->around.violations().add("stale_order");
        }
        this->highest_fencing = std::max(this->highest_fencing, fencing);
        this->model = body.value("model", this->model);
        ++this->orders_taken;
    }
    if (this->running.load() > 0)
    {
        this->around.violations().add("order_cut_requests");
    }
    this->turn_cold();
    reply(response, 200, {{"model", this->model}});
}

auto engine::set_faults(const nlohmann::json& changes) -> void
{
    const auto flag = [&](const char* name, std::atomic<bool>& target)
    { target = changes.value(name, target.load()); };
    const auto number = [&](const char* name, std::atomic<double>& target)
    { target = changes.value(name, target.load()); };
    flag("silent", this->faults.silent);
    flag("leaving", this->faults.leaving);
    flag("nonsense", this->faults.nonsense);
    number("late_ms", this->faults.late_ms);
    number("cross", this->faults.cross);
    number("reorder", this->faults.reorder);
    number("break_streams", this->faults.break_streams);
    number("report_lag_ms", this->faults.report_lag_ms);
    const auto was_down = this->faults.down.load();
    flag("down", this->faults.down);
    if (changes.value("cold", false) || (!was_down && this->faults.down))
    {
        this->turn_cold();
    }
}

auto engine::stats() const -> nlohmann::json
{
    const std::lock_guard lock(this->mutex);
    return {{"name", this->own_name},
            {"zone", this->zone},
            {"in_flight", this->running.load()},
            {"peak", this->peak.load()},
            {"served", this->served.load()},
            {"requests", this->requests.load()},
            {"prompt_tokens", this->prompt_tokens.load()},
            {"cached_tokens", this->cached_tokens.load()},
            {"cold", this->is_cold()},
            {"model", this->model},
            {"orders", this->orders_taken},
            {"stale_orders", this->stale_orders}};
}

auto engine::reset_stats() -> void
{
    this->peak = this->running.load();
    this->requests = 0;
    this->prompt_tokens = 0;
    this->cached_tokens = 0;
}

} // namespace poplardrift::emulator
