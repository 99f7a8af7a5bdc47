#pragma once

#include "poplardrift/base/strong_type.hpp"

#include <compare>
#include <cstdint>
#include <map>

namespace poplardrift::rollout
{

/// 32-bit hash of a route's name.
using route_key = strong_type<struct route_key_tag, std::uint32_t>;

/// Responses of one version on one route. The counters only grow.
struct response_counts
{
    std::uint64_t finished = 0;    ///< judged responses, good and bad
    std::uint64_t failed = 0;      ///< complete failure responses
    std::uint64_t interrupted = 0; ///< broken or silent
    std::uint64_t timed = 0;       ///< responses whose speed could be compared
    std::uint64_t slow = 0;        ///< of these, slower than the old version's usual time

    [[nodiscard]] auto bad() const -> std::uint64_t { return this->failed + this->interrupted; }
    auto operator==(const response_counts&) const -> bool = default;
};

/// Requests and responses of one host on one route.
struct route_counts
{
    std::uint64_t requests = 0; ///< that have reached the service through this host
    response_counts old_version;
    response_counts new_version;

    auto operator==(const route_counts&) const -> bool = default;
};

/// All counters of one incarnation of a host, or sums of them.
struct host_counts
{
    std::map<route_key, route_counts> routes;
    /// Interrupted responses of the new version by upstream key. One crash interrupts many
    /// responses, so the verdict has to know which ones have a cause in common.
    std::map<std::uint32_t, std::uint64_t> interrupted_by_upstream;
    std::uint64_t sent_to_new = 0;

    /// Takes the larger value of each counter: commutative, associative and idempotent.
    auto merge(const host_counts& other) -> void;
    auto add(const host_counts& other) -> void;
    [[nodiscard]] auto requests() const -> std::uint64_t;
    [[nodiscard]] auto total() const -> route_counts;
    auto operator==(const host_counts&) const -> bool = default;
};

/// One run of a host's process.
struct host_instance
{
    std::uint32_t host = 0; ///< its address
    std::uint32_t incarnation = 0;

    auto operator<=>(const host_instance&) const = default; // NOLINT(modernize-use-nullptr)
};

/// What this host and the others have seen of a roll-out.
class evidence final
{
public:
    host_counts own;

    /// Merges counters that another host has reported.
    auto merge(host_instance from, const host_counts& counts) -> void;
    /// Sum over all hosts.
    [[nodiscard]] auto sum() const -> host_counts;

private:
    std::map<host_instance, host_counts> others;
};

} // namespace poplardrift::rollout
