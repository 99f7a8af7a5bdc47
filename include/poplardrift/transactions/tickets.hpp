#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplardrift
{

/// An idempotency key issued by a host. Only the process that issued it may run it, so it needs no
/// claim on the log.
struct ticket
{
    host_id host;
    incarnation_id incarnation;
    std::uint64_t number = 0;
    std::int64_t issued_seconds = 0; ///< on the issuer's monotonic clock
    workspace_id workspace;
};

/// Formats a ticket, authenticated with the secret that the hosts share, as
/// `pdt1.HOST.INCARNATION.NUMBER.SECONDS.WORKSPACE.MAC`.
[[nodiscard]] auto format_ticket(const ticket& item, std::string_view host_secret) -> std::string;
/// True when a key has the prefix of a ticket. Does not authenticate it.
[[nodiscard]] auto looks_like_ticket(std::string_view text) -> bool;
/// Returns nothing when the text is malformed or its MAC does not match.
[[nodiscard]] auto parse_ticket(std::string_view text, std::string_view host_secret)
    -> std::optional<ticket>;

} // namespace poplardrift
