#pragma once

#include "quarantine/part_evidence.hpp"

#include <cstddef>
#include <vector>

namespace poplardrift::quarantine
{

/// Marks of a part by what distinguishes them.
struct mark_summary
{
    std::size_t marks = 0;
    std::size_t upstreams = 0;
    std::size_t requests = 0;
    /// Marks are of one episode when they are close in time and few answers began between them: a
    /// rack or zone that loses power ends several upstreams at once.
    std::size_t episodes = 0;
    time_point first_at{};
    duration span{}; ///< between the first and the last mark
};

[[nodiscard]] auto summarize(std::vector<crash_mark> marks) -> mark_summary;

} // namespace poplardrift::quarantine
