#pragma once

#include "http/message.hpp"
#include "routing/resend_policy.hpp"

#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace poplardrift::traffic
{

/// The request is refused with 503: no upstream has run it, and none will.
struct refusal
{
    routing::not_run_proof proof;
};

/// Status of a failure that says nothing on whether the request has run.
enum class failure_status : int
{
    bad_gateway = 502,
    gateway_timeout = 504,
};

/// The request is not valid, whoever would run it.
enum class rejection_status : int
{
    bad_request = 400,
    unauthorized = 401,
    not_found = 404,
};

/// A part of the response has been sent: it ends as incomplete.
struct interruption
{
};

/// A response of the router's own. A status that promises that the request has not run cannot be
/// given without the proof.
using own_response = std::variant<refusal, failure_status, rejection_status, interruption>;

/// An upstream's failure response that may be forwarded as it is.
class forwardable_failure final
{
public:
    /// nullopt for a status that callers take as the promise that the request has not run. The
    /// upstream did not make it, since the response of one that does is not a failure.
    [[nodiscard]] static auto from(http::response_head head, std::string body)
        -> std::optional<forwardable_failure>
    {
        return routing::is_promise(head.status)
                   ? std::nullopt
                   : std::optional(forwardable_failure(std::move(head), std::move(body)));
    }

    [[nodiscard]] auto get_head() const -> const http::response_head& { return this->head; }
    [[nodiscard]] auto get_body() const -> const std::string& { return this->body; }

private:
    forwardable_failure(http::response_head head, std::string body)
        : head(std::move(head)), body(std::move(body))
    {
    }

    http::response_head head;
    std::string body;
};

} // namespace poplardrift::traffic
