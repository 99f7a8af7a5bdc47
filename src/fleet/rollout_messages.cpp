#include "fleet/rollout_messages.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <exception>
#include <tuple>
#include <vector>

namespace poplardrift::fleet
{

namespace
{

/// A row takes up to 60 bytes with counters below 65,536; a packet holds 1,200.
constexpr std::size_t max_routes_per_message = 16;
constexpr std::size_t max_upstreams_per_message = 16;
constexpr std::size_t max_name_bytes = 128;
/// Ages above this are absurd.
constexpr std::int64_t max_age_ms = 30LL * 24 * 3'600'000;

using counts_row = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t,
                              std::uint64_t>; // finished, failed, interrupted, timed, slow
using route_row = std::tuple<std::uint32_t, std::uint64_t, counts_row, counts_row>;
using upstream_row = std::pair<std::uint32_t, std::uint64_t>;
/// Version, incarnation, service, position, age in ms or -1, phase, is recorded, sent to the new
/// version, routes, interruptions by upstream.
using report_body =
    std::tuple<std::uint32_t, std::uint32_t, std::string, std::uint64_t, std::int64_t, std::uint8_t,
               bool, std::uint64_t, std::vector<route_row>, std::vector<upstream_row>>;

auto to_row(const rollout::response_counts& counts) -> counts_row
{
    return {counts.finished, counts.failed, counts.interrupted, counts.timed, counts.slow};
}

auto from_row(const counts_row& row) -> rollout::response_counts
{
    const auto& [finished, failed, interrupted, timed, slow] = row;
    return {finished, failed, interrupted, timed, slow};
}

auto to_route_rows(const rollout::host_counts& counts, std::size_t first_route, bool only_bad)
    -> std::vector<route_row>
{
    std::vector<route_row> rows;
    for (const auto& [route, item] : counts.routes)
    {
        const auto& fresh = item.new_version;
        if (!only_bad || fresh.bad() + fresh.slow > 0)
        {
            rows.emplace_back(route.value(), item.requests, to_row(item.old_version),
                              to_row(fresh));
        }
    }
    if (rows.size() > max_routes_per_message)
    {
        std::rotate(rows.begin(),
                    rows.begin() + static_cast<std::ptrdiff_t>(first_route % rows.size()),
                    rows.end());
        rows.resize(max_routes_per_message);
    }
    return rows;
}

auto to_upstream_rows(const rollout::host_counts& counts) -> std::vector<upstream_row>
{
    std::vector<upstream_row> rows(counts.interrupted_by_upstream.begin(),
                                   counts.interrupted_by_upstream.end());
    std::sort(rows.begin(), rows.end(),
              [](const auto& left, const auto& right)
              { return std::get<1>(left) > std::get<1>(right); });
    rows.resize(std::min(rows.size(), max_upstreams_per_message));
    return rows;
}

} // namespace

auto encode_rollout(const rollout_message& message, std::size_t first_route, bool only_bad,
                    time_point now) -> std::string
{
    const auto& report = message.report;
    const auto age_ms = report.ordered_at ? to_milliseconds(now - *report.ordered_at) : -1;
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, report_body(rollout_report_version, message.incarnation, report.service,
                                      report.position.value(), age_ms,
                                      static_cast<std::uint8_t>(report.phase), report.is_recorded,
                                      report.counts.sent_to_new,
                                      to_route_rows(report.counts, first_route, only_bad),
                                      to_upstream_rows(report.counts)));
    return {buffer.data(), buffer.size()};
}

auto decode_rollout_message(std::string_view bytes, time_point now) -> outcome<rollout_message>
{
    using result = outcome<rollout_message>;
    try
    {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto [version, incarnation, service, position, age_ms, phase, is_recorded, sent,
                    routes, upstreams] = handle.get().as<report_body>();
        if (version != rollout_report_version || service.size() > max_name_bytes ||
            phase > static_cast<std::uint8_t>(rollout::rollout_phase::complete) ||
            age_ms > max_age_ms || routes.size() > max_routes_per_message ||
            upstreams.size() > max_upstreams_per_message)
        {
            return result::failure("value out of range");
        }
        rollout_message message;
        message.incarnation = incarnation;
        message.report.service = service;
        message.report.position = rollout::order_position(position);
        if (age_ms >= 0)
        {
            message.report.ordered_at = now - std::chrono::milliseconds(age_ms);
        }
        message.report.phase = static_cast<rollout::rollout_phase>(phase);
        message.report.is_recorded = is_recorded;
        message.report.counts.sent_to_new = sent;
        for (const auto& [route, requests, old_version, new_version] : routes)
        {
            message.report.counts.routes[rollout::route_key(route)] = {
                requests, from_row(old_version), from_row(new_version)};
        }
        message.report.counts.interrupted_by_upstream.insert(upstreams.begin(), upstreams.end());
        return message;
    }
    catch (const std::exception& error)
    {
        return result::failure(error.what());
    }
}

} // namespace poplardrift::fleet
