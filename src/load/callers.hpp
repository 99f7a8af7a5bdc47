#pragma once

#include "load/balancer.hpp"
#include "load/oracle.hpp"
#include "load/recorder.hpp"

#include <deque>
#include <random>

namespace poplardrift::load
{

/// One conversation as its caller keeps it.
struct conversation
{
    std::uint64_t id = 0;
    std::string workspace;
    std::string api_key;
    nlohmann::json messages = nlohmann::json::array();
    std::uint64_t prompt = 0; ///< hash of the messages, as the stand-in counts
    std::int64_t tokens = 0;
    std::vector<std::pair<std::uint64_t, std::int64_t>> prefixes;
    int turns = 0;
    double ready_at = 0; ///< when it may return, seconds since the run's begin
    std::string hint;    ///< the affinity value that the last answer carried
};

/// Shape of the chats of an experiment.
struct chat_shape
{
    int first_prompt_tokens = 1200; ///< of the first message, which is what a cache can save most
    int turn_tokens = 60;
    int answer_tokens = 24;
    double pause_least = 4.0; ///< seconds until a chat returns
    double pause_most = 15.0;
    int most_turns = 8;
    double returning = 0.75; ///< share of requests that are returns, when some are due
    bool echo_hint = true;   ///< callers echo the affinity value
};

/// Sends chats and bookings as callers do, checks every answer, and records what came of it.
class callers final
{
public:
    callers(const nlohmann::json& client, const chat_shape& shape, balancer& hosts,
            placement_oracle& oracle, recorder& results, std::uint64_t seed);

    /// Takes a conversation for the next request: one whose time to return has come, or a new one.
    [[nodiscard]] auto next_conversation(double now_seconds, const std::string& workspace)
        -> conversation;
    /// One chat turn, blocking; the conversation goes back for its return.
    auto chat(conversation talk, double now_seconds) -> void;
    /// One booking with repeats at other hosts until its end is known or `repeats` are used up.
    auto book(double now_seconds, bool with_ticket, int repeats) -> void;
    auto set_begin(double steady_seconds) -> void { this->begin_seconds = steady_seconds; }

private:
    [[nodiscard]] auto seconds_now() const -> double;
    [[nodiscard]] auto random() -> double;
    auto extend(conversation& talk, const std::string& role, const std::string& content) -> void;
    [[nodiscard]] auto ask(conversation& talk, chat_sample& sample) -> std::string;
    [[nodiscard]] auto attempt_booking(booking_sample& sample, const std::string& body) -> bool;

    nlohmann::json workspaces;
    chat_shape shape;
    balancer& hosts;
    placement_oracle& oracle;
    recorder& results;
    double begin_seconds = 0;
    std::mutex mutex;
    std::mt19937_64 generator;
    std::deque<conversation> resting;
    std::uint64_t conversations = 0;
    std::uint64_t orders = 0;
    std::string run_id;
};

} // namespace poplardrift::load
