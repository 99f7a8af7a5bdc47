#pragma once

#include "poplardrift/base/time.hpp"
#include "traffic/load_mailbox.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace poplardrift::fleet
{

/// The newest cached prefixes that are to be sent to several receivers, each of which reads at its
/// own pace. Prefixes that fall out unread are lost: they only improve cache reuse. Control thread.
class prefix_queue final
{
public:
    /// Adds a prefix unless the same one has been added within the last seconds.
    auto add(const traffic::cached_prefix& prefix, time_point now) -> void;
    /// One of `count` disjoint parts of the prefixes.
    struct part
    {
        std::size_t index = 0;
        std::size_t count = 1;
    };

    /// Returns up to `most` prefixes of this part that the receiver has not read and advances its
    /// `cursor`.
    [[nodiscard]] auto read(std::uint64_t& cursor, std::size_t most, part of = {0, 1}) const
        -> std::vector<traffic::cached_prefix>;

private:
    auto forget_old(time_point now) -> void;

    std::deque<traffic::cached_prefix> prefixes;
    std::uint64_t end = 0;                                   ///< number that the next prefix gets
    absl::flat_hash_map<std::uint64_t, time_point> added_at; ///< by upstream and chain hash
    time_point next_cleanup{};
};

} // namespace poplardrift::fleet
