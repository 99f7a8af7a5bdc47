#include "load/callers.hpp"

#include "emulator/answer_text.hpp"
#include "net/clock.hpp"
#include "net/response_check.hpp"
#include "poplardrift/base/crypto.hpp"
#include "poplardrift/streams/sse_splitter.hpp"

#include <httplib.h>

namespace poplardrift::load
{

namespace
{

constexpr int connect_tries = 3;
constexpr int read_timeout_seconds = 30;

/// Text of about so many tokens that no other conversation has.
auto make_text(std::uint64_t id, int turn, int tokens) -> std::string
{
    std::string text = "c" + std::to_string(id) + "t" + std::to_string(turn) + " ";
    while (emulator::tokens_of(text) < tokens)
    {
        text += "word ";
    }
    return text;
}

auto expected_answer(std::uint64_t prompt, int tokens) -> std::string
{
    std::string text;
    for (int number = 1; number <= tokens; ++number)
    {
        text += emulator::token_text(prompt, number);
    }
    return text;
}

auto open(const caller_endpoint& host) -> httplib::Client
{
    httplib::Client client(host.address, host.port);
    client.set_connection_timeout(1);
    client.set_read_timeout(read_timeout_seconds);
    client.set_tcp_nodelay(true);
    return client;
}

/// Says how a refusal with problem details ended the request.
auto end_of_problem(const std::string& body) -> request_end
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    const auto said = document.is_object() ? document.value("outcome", "") : "";
    return said == "not-run"   ? request_end::refused_not_run
           : said == "unknown" ? request_end::unknown
                               : request_end::lost;
}

/// What a streamed answer gave.
struct streamed_answer
{
    std::string text;
    bool complete = false;
    std::int64_t cached = 0;
    double first_token = 0;
    double last_token = 0;
    std::vector<float> gaps;
};

auto take_event(const sse_event& event, streamed_answer& answer, double begin, double now) -> void
{
    if (is_done_event(event))
    {
        answer.complete = true;
        return;
    }
    const auto document = nlohmann::json::parse(event.data, nullptr, false);
    if (!document.is_object())
    {
        return;
    }
    if (document.contains("usage") && document["usage"].is_object())
    {
        answer.cached =
            document["usage"]["prompt_tokens_details"].value("cached_tokens", std::int64_t{0});
        return;
    }
    if (!document.contains("choices"))
    {
        return;
    }
    answer.text += document["choices"][0]["delta"].value("content", "");
    if (answer.first_token == 0)
    {
        answer.first_token = now - begin;
    }
    else
    {
        answer.gaps.push_back(static_cast<float>(now - answer.last_token));
    }
    answer.last_token = now;
}

} // namespace

callers::callers(const nlohmann::json& client, const chat_shape& shape, balancer& hosts,
                 placement_oracle& oracle, recorder& results, std::uint64_t seed)
    : workspaces(client.at("workspaces")), shape(shape), hosts(hosts), oracle(oracle),
      results(results), generator(seed), run_id(random_hex(4))
{
}

auto callers::seconds_now() const -> double
{
    return to_seconds(monotonic_now().time_since_epoch()) - this->begin_seconds;
}

auto callers::random() -> double
{
    const std::lock_guard lock(this->mutex);
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->generator);
}

auto callers::extend(conversation& talk, const std::string& role, const std::string& content)
    -> void
{
    talk.messages.push_back({{"role", role}, {"content", content}});
    talk.prompt = emulator::extend_prompt(talk.prompt, role, content);
    talk.tokens += emulator::tokens_of(content);
    talk.prefixes.emplace_back(talk.prompt, talk.tokens);
}

auto callers::next_conversation(double now_seconds, const std::string& workspace) -> conversation
{
    const auto returns = this->random() < this->shape.returning;
    const std::lock_guard lock(this->mutex);
    if (returns)
    {
        const auto due = std::find_if(this->resting.begin(), this->resting.end(),
                                      [&](const auto& item) {
                                          return item.ready_at <= now_seconds &&
                                                 (workspace.empty() || item.workspace == workspace);
                                      });
        if (due != this->resting.end())
        {
            auto talk = std::move(*due);
            this->resting.erase(due);
            return talk;
        }
    }
    conversation talk;
    talk.id = ++this->conversations;
    auto chosen = this->workspaces.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(talk.id % this->workspaces.size()));
    talk.workspace = workspace.empty() ? chosen.key() : workspace;
    talk.api_key = this->workspaces.at(talk.workspace).at("key");
    this->extend(talk, "system",
                 make_text(talk.id, 0, this->shape.first_prompt_tokens) + this->run_id);
    return talk;
}

auto callers::ask(conversation& talk, chat_sample& sample) -> std::string
{
    nlohmann::json body = {{"model", "base"},
                           {"stream", true},
                           {"max_tokens", this->shape.answer_tokens},
                           {"messages", talk.messages}};
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer " + talk.api_key},
                       {"Content-Type", "application/json"},
                       {"x-conversation-id", this->run_id + std::to_string(talk.id)}};
    if (this->shape.echo_hint && !talk.hint.empty())
    {
        request.headers.emplace("x-poplardrift-affinity", talk.hint);
    }
    request.body = body.dump();
    streamed_answer answer;
    sse_splitter splitter;
    std::string refusal;
    int status = 0;
    const auto begin = this->seconds_now();
    request.response_handler = [&](const httplib::Response& response)
    {
        if (!has_valid_head(response))
        {
            return false;
        }
        status = response.status;
        talk.hint = response.get_header_value("x-poplardrift-affinity");
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (status != 200)
        {
            refusal.append(data, size);
            return true;
        }
        splitter.feed({data, size});
        while (const auto event = splitter.next())
        {
            take_event(*event, answer, begin, this->seconds_now());
        }
        return true;
    };
    caller_endpoint host;
    auto error = httplib::Error::Connection;
    bool sent = false;
    for (int attempt = 0; attempt < connect_tries && error == httplib::Error::Connection && !sent;
         ++attempt)
    {
        // A balancer goes on to the next host when a connection cannot be made.
        host = this->hosts.pick(static_cast<std::uint64_t>(this->random() * 1e9));
        auto client = open(host);
        httplib::Response response;
        auto copy = request;
        error = httplib::Error::Success;
        sent = client.send(copy, response, error);
    }
    sample.first_token_seconds = answer.first_token;
    sample.gaps_seconds = std::move(answer.gaps);
    sample.cached_tokens = answer.cached;
    const auto right = answer.text == expected_answer(talk.prompt, this->shape.answer_tokens);
    if (status == 200 && answer.complete && right)
    {
        sample.end = request_end::done;
        return answer.text;
    }
    if (status != 0 && status != 200)
    {
        sample.end = end_of_problem(refusal);
        sample.why = refusal;
        return "";
    }
    sample.end =
        this->hosts.was_killed(host.name) ? request_end::lost_with_host : request_end::lost;
    sample.why = host.name + ": " +
                 (answer.complete && !right ? "a wrong answer" : httplib::to_string(error));
    return "";
}

auto callers::chat(conversation talk, double now_seconds) -> void
{
    chat_sample sample;
    sample.at_seconds = now_seconds;
    sample.workspace = talk.workspace;
    sample.returning = talk.turns > 0;
    sample.cacheable_tokens = talk.turns > 0 ? talk.tokens : 0;
    this->extend(talk, "user", make_text(talk.id, talk.turns + 1, this->shape.turn_tokens));
    const auto ideal = this->oracle.begin(talk.prefixes);
    sample.oracle_tokens = sample.returning ? ideal.cached : 0;
    const auto answer = this->ask(talk, sample);
    const auto good = sample.end == request_end::done;
    if (good)
    {
        this->extend(talk, "assistant", answer);
        ++talk.turns;
    }
    this->oracle.end(ideal.engine, talk.prompt, talk.tokens);
    const auto goes_on = good && talk.turns < this->shape.most_turns;
    this->results.add(std::move(sample));
    if (goes_on)
    {
        talk.ready_at = this->seconds_now() + this->shape.pause_least +
                        this->random() * (this->shape.pause_most - this->shape.pause_least);
        const std::lock_guard lock(this->mutex);
        this->resting.push_back(std::move(talk));
    }
}

auto callers::attempt_booking(booking_sample& sample, const std::string& body) -> bool
{
    const auto host = this->hosts.pick(static_cast<std::uint64_t>(this->random() * 1e9));
    auto client = open(host);
    const httplib::Headers headers = {{"Authorization", "Bearer " + sample.workspace_key},
                                      {"Idempotency-Key", sample.key}};
    const auto answer = client.Post("/passes/purchases", headers, body, "application/json");
    if (!has_valid_response(answer))
    {
        sample.end = answer.error() == httplib::Error::Connection ? request_end::refused_not_run
                     : this->hosts.was_killed(host.name)          ? request_end::lost_with_host
                                                                  : request_end::lost;
        sample.why = host.name + ": " + describe_failure(answer);
        return false;
    }
    if (answer->status == 200)
    {
        const auto document = nlohmann::json::parse(answer->body, nullptr, false);
        const auto ours = document.is_object() && document.value("order", "") == sample.order;
        sample.end = ours ? request_end::done : request_end::lost;
        sample.why = ours ? "" : host.name + ": a wrong answer";
        return true;
    }
    sample.end = end_of_problem(answer->body);
    sample.why = answer->body;
    return false;
}

auto callers::book(double now_seconds, bool with_ticket, int repeats) -> void
{
    booking_sample sample;
    sample.at_seconds = now_seconds;
    {
        const std::lock_guard lock(this->mutex);
        sample.order = this->run_id + "-" + std::to_string(++this->orders);
        auto chosen = this->workspaces.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(this->orders % this->workspaces.size()));
        sample.workspace_key = chosen.value().at("key");
    }
    sample.key = "key-" + sample.order;
    const auto begin = this->seconds_now();
    if (with_ticket)
    {
        auto client = open(this->hosts.pick(static_cast<std::uint64_t>(this->random() * 1e9)));
        const auto answer = client.Post("/v1/transaction-keys",
                                        {{"Authorization", "Bearer " + sample.workspace_key}}, "",
                                        "application/json");
        if (has_valid_response(answer) && answer->status == 201)
        {
            sample.key = nlohmann::json::parse(answer->body).at("key");
        }
    }
    const auto body = nlohmann::json{{"order", sample.order}}.dump();
    // A caller that gets no good end repeats the same request, at whichever host the balancer
    // picks.
    bool ever_unknown = false;
    for (int attempt = 0; attempt <= repeats; ++attempt)
    {
        if (this->attempt_booking(sample, body))
        {
            break;
        }
        ever_unknown = ever_unknown || sample.end != request_end::refused_not_run;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    if (sample.end == request_end::refused_not_run && ever_unknown)
    {
        // "Not run" speaks of the last attempt; an earlier one may have.
        sample.end = request_end::unknown;
    }
    sample.seconds = this->seconds_now() - begin;
    this->results.add(std::move(sample));
}

} // namespace poplardrift::load
