#pragma once

#include "http/upstream_connection.hpp"
#include "routing/fleet_view.hpp"
#include "routing/prompt.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace poplardrift::traffic
{

/// What a caller's request says to the router.
struct request_metadata
{
    std::string id; ///< of this one attempt of the caller; empty when absent
    std::optional<duration> caller_timeout; ///< how long the caller will wait from now on
    std::string workspace_key;
    std::optional<routing::prompt_metadata> prompt;
    std::string resume_after; ///< the caller has the events up to this one; empty: none
};

/// What the router adds to a request on its way to an upstream.
struct send_options
{
    const routing::upstream_name* upstream = nullptr; ///< any other one must decline
    duration time_left{};
    const routing::workspace_rules* workspace = nullptr;
    int priority = 0; ///< 0 is most urgent
    std::string_view request_id;
    std::string_view resume_after;
    /// The upstream is to copy what this one has read of the prompt; null: it reads by itself.
    const http::endpoint* fetch_from = nullptr;
};

/// What an answer's head says to the router.
struct response_metadata
{
    bool declined = false;     ///< the upstream did not and will not run the request
    bool misaddressed = false; ///< declined because another upstream was meant
    bool success = false;
    bool trusted = false; ///< bears the upstream's mark and is not encoded on the way
};

/// Translates between the wire and the router's types. Holds no state; any thread.
class wire_adapter
{
public:
    wire_adapter() = default;
    wire_adapter(const wire_adapter&) = delete;
    auto operator=(const wire_adapter&) -> wire_adapter& = delete;
    virtual ~wire_adapter() = default;

    [[nodiscard]] virtual auto decode_request(const http::request_head& head) const
        -> request_metadata = 0;
    /// Head and body for the upstream; the caller's fields that are the router's to set are left
    /// out.
    [[nodiscard]] virtual auto encode_request(const http::request_head& head,
                                              const std::string& body,
                                              const send_options& options) const
        -> http::upstream_request = 0;
    [[nodiscard]] virtual auto decode_response(const http::response_head& head) const
        -> response_metadata = 0;
    [[nodiscard]] virtual auto is_readiness_path(std::string_view target) const -> bool = 0;
};

} // namespace poplardrift::traffic
