#pragma once

#include "poplardrift/base/time.hpp"
#include "quarantine/part_evidence.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>

namespace poplardrift::quarantine
{

/// Starts of upstreams that ended lately while requests were there, as this host saw it or was
/// told. Bounded. Not thread-safe.
class upstream_ends final
{
public:
    /// An upstream ends once; later reports of the same end change nothing.
    auto add(upstream_instance upstream, time_point at) -> void;
    [[nodiscard]] auto has_ended_since(upstream_instance upstream, time_point from) const -> bool;
    /// Calls `visit` with each upstream that ended at `from` or later.
    template <class Visitor>
    auto for_each_since(time_point from, const Visitor& visit) const -> void
    {
        for (const auto& [upstream, at] : this->ends)
        {
            if (at >= from)
            {
                visit(upstream);
            }
        }
    }
    auto forget_before(time_point moment) -> void;

private:
    static constexpr std::size_t max_ends = 512;

    absl::flat_hash_map<upstream_instance, time_point> ends;
};

} // namespace poplardrift::quarantine
