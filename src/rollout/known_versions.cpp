#include "rollout/known_versions.hpp"

#include <algorithm>
#include <map>

namespace poplardrift::rollout
{

namespace
{

/// First and last start of a version's upstreams.
struct start_span
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

/// Versions whose upstreams have all started after all those of some other version are new: the
/// host may have started while they were waiting for their order.
auto without_newer(std::map<std::string_view, start_span> spans)
    -> std::set<std::string, std::less<>>
{
    std::set<std::string, std::less<>> kept;
    for (const auto& [version, span] : spans)
    {
        const auto is_newer =
            std::any_of(spans.begin(), spans.end(),
                        [&, span = span](const auto& other)
                        { return other.second.last != 0 && other.second.last < span.first; });
        if (!is_newer)
        {
            kept.emplace(version);
        }
    }
    return kept;
}

} // namespace

auto known_versions::update(std::span<const registered_version> registry, std::string_view ordered)
    -> void
{
    std::map<std::string_view, start_span> spans;
    bool has_known = false;
    for (const auto& entry : registry)
    {
        has_known = has_known || (this->contains(entry.version) && !entry.leaving);
        if (entry.version == ordered || this->forbidden.contains(entry.version))
        {
            continue;
        }
        auto& span =
            spans.try_emplace(entry.version, start_span{entry.start_number, 0}).first->second;
        span.first = std::min(span.first, entry.start_number);
        span.last = std::max(span.last, entry.start_number);
    }
    if (!has_known && !spans.empty())
    {
        this->versions = without_newer(std::move(spans));
    }
}

auto known_versions::set_aside(std::string_view version) -> void
{
    if (this->versions.size() > 1)
    {
        this->versions.erase(std::string(version));
    }
}

auto known_versions::forbid(std::string_view version) -> void
{
    this->forbidden.emplace(version);
    this->versions.erase(std::string(version));
}

} // namespace poplardrift::rollout
