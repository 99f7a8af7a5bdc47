#include "router_deployment.hpp"

#include <nlohmann/json.hpp>

namespace poplardrift::tests
{

namespace
{

using nlohmann::json;

auto make_route(const std::string& name, const std::string& kind) -> json
{
    return {{"name", name},       {"hostname", "h.example"}, {"path_prefix", "/" + name + "/"},
            {"route_kind", kind}, {"resumable", false},      {"timeout_ms", 2500},
            {"slo_ms", 150},      {"itl_target_ms", 300},    {"max_attempts", 3},
            {"service", "s"}};
}

} // namespace

router_deployment::router_deployment(const std::vector<boost::asio::ip::tcp::endpoint>& upstreams,
                                     process_limits limits)
    : router(this->publish(upstreams), limits)
{
}

auto router_deployment::publish(const std::vector<boost::asio::ip::tcp::endpoint>& upstreams)
    -> std::uint16_t
{
    const json configuration = {
        {"version", 1},
        {"routes",
         {make_route("safe", "idempotent"), make_route("once", "non_idempotent"),
          make_route("stream", "streaming")}},
        {"services", {{{"name", "s"}}}},
        {"tenants", {{{"name", "w"}, {"api_keys", {"k"}}}}},
        {"limits",
         {{"max_header_bytes", max_header_bytes},
          {"max_body_bytes", max_body_bytes},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15'000}}}};
    this->store.put("keyed.op", "config", configuration.dump());
    for (std::size_t number = 0; number < upstreams.size(); ++number)
    {
        const auto& address = upstreams[number];
        const json entry = {
            {"service", "s"},
            {"address", address.address().to_string() + ":" + std::to_string(address.port())},
            {"zone", "z-a"},
            {"version", "v1"},
            {"slots", 64},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"sequence", 1},
            {"born", 1}};
        this->store.put("keyed.servers", "u" + std::to_string(number), entry.dump());
    }
    return this->store.port();
}

} // namespace poplardrift::tests
