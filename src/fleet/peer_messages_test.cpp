#include "fleet/peer_messages.hpp"

#include <catch2/catch.hpp>
#include <msgpack.hpp>

using namespace poplardrift;
using namespace poplardrift::fleet;

// Guards against hosts of two versions not understanding each other's beacons.
TEST_CASE("figures of services are an optional last member of a beacon")
{
    host_beacon beacon;
    beacon.incarnation = 7;
    const auto without = encode_beacon(beacon);
    CHECK(static_cast<unsigned char>(without[0]) == 0x99); // nine members, as ever
    const auto decoded_without = decode_beacon(without);
    REQUIRE(decoded_without);
    CHECK(decoded_without->figures.empty());

    beacon.figures = {{overload::service_key(0xabcdef01), 20000.5, 600.0, 0.475}};
    const auto with = encode_beacon(beacon);
    CHECK(with.size() <= without.size() + 12 + 2);
    const auto decoded = decode_beacon(with);
    REQUIRE(decoded);
    REQUIRE(decoded->figures.size() == 1);
    CHECK(decoded->figures[0].service == beacon.figures[0].service);
    CHECK(decoded->figures[0].arrivals == 20000.5);
    CHECK(decoded->figures[0].completions == 600.0);
    CHECK(decoded->figures[0].delay == Approx(0.475));

    // A host of an older version reads the members that it knows.
    const auto handle = msgpack::unpack(with.data(), with.size());
    CHECK(std::get<0>(handle.get().as<std::tuple<std::uint32_t, std::string>>()) == 3);
}

TEST_CASE("figures of services are an optional last member of a zone's sum")
{
    zone_summary summary;
    summary.zone = "a";
    summary.figures = {{overload::service_key(5), 10.0, 8.0, 1.25}};
    const auto decoded = decode_datagram(encode_summary(summary), time_point{});
    REQUIRE(decoded);
    REQUIRE(std::get<zone_summary>(*decoded).figures.size() == 1);
    CHECK(std::get<zone_summary>(*decoded).figures[0].delay == Approx(1.25));
}
