#pragma once

#include "daemon/caller_request.hpp"
#include "daemon/traffic_context.hpp"

#include <optional>
#include <string>

namespace poplardrift
{

/// A caller's request to a service that is not a chat engine.
struct service_request
{
    caller_request caller;
    std::string method;
    std::string target; ///< path with query
    std::string body;
    std::string key;          ///< value of the Idempotency-Key header; empty: none
    bool forwarded = false;   ///< by another host
    httplib::Headers headers; ///< to send to the service
};

/// Response for the caller.
struct service_answer
{
    transaction_answer answer;
    std::string key;       ///< transaction key that the caller can look up; empty: none
    bool replayed = false; ///< stored answer, or obtained from the owner of the transaction
};

/// Answers requests to services. Idempotent requests are retried within their deadline and the
/// retry budget; non-idempotent requests run at most once, as the transaction service decides.
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
        not_sent,         ///< proven: no byte was sent
        reported_not_run, ///< reported by an upstream whose reports are trusted
        unknown,
    };

    auto run_idempotent() -> void;
    auto run_as_transaction() -> void;
    auto run_once() -> run_result;
    auto forward_to_owner_host(const forward_transaction& decision) -> void;
    [[nodiscard]] auto acquire_slot() -> bool;
    auto release_slot() -> void;
    [[nodiscard]] auto exchange(bool dial_new) -> exchange_end;
    /// After a send that may have run, `not_run` and statuses that promise it are replaced.
    auto fail(int status, const std::string& detail, request_outcome outcome, int retry_after)
        -> void;
    auto withhold_promise() -> void;
    auto fail_with_refusal(transaction_refusal reason) -> void;
    auto finish() -> void;

    traffic_context& context;
    service_request original;
    upstream_view upstream;
    std::array<upstream_id, placement_request::max_excluded> excluded{};
    std::size_t excluded_count = 0;
    bool holds_slot = false;
    bool may_have_run = false;  ///< a send has neither failed to connect nor been declined
    bool is_from_owner = false; ///< the reply is another host's, which has checked it
    service_answer reply;
    std::optional<problem> last_problem;
};

} // namespace poplardrift
