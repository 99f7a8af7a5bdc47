#include "fleet/peer_messages.hpp"

#include <msgpack.hpp>

#include <exception>
#include <optional>
#include <tuple>
#include <utility>

namespace poplardrift::fleet
{

namespace
{

/// First field of each message; a host passes over messages of another version.
constexpr std::uint32_t protocol_version = 1;
/// Loads in one datagram, so that it stays within one packet of an ordinary network.
constexpr std::size_t most_loads = 60;

using load_row = std::tuple<std::uint64_t, std::uint32_t, bool>;
using sight_row = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>;
using record_row = std::tuple<std::string, std::uint64_t, bool, std::string>;

template <class Body>
auto pack(const Body& body) -> std::string
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, body);
    return {buffer.data(), buffer.size()};
}

/// Reads a packed tuple; nothing when the bytes are anything else. The library reports by
/// exception.
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
        rows.emplace_back(record.key, record.position.value(), record.value.has_value(),
                          record.value.value_or(""));
    }
    return rows;
}

auto from_rows(const std::vector<record_row>& rows) -> std::vector<published_record>
{
    std::vector<published_record> records;
    records.reserve(rows.size());
    for (const auto& [key, position, present, value] : rows)
    {
        records.push_back(
            {key, record_position(position), present ? std::optional(value) : std::nullopt});
    }
    return records;
}

using position_row = std::tuple<std::uint64_t, std::uint64_t>; // operators, upstreams
using beacon_body =
    std::tuple<std::uint32_t, std::string, std::string, std::uint64_t, position_row, position_row,
               std::int64_t, std::vector<load_row>, std::vector<sight_row>>;
auto to_row(const std::array<record_position, 2>& positions) -> position_row
{
    return {positions[0].value(), positions[1].value()};
}

auto from_row(const position_row& row) -> std::array<record_position, 2>
{
    return {record_position(std::get<0>(row)), record_position(std::get<1>(row))};
}

using changes_row = std::tuple<bool, std::vector<record_row>>;
using batch_body = std::tuple<std::uint32_t, position_row, changes_row, changes_row>;

auto to_changes_row(const mirror_changes& changes) -> changes_row
{
    return {changes.is_listing, to_rows(changes.records)};
}

auto from_changes_row(const changes_row& row) -> mirror_changes
{
    return {from_rows(std::get<1>(row)), std::get<0>(row)};
}

} // namespace

auto encode_beacon(const host_beacon& beacon) -> std::string
{
    std::vector<load_row> loads;
    for (const auto& load : beacon.loads)
    {
        if (loads.size() < most_loads)
        {
            loads.emplace_back(load.upstream, load.in_flight, load.ejected);
        }
    }
    std::vector<sight_row> sights;
    for (const auto& sight : beacon.sights)
    {
        sights.emplace_back(sight.upstream, sight.chain_hash, sight.tokens);
    }
    return pack(beacon_body(protocol_version, beacon.host, beacon.zone, beacon.incarnation,
                            to_row(beacon.ends), to_row(beacon.news_ends),
                            beacon.registry_age.count(), loads, sights));
}

auto decode_beacon(std::string_view bytes) -> outcome<host_beacon>
{
    const auto body = unpack<beacon_body>(bytes);
    if (!body || std::get<0>(*body) != protocol_version)
    {
        return outcome<host_beacon>::failure(body ? "another protocol version"
                                                  : body.last_reason());
    }
    host_beacon beacon;
    beacon.host = std::get<1>(*body);
    beacon.zone = std::get<2>(*body);
    beacon.incarnation = std::get<3>(*body);
    beacon.ends = from_row(std::get<4>(*body));
    beacon.news_ends = from_row(std::get<5>(*body));
    beacon.registry_age = std::chrono::milliseconds(std::get<6>(*body));
    for (const auto& [upstream, in_flight, ejected] : std::get<7>(*body))
    {
        beacon.loads.push_back({upstream, in_flight, ejected});
    }
    for (const auto& [upstream, chain_hash, tokens] : std::get<8>(*body))
    {
        beacon.sights.push_back({upstream, chain_hash, tokens});
    }
    return beacon;
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
        return outcome<record_batch>::failure(body ? "another protocol version"
                                                   : body.last_reason());
    }
    record_batch batch;
    batch.ends = from_row(std::get<1>(*body));
    batch.changes = {from_changes_row(std::get<2>(*body)), from_changes_row(std::get<3>(*body))};
    return batch;
}

} // namespace poplardrift::fleet
