#pragma once

#include "daemon/caller_request.hpp"
#include "daemon/traffic_context.hpp"

#include <optional>
#include <string>

namespace poplardrift
{

/// A request to a plain service.
struct service_request
{
    caller_request caller;
    std::string method;
    std::string target; ///< path with its query
    std::string body;
    std::string key;          ///< Idempotency-Key; empty: none
    bool forwarded = false;   ///< another host sent it here
    httplib::Headers headers; ///< that go on to the service
};

/// What the caller gets.
struct service_answer
{
    transaction_answer answer;
    std::string key;       ///< key of the transaction, for the caller to ask with; empty: none
    bool replayed = false; ///< the answer was given before
};

/// Answers requests to plain services: those that may be repeated are retried within deadline and
/// budget; those that may not run at most once, by the word of the transaction state.
class service_relay final
{
public:
    service_relay(traffic_context& context, service_request request);

    /// Runs the request. Blocking.
    auto run() -> void;

    [[nodiscard]] auto failure() const -> const std::optional<problem>&
    {
        return this->last_problem;
    }
    [[nodiscard]] auto result() const -> const service_answer& { return this->reply; }

private:
    /// How one exchange with an upstream ended.
    enum class exchange_end : std::uint8_t
    {
        answered,
        not_sent,         ///< proved: nothing left for the upstream
        reported_not_run, ///< the upstream says so and may be believed
        unknown,
    };

    auto run_idempotent() -> void;
    auto run_as_transaction() -> void;
    auto run_once() -> run_result;
    auto forward_to_owner_host(const forward_transaction& decision) -> void;
    [[nodiscard]] auto acquire_slot() -> bool;
    auto release_slot() -> void;
    [[nodiscard]] auto exchange(bool dial_new) -> exchange_end;
    auto fail(int status, const std::string& detail, request_outcome outcome, int retry_after)
        -> void;
    auto fail_with_refusal(transaction_refusal reason) -> void;
    auto finish() -> void;

    traffic_context& context;
    service_request original;
    upstream_view upstream;
    std::array<upstream_id, placement_request::max_excluded> excluded{};
    std::size_t excluded_count = 0;
    bool holds_slot = false;
    service_answer reply;
    std::optional<problem> last_problem;
};

} // namespace poplardrift
