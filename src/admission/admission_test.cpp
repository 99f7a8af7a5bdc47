#include "poplardrift/admission/admission.hpp"
#include "poplardrift/admission/retry_budget.hpp"
#include "poplardrift/placement/conversation.hpp"
#include "poplardrift/placement/rendezvous.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace poplardrift;
using namespace std::chrono_literals;

namespace
{

const host_id self{1};
const host_id other{2};
const time_point now = time_point(100s);
const auto pool = make_pool_id("chat");

/// Returns a view with `count` warm upstreams; odd ones are owned by another host.
auto make_view(int count, double first_weight = 1.0) -> std::shared_ptr<const routing_view>
{
    declarations declared;
    std::map<upstream_id, upstream_runtime_info> known;
    declared.zones["a"] = {};
    for (int number = 0; number < count; ++number)
    {
        upstream_declaration item;
        item.path = "/t/upstreams/e" + std::to_string(number);
        item.pool = "chat";
        item.zone = "a";
        item.weight = number == 0 ? first_weight : 1.0;
        const auto id = make_upstream_id(item.path);
        known[id].owner = number % 2 == 0 ? self : other;
        known[id].status = {id, upstream_state::warm, 10, 0, 1};
        declared.upstreams[item.path] = item;
    }
    return make_routing_view(declared, known, log_offset{1}, 1);
}

auto make_admission(int count) -> admission
{
    admission_settings settings;
    settings.self = self;
    admission result(settings);
    result.set_view(make_view(count), now);
    return result;
}

auto upstream_number(int number) -> upstream_id
{
    return make_upstream_id("/t/upstreams/e" + std::to_string(number));
}

auto make_request(std::uint64_t id, std::uint64_t conversation, std::uint32_t workspace = 1,
                  double share = 1.0) -> placement_request
{
    placement_request request;
    request.id = request_id{id};
    request.pool = pool;
    request.workspace = workspace_id{workspace};
    request.share = share;
    request.conversation = conversation_id{conversation};
    request.deadline = now + 2s;
    return request;
}

auto grant_all(admission& target, int count, std::uint32_t slots) -> void
{
    for (int number = 0; number < count; ++number)
    {
        target.on_grant(upstream_number(number), slots, now + 3s, now);
    }
}

} // namespace

TEST_CASE("a request waits without a grant and is placed when one arrives")
{
    auto target = make_admission(1);
    CHECK(std::holds_alternative<waiting>(target.request(make_request(1, 5), now)));
    target.on_grant(upstream_number(0), 1, now + 3s, now);
    const auto ended = target.take_ended();
    REQUIRE(ended.size() == 1);
    CHECK(std::holds_alternative<placed>(ended[0].result));
    CHECK(target.in_flight() == 1);
}

TEST_CASE("slots expire with their lease, also for a request that was paused after its placement")
{
    auto target = make_admission(1);
    grant_all(target, 1, 4);
    CHECK(std::holds_alternative<placed>(target.request(make_request(1, 5), now)));
    CHECK(target.still_valid(upstream_number(0), now + 2s));
    CHECK_FALSE(target.still_valid(upstream_number(0), now + 4s));
    CHECK(std::holds_alternative<waiting>(target.request(make_request(2, 5), now + 4s)));
}

TEST_CASE("a conversation returns to its upstream by hash, by a gossiped exception and by the "
          "caller's hint")
{
    auto target = make_admission(8);
    grant_all(target, 8, 4);
    const auto first = std::get<placed>(target.request(make_request(1, 77), now)).upstream;
    target.release(first, workspace_id{1}, now);
    CHECK(std::get<placed>(target.request(make_request(2, 77), now)).upstream == first);
    const auto elsewhere = first == upstream_number(2) ? upstream_number(4) : upstream_number(2);
    target.on_exception({conversation_id{77}, elsewhere});
    CHECK(std::get<placed>(target.request(make_request(3, 77), now)).upstream == elsewhere);
    auto hinted = make_request(4, 77);
    hinted.hint = first;
    CHECK(std::get<placed>(target.request(hinted, now)).upstream == first);
    // Each move is queued as an exception for other hosts.
    CHECK_FALSE(target.take_exceptions(10).empty());
}

TEST_CASE(
    "a request without a local slot is forwarded to the owner and placed elsewhere after a denial")
{
    auto target = make_admission(2);
    std::uint64_t conversation = 1;
    // Find a conversation whose first choice is owned by the other host.
    const auto& upstreams = target.view()->pools[0].upstreams;
    while (upstreams[*best_upstream(target.view()->pools[0], conversation_id{conversation},
                                    [](auto, const auto&) { return true; })]
               .owner != other)
    {
        ++conversation;
    }
    auto request = make_request(1, conversation);
    request.may_forward = true;
    const auto result = target.request(request, now);
    const auto* forward = std::get_if<forward_to_owner>(&result);
    REQUIRE(forward != nullptr);
    CHECK(forward->owner == other);
    target.on_grant(upstream_number(0), 1, now + 3s, now);
    CHECK(std::get<placed>(target.on_denied(request, *forward, true, now)).upstream ==
          upstream_number(0));
}

TEST_CASE("a pinned request gets a slot of its upstream or is refused")
{
    auto target = make_admission(4);
    grant_all(target, 4, 1);
    auto request = make_request(1, 5);
    request.pinned = upstream_number(2);
    CHECK(std::get<placed>(target.request(request, now)).upstream == upstream_number(2));
    request.id = request_id{2};
    CHECK(std::get<refused>(target.request(request, now)).reason == refusal::no_slot);
    // With a target wait it is queued until that time has passed.
    request.id = request_id{3};
    request.target_wait = 50ms;
    CHECK(std::holds_alternative<waiting>(target.request(request, now)));
    target.on_tick(now + 100ms);
    const auto ended = target.take_ended();
    REQUIRE(ended.size() == 1);
    CHECK(std::get<refused>(ended[0].result).reason == refusal::no_slot);
}

TEST_CASE("a workspace with a burst is limited to its share while another one waits")
{
    auto target = make_admission(1);
    grant_all(target, 1, 8);
    std::map<std::uint32_t, int> in_flight;
    std::uint64_t id = 0;
    // Workspace 1 fills all slots and queues more; workspace 2 has three times the share of
    // workspace 1.
    for (int count = 0; count < 40; ++count)
    {
        if (std::holds_alternative<placed>(target.request(make_request(++id, 0, 1, 1.0), now)))
        {
            ++in_flight[1];
        }
    }
    std::map<std::uint64_t, std::uint32_t> workspace_of;
    for (int count = 0; count < 20; ++count)
    {
        CHECK(std::holds_alternative<waiting>(target.request(make_request(++id, 0, 2, 3.0), now)));
        workspace_of[id] = 2;
    }
    target.on_tick(now + 50ms);
    for (int count = 0; count < 40; ++count)
    {
        const auto leaving = in_flight[1] > 2 || in_flight[2] == 0 ? 1U : 2U;
        --in_flight[leaving];
        target.release(upstream_number(0), workspace_id{leaving}, now + 60ms);
        for (const auto& item : target.take_ended())
        {
            ++in_flight[workspace_of.contains(item.id.value()) ? 2 : 1];
        }
        if (in_flight[2] == 6)
        {
            break;
        }
    }
    CHECK(in_flight[2] == 6);
    CHECK(in_flight[1] == 2);
}

TEST_CASE("queues are bounded and ordered by priority")
{
    auto target = make_admission(1);
    auto request = make_request(1, 0);
    request.max_queued = 2;
    CHECK(std::holds_alternative<waiting>(target.request(request, now)));
    request.id = request_id{2};
    CHECK(std::holds_alternative<waiting>(target.request(request, now)));
    request.id = request_id{3};
    CHECK(std::get<refused>(target.request(request, now)).reason == refusal::queue_full);
    request.id = request_id{4};
    request.priority = 1;
    CHECK(std::holds_alternative<waiting>(target.request(request, now)));
    auto ended = target.take_ended();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].id == request_id{2});
    target.on_grant(upstream_number(0), 1, now + 3s, now);
    ended = target.take_ended();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].id == request_id{4});
    // The remaining request is refused at its deadline.
    target.on_tick(now + 5s);
    ended = target.take_ended();
    REQUIRE(ended.size() == 1);
    CHECK(std::get<refused>(ended[0].result).reason == refusal::queue_timeout);
    CHECK(target.queued() == 0);
}

TEST_CASE("consecutive failures eject an upstream, but at most half of a pool")
{
    auto target = make_admission(4);
    grant_all(target, 4, 4);
    int ejected = 0;
    for (int number = 0; number < 4; ++number)
    {
        for (int failure = 0; failure < 3; ++failure)
        {
            ejected += target.on_result(upstream_number(number), false, now) ? 1 : 0;
        }
    }
    CHECK(ejected == 2);
    CHECK(std::holds_alternative<placed>(target.request(make_request(1, 5), now)));
}

TEST_CASE(
    "conversations are spread by weight, and removing an upstream moves only its conversations")
{
    const auto view = make_view(5, 3.0);
    const auto any = [](std::size_t, const auto&) { return true; };
    std::map<upstream_id, int> counts;
    int moved = 0;
    const auto gone = view->pools[0].upstreams[1].id;
    for (std::uint64_t chat = 1; chat <= 7000; ++chat)
    {
        const auto first = *best_upstream(view->pools[0], conversation_id{chat}, any);
        ++counts[view->pools[0].upstreams[first].id];
        const auto without =
            *best_upstream(view->pools[0], conversation_id{chat},
                           [&](std::size_t, const auto& item) { return item.id != gone; });
        moved += first != without && view->pools[0].upstreams[first].id != gone ? 1 : 0;
    }
    CHECK(moved == 0);
    CHECK(counts[upstream_number(0)] > 2700);
    CHECK(counts[upstream_number(0)] < 3300);
}

TEST_CASE("the retry budget limits retries to a ratio of the requests")
{
    retry_budget budget({0.1, 5.0});
    int retries = 0;
    for (int count = 0; count < 1000; ++count)
    {
        budget.on_request();
        retries += budget.take() ? 1 : 0;
    }
    CHECK(retries <= 105);
    CHECK(retries >= 95);
}

TEST_CASE(
    "a conversation is identified by header, by cache key, by user, else by its first messages")
{
    const workspace_id workspace{1};
    const auto text = nlohmann::json::parse(
        R"({"user":"u","prompt_cache_key":"k","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]})");
    auto longer = text;
    longer["messages"].push_back({{"role", "assistant"}, {"content", "b"}});
    CHECK(identify_conversation(workspace, "h", text) ==
          identify_conversation(workspace, "h", nlohmann::json::object()));
    CHECK(identify_conversation(workspace, "", text) ==
          identify_conversation(workspace, "k", text));
    CHECK(identify_conversation(workspace_id{2}, "h", text) !=
          identify_conversation(workspace, "h", text));
    auto plain = text;
    plain.erase("user");
    plain.erase("prompt_cache_key");
    auto plain_longer = longer;
    plain_longer.erase("user");
    plain_longer.erase("prompt_cache_key");
    CHECK(identify_conversation(workspace, "", plain) ==
          identify_conversation(workspace, "", plain_longer));
    const auto hint =
        format_affinity_hint(conversation_id{9}, upstream_id{77}, "a secret of the hosts");
    CHECK(parse_affinity_hint(hint, conversation_id{9}, "a secret of the hosts") ==
          upstream_id{77});
    CHECK_FALSE(parse_affinity_hint(hint, conversation_id{8}, "a secret of the hosts"));
}
