#include "fleet/peer_messages.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <exception>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace poplardrift::fleet
{

namespace
{

/// First field of each message: version and kind. Messages of other versions are rejected.
constexpr std::uint32_t protocol_version = 3;
constexpr std::uint32_t summary_version = 64 + protocol_version;
constexpr std::uint32_t evidence_version = 32 + protocol_version;
/// Keep a message within one packet on common networks. The highest loads are sent.
constexpr std::size_t max_loads_per_beacon = 60;
constexpr std::size_t max_loads_per_summary = 150;

/// Keys are packed as consecutive fixed-size big-endian numbers, which saves the MessagePack type
/// byte of each.
constexpr std::size_t upstream_key_bytes = sizeof(routing::upstream_key);
constexpr std::size_t cached_prefix_key_bytes = upstream_key_bytes + sizeof(std::uint64_t);

using record_row = std::tuple<std::string, std::uint64_t, bool, std::string>;

template <class Body>
auto pack(const Body& body) -> std::string
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, body);
    return {buffer.data(), buffer.size()};
}

/// Reads a packed tuple. Converts the exceptions of the MessagePack library into a failure.
template <class Body>
auto unpack(std::string_view bytes) -> outcome<Body>
{
    try
    {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<Body>();
    }
    catch (const std::exception& error)
    {
        return outcome<Body>::failure(error.what());
    }
}

auto to_rows(const std::vector<published_record>& records) -> std::vector<record_row>
{
    std::vector<record_row> rows;
    rows.reserve(records.size());
    for (const auto& record : records)
    {
        rows.emplace_back(record.key, record.position.offset(), record.value.has_value(),
                          record.value.value_or(""));
    }
    return rows;
}

auto from_rows(const std::vector<record_row>& rows, store_era era) -> std::vector<published_record>
{
    std::vector<published_record> records;
    records.reserve(rows.size());
    for (const auto& [key, position, present, value] : rows)
    {
        records.push_back(
            {key, record_position(position, era), present ? std::optional(value) : std::nullopt});
    }
    return records;
}

/// Offsets of operators and upstreams, then their eras: none if both are 0, one if they are equal.
/// Versions of the program without eras send no era and ignore those that they receive.
using position_row = std::vector<std::uint64_t>;
constexpr std::size_t stream_count = 2;
using distance_row = std::tuple<std::uint64_t, std::uint64_t>; // operators, upstreams
/// Packed upstream keys, and for each key `4 * in_flight`, plus 1 if the upstream is ejected, plus
/// 2 if it may have restarted.
using load_rows = std::tuple<std::string, std::vector<std::uint32_t>>;
/// Packed pairs of upstream key and chain hash, and for each pair the tokens of the last part.
using cached_prefix_rows = std::tuple<std::string, std::vector<std::uint32_t>>;
using beacon_body = std::tuple<std::uint32_t, std::string, std::string, std::uint32_t, position_row,
                               distance_row, std::int64_t, load_rows, cached_prefix_rows>;

using received_beacon = decltype(std::tuple_cat(beacon_body(), std::make_tuple(std::string())));

template <class Number>
auto append_number(std::string& bytes, Number number) -> void
{
    for (std::size_t shift = sizeof(Number) * 8; shift > 0; shift -= 8)
    {
        bytes.push_back(static_cast<char>(number >> (shift - 8) & 0xffU));
    }
}

/// Reads a big-endian number; `bytes` must hold at least `sizeof(Number)`.
template <class Number>
auto read_number(std::string_view bytes) -> Number
{
    Number number = 0;
    for (const auto byte : bytes.substr(0, sizeof(Number)))
    {
        number = number << 8U | static_cast<unsigned char>(byte);
    }
    return number;
}

auto to_load_rows(std::vector<traffic::upstream_load> loads, std::size_t most) -> load_rows
{
    if (loads.size() > most)
    {
        std::partial_sort(
            loads.begin(), loads.begin() + static_cast<std::ptrdiff_t>(most), loads.end(),
            [](const auto& left, const auto& right) { return left.in_flight > right.in_flight; });
    }
    load_rows rows;
    auto& [keys, counts] = rows;
    for (const auto& load : loads)
    {
        if (counts.size() < most)
        {
            append_number(keys, load.upstream);
            counts.push_back(load.in_flight * 4 + (load.may_have_restarted ? 2 : 0) +
                             (load.ejected ? 1 : 0));
        }
    }
    return rows;
}

auto from_load_rows(const load_rows& rows) -> std::optional<std::vector<traffic::upstream_load>>
{
    const auto& [keys, counts] = rows;
    if (keys.size() != counts.size() * upstream_key_bytes)
    {
        return std::nullopt;
    }
    std::vector<traffic::upstream_load> loads;
    std::string_view rest = keys;
    for (const auto count : counts)
    {
        loads.push_back({read_number<routing::upstream_key>(rest), count / 4, (count & 1U) != 0,
                         (count & 2U) != 0});
        rest.remove_prefix(upstream_key_bytes);
    }
    return loads;
}

auto to_cached_prefix_rows(const std::vector<traffic::cached_prefix>& cached_prefixes)
    -> cached_prefix_rows
{
    cached_prefix_rows rows;
    auto& [keys, tokens] = rows;
    for (const auto& prefix : cached_prefixes)
    {
        append_number(keys, prefix.upstream);
        append_number(keys, prefix.chain_hash);
        tokens.push_back(prefix.tokens);
    }
    return rows;
}

auto from_cached_prefix_rows(const cached_prefix_rows& rows)
    -> std::optional<std::vector<traffic::cached_prefix>>
{
    const auto& [keys, tokens] = rows;
    if (keys.size() != tokens.size() * cached_prefix_key_bytes)
    {
        return std::nullopt;
    }
    std::vector<traffic::cached_prefix> cached_prefixes;
    std::string_view rest = keys;
    for (const auto count : tokens)
    {
        const auto upstream = read_number<routing::upstream_key>(rest);
        rest.remove_prefix(upstream_key_bytes);
        cached_prefixes.push_back({upstream, read_number<std::uint64_t>(rest), count});
        rest.remove_prefix(sizeof(std::uint64_t));
    }
    return cached_prefixes;
}

/// Figures of a service take 12 bytes: key, arrivals and completions a second in eighths (3 bytes
/// each), delay in thousandths of the objective.
constexpr std::size_t figures_bytes = 12;
constexpr std::size_t max_services_in_message = 24;
constexpr double rate_scale = 8.0;
constexpr double delay_scale = 1000.0;

template <class Number>
auto to_scaled(double value, double scale) -> Number
{
    constexpr auto highest = static_cast<double>(std::numeric_limits<Number>::max());
    return static_cast<Number>(std::clamp(value * scale, 0.0, highest));
}

/// Three bytes, for rates up to 2 million a second.
auto append_rate(std::string& bytes, double rate) -> void
{
    constexpr std::uint32_t highest = 0xffffff;
    const auto number = std::min(to_scaled<std::uint32_t>(rate, rate_scale), highest);
    bytes.push_back(static_cast<char>(number >> 16U & 0xffU));
    append_number(bytes, static_cast<std::uint16_t>(number & 0xffffU));
}

auto read_rate(std::string_view bytes) -> double
{
    const auto high = static_cast<unsigned char>(bytes[0]);
    return (high * 65'536.0 + read_number<std::uint16_t>(bytes.substr(1))) / rate_scale;
}

auto to_figure_bytes(const std::vector<overload::service_figures>& figures) -> std::string
{
    std::string bytes;
    for (const auto& item : figures)
    {
        if (bytes.size() >= max_services_in_message * figures_bytes)
        {
            break;
        }
        append_number(bytes, item.service.value());
        append_rate(bytes, item.arrivals);
        append_rate(bytes, item.completions);
        append_number(bytes, to_scaled<std::uint16_t>(item.delay, delay_scale));
    }
    return bytes;
}

auto from_figure_bytes(std::string_view bytes) -> std::vector<overload::service_figures>
{
    std::vector<overload::service_figures> figures;
    for (; bytes.size() >= figures_bytes; bytes.remove_prefix(figures_bytes))
    {
        figures.push_back({overload::service_key(read_number<std::uint32_t>(bytes)),
                           read_rate(bytes.substr(4)), read_rate(bytes.substr(7)),
                           read_number<std::uint16_t>(bytes.substr(10)) / delay_scale});
    }
    return figures;
}

/// A message whose optional last member is left out when it is empty, so that hosts without
/// overload control send what they always have. The library ignores surplus members and leaves
/// absent ones at their default.
template <class Body>
auto pack_with_figures(const Body& body, const std::vector<overload::service_figures>& figures)
    -> std::string
{
    return figures.empty() ? pack(body)
                           : pack(std::tuple_cat(body, std::make_tuple(to_figure_bytes(figures))));
}

auto to_row(const std::array<record_position, 2>& positions) -> position_row
{
    position_row row = {positions[0].offset(), positions[1].offset()};
    const auto operators = positions[0].era();
    const auto upstreams = positions[1].era();
    if (operators != store_era() || upstreams != operators)
    {
        row.push_back(operators.value());
    }
    if (upstreams != operators)
    {
        row.push_back(upstreams.value());
    }
    return row;
}

/// Encodes `change_ends` as distances from `ends`, because small numbers take fewer bytes. Both are
/// of the same era: a stream enters an era with a listing, which counts as a change.
auto to_distances(const host_beacon& beacon) -> distance_row
{
    const auto distance = [&](std::size_t stream)
    {
        const auto end = beacon.ends[stream].offset();
        return end - std::min(beacon.change_ends[stream].offset(), end);
    };
    return {distance(0), distance(1)};
}

auto from_distances(const std::array<record_position, 2>& ends, const distance_row& row)
    -> std::array<record_position, 2>
{
    const auto before = [](record_position end, std::uint64_t distance)
    { return record_position(end.offset() - std::min(distance, end.offset()), end.era()); };
    return {before(ends[0], std::get<0>(row)), before(ends[1], std::get<1>(row))};
}

/// nullopt for a row without both offsets or with an era out of range.
auto from_row(const position_row& row) -> std::optional<std::array<record_position, 2>>
{
    const auto has_valid_eras =
        std::all_of(row.begin() + static_cast<std::ptrdiff_t>(std::min(stream_count, row.size())),
                    row.end(), [](std::uint64_t era) { return era <= max_store_era.value(); });
    if (row.size() < stream_count || !has_valid_eras)
    {
        return std::nullopt;
    }
    const auto era_at = [&](std::size_t index)
    { return store_era(static_cast<std::uint32_t>(row[index])); };
    const auto operators = row.size() > stream_count ? era_at(stream_count) : store_era();
    const auto upstreams = row.size() > stream_count + 1 ? era_at(stream_count + 1) : operators;
    return std::array{record_position(row[0], operators), record_position(row[1], upstreams)};
}

using summary_body = std::tuple<std::uint32_t, std::string, bool, load_rows, cached_prefix_rows>;
using received_summary = decltype(std::tuple_cat(summary_body(), std::make_tuple(std::string())));

auto decode_summary(std::string_view bytes) -> outcome<zone_summary>
{
    const auto body = unpack<received_summary>(bytes);
    if (!body)
    {
        return outcome<zone_summary>::failure(body.failure_reason());
    }
    const auto loads = from_load_rows(std::get<3>(*body));
    const auto cached_prefixes = from_cached_prefix_rows(std::get<4>(*body));
    if (!loads || !cached_prefixes)
    {
        return outcome<zone_summary>::failure("numbers of keys and values differ");
    }
    return zone_summary{std::get<1>(*body), std::get<2>(*body), *loads, *cached_prefixes,
                        from_figure_bytes(std::get<5>(*body))};
}

/// Upstream, request, age in ms, refuted.
using mark_row = std::tuple<std::uint32_t, std::uint32_t, std::int64_t, bool>;
/// Part, depth, harmless before, level, time left in ms, marks.
using evidence_row =
    std::tuple<std::uint64_t, std::uint32_t, bool, int, std::int64_t, std::vector<mark_row>>;
using evidence_body = std::tuple<std::uint32_t, std::vector<evidence_row>>;

/// Bounds on what a malformed report can do.
constexpr std::int64_t max_age_ms = 86'400'000;
constexpr std::size_t max_parts_in_report = 64;
constexpr int max_quarantine_level = 32;

auto to_evidence_row(const quarantine::part_evidence& evidence, time_point now) -> evidence_row
{
    std::vector<mark_row> marks;
    for (const auto& mark : evidence.marks)
    {
        marks.emplace_back(mark.upstream.value(), mark.request.value(),
                           to_milliseconds(now - mark.at), mark.is_refuted);
    }
    return {evidence.part.value(),
            static_cast<std::uint32_t>(evidence.depth),
            evidence.was_harmless,
            evidence.level,
            to_milliseconds(evidence.quarantined_until - now),
            std::move(marks)};
}

auto from_evidence_row(const evidence_row& row, time_point now) -> quarantine::part_evidence
{
    const auto& [part, depth, was_harmless, level, left_ms, marks] = row;
    const auto in_ms = [](std::int64_t value, std::int64_t lowest)
    { return std::chrono::milliseconds(std::clamp(value, lowest, max_age_ms)); };
    quarantine::part_evidence evidence;
    evidence.part = routing::prompt_part_id(part);
    evidence.depth = depth;
    evidence.was_harmless = was_harmless;
    evidence.level = std::clamp(level, 0, max_quarantine_level);
    evidence.quarantined_until = now + in_ms(left_ms, -max_age_ms);
    for (const auto& [upstream, request, age_ms, is_refuted] : marks)
    {
        // The open ones and the newest refuted one.
        if (evidence.marks.size() <= quarantine::part_evidence::max_marks)
        {
            evidence.marks.push_back({quarantine::upstream_instance(upstream),
                                      quarantine::request_key(request), now - in_ms(age_ms, 0),
                                      is_refuted});
        }
    }
    return evidence;
}

auto decode_evidence(std::string_view bytes, time_point now) -> outcome<evidence_report>
{
    const auto body = unpack<evidence_body>(bytes);
    if (!body)
    {
        return outcome<evidence_report>::failure(body.failure_reason());
    }
    const auto& rows = std::get<1>(*body);
    if (rows.size() > max_parts_in_report)
    {
        return outcome<evidence_report>::failure("too many parts");
    }
    evidence_report report;
    for (const auto& row : rows)
    {
        report.parts.push_back(from_evidence_row(row, now));
    }
    return report;
}

using changes_row = std::tuple<bool, std::vector<record_row>>;
using batch_body = std::tuple<std::uint32_t, position_row, changes_row, changes_row>;

auto to_changes_row(const mirror_changes& changes) -> changes_row
{
    return {changes.is_listing, to_rows(changes.records)};
}

/// A replica holds records of one era only.
auto from_changes_row(const changes_row& row, store_era era) -> mirror_changes
{
    return {from_rows(std::get<1>(row), era), std::get<0>(row)};
}

} // namespace

auto encode_beacon(const host_beacon& beacon) -> std::string
{
    const auto identity = beacon.identity.value_or(host_identity{});
    return pack_with_figures(beacon_body(protocol_version, identity.host, identity.zone,
                                         beacon.incarnation, to_row(beacon.ends),
                                         to_distances(beacon), beacon.registry_age.count(),
                                         to_load_rows(beacon.loads, max_loads_per_beacon),
                                         to_cached_prefix_rows(beacon.cached_prefixes)),
                             beacon.figures);
}

auto decode_beacon(std::string_view bytes) -> outcome<host_beacon>
{
    const auto body = unpack<received_beacon>(bytes);
    if (!body || std::get<0>(*body) != protocol_version)
    {
        return outcome<host_beacon>::failure(body ? "unsupported protocol version"
                                                  : body.failure_reason());
    }
    const auto ends = from_row(std::get<4>(*body));
    if (!ends)
    {
        return outcome<host_beacon>::failure("malformed positions");
    }
    const auto loads = from_load_rows(std::get<7>(*body));
    const auto cached_prefixes = from_cached_prefix_rows(std::get<8>(*body));
    if (!loads || !cached_prefixes)
    {
        return outcome<host_beacon>::failure("numbers of keys and values differ");
    }
    host_beacon beacon;
    if (!std::get<1>(*body).empty())
    {
        beacon.identity = {std::get<1>(*body), std::get<2>(*body)};
    }
    beacon.incarnation = std::get<3>(*body);
    beacon.ends = *ends;
    beacon.change_ends = from_distances(beacon.ends, std::get<5>(*body));
    beacon.registry_age = std::chrono::milliseconds(std::get<6>(*body));
    beacon.loads = *loads;
    beacon.cached_prefixes = *cached_prefixes;
    beacon.figures = from_figure_bytes(std::get<9>(*body));
    return beacon;
}

auto encode_summary(const zone_summary& summary) -> std::string
{
    return pack_with_figures(summary_body(summary_version, summary.zone, summary.is_relayed,
                                          to_load_rows(summary.loads, max_loads_per_summary),
                                          to_cached_prefix_rows(summary.cached_prefixes)),
                             summary.figures);
}

auto encode_evidence(const evidence_report& report, time_point now) -> std::string
{
    std::vector<evidence_row> rows;
    for (const auto& evidence : report.parts)
    {
        rows.push_back(to_evidence_row(evidence, now));
    }
    return pack(evidence_body(evidence_version, std::move(rows)));
}

auto decode_datagram(std::string_view bytes, time_point now) -> outcome<peer_datagram>
{
    using result = outcome<peer_datagram>;
    const auto to_result = [](auto decoded)
    { return decoded ? result(std::move(*decoded)) : result::failure(decoded.failure_reason()); };
    // A tuple of fewer than 16 members takes one byte; its first member follows.
    const auto version = bytes.size() > 1 ? static_cast<unsigned char>(bytes[1]) : 0U;
    switch (version)
    {
    case summary_version:
        return to_result(decode_summary(bytes));
    case evidence_version:
        return to_result(decode_evidence(bytes, now));
    case rollout_report_version:
        return to_result(decode_rollout_message(bytes, now));
    default:
        return to_result(decode_beacon(bytes));
    }
}

auto encode_batch(const record_batch& batch) -> std::string
{
    return pack(batch_body(protocol_version, to_row(batch.ends), to_changes_row(batch.changes[0]),
                           to_changes_row(batch.changes[1])));
}

auto decode_batch(std::string_view bytes) -> outcome<record_batch>
{
    const auto body = unpack<batch_body>(bytes);
    if (!body || std::get<0>(*body) != protocol_version)
    {
        return outcome<record_batch>::failure(body ? "unsupported protocol version"
                                                   : body.failure_reason());
    }
    const auto ends = from_row(std::get<1>(*body));
    if (!ends)
    {
        return outcome<record_batch>::failure("malformed positions");
    }
    record_batch batch;
    batch.ends = *ends;
    batch.changes = {from_changes_row(std::get<2>(*body), batch.ends[0].era()),
                     from_changes_row(std::get<3>(*body), batch.ends[1].era())};
    return batch;
}

} // namespace poplardrift::fleet
