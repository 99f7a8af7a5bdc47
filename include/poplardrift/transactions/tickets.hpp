#pragma once

#include "poplardrift/base/ids.hpp"
#include "poplardrift/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplardrift
{

/// A key that a host has issued: only the process that issued it may run it, so no log is needed.
struct ticket
{
    host_id host;
    incarnation_id incarnation;
    std::uint64_t number = 0;
    std::int64_t issued_seconds = 0; ///< on the issuer's monotonic clock
    workspace_id workspace;
};

/// Text of a ticket, authenticated by the hosts' secret:
/// `pdt1.HOST.INCARNATION.NUMBER.SECONDS.WORKSPACE.MAC`.
[[nodiscard]] auto format_ticket(const ticket& item, std::string_view host_secret) -> std::string;
/// True when a key looks like a ticket, authentic or not.
[[nodiscard]] auto looks_like_ticket(std::string_view text) -> bool;
/// The ticket; nothing when the text is malformed or not authentic.
[[nodiscard]] auto parse_ticket(std::string_view text, std::string_view host_secret)
    -> std::optional<ticket>;

} // namespace poplardrift
