#pragma once

#include "emulator/world.hpp"

#include <atomic>
#include <list>
#include <memory>
#include <unordered_map>

namespace poplardrift::emulator
{

class engine;

/// The engines of one pool, for figures that concern them together.
class engine_group final
{
public:
    auto add(engine* member) -> void { this->members.push_back(member); }
    /// Checks the bound on load when a request arrives at `at`.
    auto check_bound(const engine& at, world& around) -> void;
    [[nodiscard]] auto highest_skew() const -> double { return this->skew.load(); }
    auto reset() -> void { this->skew = 0.0; }
    auto set_bound(double multiple) -> void { this->bound = multiple; }

private:
    std::vector<engine*> members;
    std::atomic<double> bound{1.25};
    std::atomic<double> skew{0.0};
};

/// Prompts that an engine remembers: the hash of a message list and its number of tokens, within
/// limited memory, least recently used first out.
class prefix_cache final
{
public:
    explicit prefix_cache(std::int64_t most_tokens) : most_tokens(most_tokens) {}

    /// Tokens of the longest cached prefix among the prefixes of a prompt, longest last.
    [[nodiscard]] auto longest(const std::vector<std::pair<std::uint64_t, std::int64_t>>& prefixes)
        -> std::int64_t;
    auto store(std::uint64_t hash, std::int64_t tokens) -> void;
    [[nodiscard]] auto contains(std::uint64_t hash) const -> bool;
    auto clear() -> void;

private:
    struct entry
    {
        std::uint64_t hash = 0;
        std::int64_t tokens = 0;
    };

    std::int64_t most_tokens;
    std::int64_t used_tokens = 0;
    mutable std::mutex mutex;
    std::list<entry> by_use;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> entries;
};

/// Faults that an experiment switches on and off.
struct engine_faults
{
    std::atomic<bool> down{false};     ///< refuses everything
    std::atomic<bool> silent{false};   ///< connections stay open and nothing more comes
    std::atomic<bool> leaving{false};  ///< says that it will stop
    std::atomic<bool> nonsense{false}; ///< answers bytes that mean nothing
    std::atomic<double> late_ms{0.0};  ///< added to every answer
    std::atomic<double> cross{0.0};    ///< part of events that belong to another answer
    std::atomic<double> reorder{0.0};  ///< part of events that come twice or after the next one
    std::atomic<double> break_streams{0.0}; ///< part of streams that break midway
    std::atomic<double> report_lag_ms{0.0};
};

/// A stand-in for one model engine: batches, caches prompt prefixes, starts cold, streams events
/// that are numbered, resumes streams, reports its load, takes orders.
class engine final
{
public:
    engine(const nlohmann::json& settings, const nlohmann::json& defaults, world& around,
           engine_group& group);

    [[nodiscard]] auto start() -> bool;
    auto set_faults(const nlohmann::json& changes) -> void;
    [[nodiscard]] auto stats() const -> nlohmann::json;
    auto reset_stats() -> void;

    [[nodiscard]] auto name() const -> const std::string& { return this->own_name; }
    [[nodiscard]] auto in_zone() const -> const std::string& { return this->zone; }
    [[nodiscard]] auto in_flight() const -> int { return this->running.load(); }
    [[nodiscard]] auto weight() const -> double { return this->own_weight; }
    /// True when the engine is to carry its full share: warm for long enough and in service.
    [[nodiscard]] auto counts_towards_mean() const -> bool;

private:
    struct answer_plan;
    struct held_request;

    auto handle_chat(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_report(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_order(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_resume(const httplib::Request& request, httplib::Response& response) -> void;
    auto answer_whole(const answer_plan& plan, httplib::Response& response) -> void;
    auto answer_stream(std::shared_ptr<answer_plan> plan, std::shared_ptr<held_request> held,
                       httplib::Response& response) -> void;
    [[nodiscard]] auto stream_events(const answer_plan& plan, httplib::DataSink& sink) -> bool;
    [[nodiscard]] auto write_token(const answer_plan& plan, std::int64_t number,
                                   httplib::DataSink& sink) -> bool;
    auto prefill(answer_plan& plan) -> void;
    auto finish(const answer_plan& plan) -> void;
    auto admit() -> bool;
    auto turn_cold() -> void;
    [[nodiscard]] auto bearable() const -> int;
    [[nodiscard]] auto is_cold() const -> bool;
    [[nodiscard]] auto decode_ms() const -> double;

    std::string own_name;
    std::string zone;
    double own_weight;
    world& around;
    engine_group& group;
    http_listener listener;
    engine_faults faults;
    prefix_cache cache;
    int slots;         ///< requests that it batches at once
    int cold_bearable; ///< requests that it bears in cold start
    int warm_after;    ///< requests served until it is warm
    double prefill_ms_per_1k;
    double token_ms;
    bool checks_fencing;
    std::atomic<int> running{0};
    std::atomic<int> peak{0};
    std::atomic<std::int64_t> served{0};
    std::atomic<std::int64_t> served_since_cold{0};
    std::atomic<std::int64_t> warm_since_ms{0};
    std::atomic<std::int64_t> down_until_ms{0};
    std::atomic<std::uint32_t> incarnation;
    std::atomic<std::uint64_t> generation{0}; ///< streams of former generations break
    std::atomic<std::int64_t> requests{0};
    std::atomic<std::int64_t> prompt_tokens{0};
    std::atomic<std::int64_t> cached_tokens{0};
    mutable std::mutex mutex;
    std::map<std::string, std::shared_ptr<answer_plan>> streams; ///< that may be resumed
    std::string model;
    std::uint64_t highest_fencing = 0;
    std::int64_t stale_orders = 0;
    std::int64_t orders_taken = 0;
    nlohmann::json lagged_report;
    std::int64_t lagged_at_ms = 0;
};

} // namespace poplardrift::emulator
