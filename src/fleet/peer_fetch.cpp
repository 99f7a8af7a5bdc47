// Records between hosts: fetching those that a peer has, and serving those that peers lack.

#include "fleet/peer_link.hpp"
#include "http/limited_body.hpp"
#include "net/clock.hpp"

#include <algorithm>
#include <utility>

namespace poplardrift::fleet
{

namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::address_v4;
using boost::system::error_code;

/// Time for the platform to deliver new configurations through a long poll. For the registry it is
/// two of a reader's intervals.
constexpr duration configuration_delivery_delay = 150ms;
constexpr duration fetch_timeout = 500ms;
/// Several times the records of the largest fleet.
constexpr std::size_t max_batch_bytes = 16U << 20U;
constexpr std::string_view fetch_path = "/records/";

/// Label of a stream's offset in the target of a fetch. That of its era is the label and "-era";
/// versions of the program without eras send none and ignore it.
auto label_of(record_stream stream) -> std::string
{
    return stream == record_stream::operators ? "operators" : "upstreams";
}

auto position_segments(record_stream stream, record_position position) -> std::string
{
    const auto label = label_of(stream);
    return label + "=" + std::to_string(position.offset()) + "/" + label +
           "-era=" + std::to_string(position.era().value()) + "/";
}

auto parse_number_after(std::string_view target, std::string_view label) -> std::uint64_t
{
    const auto at = target.find(label);
    if (at == std::string_view::npos)
    {
        return 0;
    }
    auto text = target.substr(at + label.size());
    return http::parse_number(text.substr(0, text.find('/'))).value_or(0);
}

/// An era out of range is read as the highest, so that a malformed request returns no records.
auto parse_position(std::string_view target, record_stream stream) -> record_position
{
    const auto label = label_of(stream);
    const auto era =
        std::min<std::uint64_t>(parse_number_after(target, label + "-era="), max_store_era.value());
    return record_position(parse_number_after(target, label + "="),
                           store_era(static_cast<std::uint32_t>(era)));
}

} // namespace

/// An HTTP request for missing records to one peer. Responses other than 200, failures and timeouts
/// are dropped; a later tick starts another fetch.
class peer_link::batch_fetch final : public http::response_receiver,
                                     public std::enable_shared_from_this<batch_fetch>
{
public:
    batch_fetch(peer_link& owner, const address_v4& address)
        : owner(owner), timer(owner.io),
          connection(std::make_shared<http::upstream_connection>(
              owner.io, boost::asio::ip::tcp::endpoint(address, owner.settings.port),
              http::connection_settings{fetch_timeout, fetch_timeout}))
    {
    }
    ~batch_fetch() override { this->connection->abandon(); }

    auto start() -> void
    {
        const auto& state = this->owner.state;
        http::upstream_request request;
        request.head = "GET " + std::string(fetch_path);
        for (const auto stream : {record_stream::operators, record_stream::upstreams})
        {
            request.head += position_segments(stream, state.mirror_of(stream).end());
        }
        request.head += " HTTP/1.1\r\nHost: peer\r\nConnection: close\r\n\r\n";
        this->timer.expires_after(fetch_timeout);
        // An expiry that is already queued runs even if the response ends this fetch before it.
        this->timer.async_wait(
            [weak = this->weak_from_this()](const error_code& error)
            {
                const auto self = weak.lock();
                if (!error && self)
                {
                    self->owner.fetch = nullptr;
                }
            });
        this->connection->send(std::move(request), this);
    }

private:
    auto on_request_sent() -> void override {}
    auto on_response_head(const http::response_head& head) -> void override
    {
        this->accepted = head.status == 200;
    }
    auto on_response_body(std::string bytes) -> void override
    {
        if (!this->body.append(bytes))
        {
            const auto self = std::exchange(this->owner.fetch, nullptr);
            this->connection->abandon();
        }
    }
    auto on_response_end() -> void override
    {
        const auto self = std::exchange(this->owner.fetch, nullptr);
        if (this->accepted)
        {
            this->owner.on_batch(this->body.take());
        }
    }
    auto on_response_failed(http::transport_failure) -> void override
    {
        const auto self = std::exchange(this->owner.fetch, nullptr);
    }

    peer_link& owner;
    boost::asio::steady_timer timer;
    std::shared_ptr<http::upstream_connection> connection;
    http::limited_body body{max_batch_bytes};
    bool accepted = false;
};

auto peer_link::fetch_missing_records(time_point now) -> void
{
    // Starts at the next higher address, so that hosts spread their fetches over different peers.
    const auto next_higher = this->peers.upper_bound(this->settings.address);
    for (auto item = next_higher; item != this->peers.end(); ++item)
    {
        this->fetch_if_behind(item->first, item->second, now);
    }
    for (auto item = this->peers.begin(); item != next_higher; ++item)
    {
        this->fetch_if_behind(item->first, item->second, now);
    }
}

auto peer_link::fetch_if_behind(const address_v4& address, peer& other, time_point now) -> void
{
    for (std::size_t stream = 0; stream < other.ends.size(); ++stream)
    {
        const auto& mirror = this->state.mirror_of(static_cast<record_stream>(stream));
        const auto ahead = this->is_alive(other, now) && other.ends[stream] > mirror.end() &&
                           (other.change_ends[stream] > mirror.end() || !mirror.is_complete());
        auto& since = other.ahead_since[stream];
        since = !ahead ? time_point{} : since == time_point{} ? now : since;
        // Readers of the own cell usually deliver a record before it has to be fetched from another
        // zone.
        const auto delay = this->platform_delivery_delay_of(stream, now) +
                           (this->is_in_cell(other) ? 0 : 2) * this->plan.beacon_interval(true);
        const auto is_late = ahead && (now - since >= delay || !mirror.is_complete());
        if (is_late && !this->fetch)
        {
            this->fetch_from(address);
            since = now;
        }
    }
}

auto peer_link::platform_delivery_delay_of(std::size_t stream, time_point now) const -> duration
{
    if (stream != static_cast<std::size_t>(record_stream::upstreams))
    {
        return configuration_delivery_delay;
    }
    return this->is_reader(now) ? 2 * this->settings.registry_interval : duration(0ns);
}

auto peer_link::fetch_from(const address_v4& address) -> void
{
    this->fetch = std::make_shared<batch_fetch>(*this, address);
    this->fetch->start();
}

auto peer_link::on_batch(const std::string& body) -> void
{
    const auto batch = decode_batch(body);
    if (!batch)
    {
        this->log.write(event_code::peer_message_rejected, {{"reason", batch.failure_reason()}});
        return;
    }
    const auto now = boot_clock_now();
    for (std::size_t stream = 0; stream < batch->ends.size(); ++stream)
    {
        this->state.on_changes(static_cast<record_stream>(stream), batch->changes[stream],
                               batch->ends[stream], now);
    }
    this->log.write(event_code::peer_records_taken,
                    {{"operators", batch->changes[0].records.size()},
                     {"upstreams", batch->changes[1].records.size()}});
    this->on_records_applied();
}

auto peer_link::serve_records(const http::request_head& head) const -> traffic::status_response
{
    const std::string_view target = head.target;
    if (head.method != "GET" || target.substr(0, fetch_path.size()) != fetch_path)
    {
        return {404, "no such page\n"};
    }
    const auto& operators = this->state.mirror_of(record_stream::operators);
    const auto& upstreams = this->state.mirror_of(record_stream::upstreams);
    record_batch batch;
    batch.ends = {operators.end(), upstreams.end()};
    batch.changes = {operators.changes_since(parse_position(target, record_stream::operators)),
                     upstreams.changes_since(parse_position(target, record_stream::upstreams))};
    return {200, encode_batch(batch), "application/octet-stream"};
}

} // namespace poplardrift::fleet
