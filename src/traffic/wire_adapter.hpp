#pragma once

#include "http/upstream_connection.hpp"
#include "routing/fleet_view.hpp"
#include "routing/prompt.hpp"
#include "routing/upstream_speed.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace poplardrift::traffic
{

/// Values that the router reads from a caller's request head.
struct request_metadata
{
    std::string id; ///< identifies this attempt of the caller; empty if absent
    std::optional<duration> caller_timeout; ///< how long the caller waits from now on
    std::string workspace_key;
    std::optional<routing::prompt_metadata> prompt;
    std::string resume_after; ///< last event that the caller has received; empty if none
};

/// Values that the router adds to a request to an upstream.
struct send_options
{
    const routing::upstream_name* upstream = nullptr; ///< any other upstream declines
    duration time_left{};
    const routing::workspace_rules* workspace = nullptr;
    int priority = 0; ///< 0 is the highest
    std::string_view request_id;
    std::string_view resume_after;
    /// Address from which the upstream fetches the cached prefix of the prompt; null if it computes
    /// the prefix itself.
    const http::endpoint* fetch_from = nullptr;
};

/// Values that the router reads from an upstream's response head.
struct response_metadata
{
    bool declined = false;     ///< the upstream states that it did not and will not run the request
    bool misaddressed = false; ///< the upstream states that the request addressed another one
    std::string stated_name;   ///< of the upstream, if it answers as misaddressed and states it
    bool success = false;
    bool trusted = false; ///< has the upstream's seal header field and no content coding
    bool leaving = false; ///< the upstream will stop and accepts no new requests
    /// The upstream has turned the request away and wants no others from this host for so long.
    std::optional<duration> pause;
    bool has_malformed_notice = false; ///< a field about leaving or a pause cannot be read
    std::optional<routing::load_report> load;
    bool has_malformed_load = false; ///< the load report cannot be read or is absurd
};

/// Translates between HTTP messages and the router's types. Stateless; any thread.
class wire_adapter
{
public:
    wire_adapter() = default;
    wire_adapter(const wire_adapter&) = delete;
    auto operator=(const wire_adapter&) -> wire_adapter& = delete;
    virtual ~wire_adapter() = default;

    [[nodiscard]] virtual auto decode_request(const http::request_head& head) const
        -> request_metadata = 0;
    /// The caller's key, as in request_metadata. Valid as long as the head.
    [[nodiscard]] virtual auto decode_workspace_key(const http::request_head& head) const
        -> std::string_view = 0;
    /// Builds the request to the upstream, without its body. Header fields that only the router
    /// sets are not copied from the caller.
    [[nodiscard]] virtual auto encode_request(const http::request_head& head,
                                              std::size_t body_bytes,
                                              const send_options& options) const
        -> http::upstream_request = 0;
    [[nodiscard]] virtual auto decode_response(const http::response_head& head) const
        -> response_metadata = 0;
    [[nodiscard]] virtual auto is_readiness_path(std::string_view target) const -> bool = 0;
};

} // namespace poplardrift::traffic
