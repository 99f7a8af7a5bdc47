#include "poplardrift/gossip/codec.hpp"

#include "poplardrift/base/crypto.hpp"

#include <msgpack.hpp>

namespace poplardrift
{

namespace
{

/// Version of the message layout. Later versions append fields at the end of the outer array.
constexpr std::uint32_t layout_version = 1;
/// Length of the truncated HMAC in bytes.
constexpr std::size_t mac_size = 12;
/// Elements of the outer array in this layout.
constexpr std::uint32_t member_count = 16;

using packer = msgpack::packer<msgpack::sbuffer>;

auto pack(packer& out, const slot_report& item) -> void
{
    out.pack_array(4)
        .pack(item.upstream.value())
        .pack(item.in_use)
        .pack(item.wanted)
        .pack(item.held);
}

auto pack(packer& out, const slot_grant& item) -> void
{
    out.pack_array(3)
        .pack(item.upstream.value())
        .pack(item.slots)
        .pack(item.report_sequence.value());
}

auto pack(packer& out, const upstream_status& item) -> void
{
    out.pack_array(5).pack(item.upstream.value());
    out.pack(static_cast<std::uint8_t>(item.state)).pack(item.limit).pack(item.free_slots);
    out.pack(item.incarnation);
}

auto pack(packer& out, const upstream_fault_report& item) -> void
{
    out.pack_array(3).pack(item.upstream.value());
    out.pack(static_cast<std::uint8_t>(item.suspected)).pack(item.count);
}

auto pack(packer& out, const pool_load& item) -> void
{
    out.pack_array(3).pack(item.pool.value()).pack(item.warm).pack(item.all);
}

auto pack(packer& out, const placement_exception& item) -> void
{
    out.pack_array(2).pack(item.conversation.value()).pack(item.upstream.value());
}

template <class T>
auto pack_all(packer& out, const std::vector<T>& items) -> void
{
    out.pack_array(static_cast<std::uint32_t>(items.size()));
    for (const auto& item : items)
    {
        pack(out, item);
    }
}

/// Reads the elements of one MessagePack array in order. Throws msgpack::type_error on mismatch,
/// which `decode_message` catches.
class array_reader final
{
public:
    explicit array_reader(const msgpack::object& source)
    {
        if (source.type != msgpack::type::ARRAY)
        {
            throw msgpack::type_error();
        }
        this->items = source.via.array;
    }

    template <class T>
    [[nodiscard]] auto next() -> T
    {
        return this->next_object().template as<T>();
    }

    [[nodiscard]] auto next_object() -> const msgpack::object&
    {
        if (this->position >= this->items.size)
        {
            throw msgpack::type_error();
        }
        return this->items.ptr[this->position++];
    }

    [[nodiscard]] auto next_upstream() -> upstream_id
    {
        return upstream_id{this->next<std::uint32_t>()};
    }

    [[nodiscard]] auto next_state() -> upstream_state
    {
        const auto value = this->next<std::uint8_t>();
        if (value > static_cast<std::uint8_t>(upstream_state::leaving))
        {
            throw msgpack::type_error();
        }
        return static_cast<upstream_state>(value);
    }

private:
    msgpack::object_array items{};
    std::uint32_t position = 0;
};

auto unpack(array_reader in, slot_report& item) -> void
{
    item.upstream = in.next_upstream();
    item.in_use = in.next<std::uint32_t>();
    item.wanted = in.next<std::uint32_t>();
    item.held = in.next<std::uint32_t>();
}

auto unpack(array_reader in, slot_grant& item) -> void
{
    item.upstream = in.next_upstream();
    item.slots = in.next<std::uint32_t>();
    item.report_sequence = message_sequence{in.next<std::uint64_t>()};
}

auto unpack(array_reader in, upstream_status& item) -> void
{
    item.upstream = in.next_upstream();
    item.state = in.next_state();
    item.limit = in.next<std::uint32_t>();
    item.free_slots = in.next<std::uint32_t>();
    item.incarnation = in.next<std::uint32_t>();
}

auto unpack(array_reader in, upstream_fault_report& item) -> void
{
    item.upstream = in.next_upstream();
    item.suspected = in.next_state();
    item.count = in.next<std::uint32_t>();
}

auto unpack(array_reader in, pool_load& item) -> void
{
    item.pool = pool_id{in.next<std::uint32_t>()};
    item.warm = in.next<std::uint32_t>();
    item.all = in.next<std::uint32_t>();
}

auto unpack(array_reader in, placement_exception& item) -> void
{
    item.conversation = conversation_id{in.next<std::uint64_t>()};
    item.upstream = in.next_upstream();
}

template <class T>
auto unpack_all(const msgpack::object& source, std::vector<T>& items) -> void
{
    array_reader in(source);
    const auto count = source.via.array.size;
    items.resize(count);
    for (auto& item : items)
    {
        unpack(array_reader(in.next_object()), item);
    }
}

auto unpack_message(const msgpack::object& source) -> peer_message
{
    array_reader in(source);
    peer_message message;
    (void)in.next<std::uint32_t>(); // layout version; later versions only append fields
    message.sender = host_id{in.next<std::uint32_t>()};
    message.incarnation = incarnation_id{in.next<std::uint64_t>()};
    message.sequence = message_sequence{in.next<std::uint64_t>()};
    message.acknowledged = message_sequence{in.next<std::uint64_t>()};
    message.acknowledged_incarnation = incarnation_id{in.next<std::uint64_t>()};
    message.configuration = log_offset{in.next<std::uint64_t>()};
    message.configuration_digest = in.next<std::uint32_t>();
    const auto flags = in.next<std::uint8_t>();
    message.leaving = (flags & 1U) != 0;
    message.wants_configuration = (flags & 2U) != 0;
    message.settled = (flags & 4U) != 0;
    unpack_all(in.next_object(), message.reports);
    unpack_all(in.next_object(), message.grants);
    unpack_all(in.next_object(), message.statuses);
    unpack_all(in.next_object(), message.fault_reports);
    unpack_all(in.next_object(), message.loads);
    unpack_all(in.next_object(), message.exceptions);
    message.configuration_update = in.next<std::string>();
    return message;
}

auto compute_mac(std::string_view bytes, std::string_view secret) -> std::string
{
    return hmac_sha256(secret, bytes).substr(0, mac_size);
}

} // namespace

auto encode_message(const peer_message& message, std::string_view host_secret) -> std::string
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(member_count).pack(layout_version).pack(message.sender.value());
    out.pack(message.incarnation.value()).pack(message.sequence.value());
    out.pack(message.acknowledged.value()).pack(message.acknowledged_incarnation.value());
    out.pack(message.configuration.value()).pack(message.configuration_digest);
    out.pack(static_cast<std::uint8_t>((message.leaving ? 1U : 0U) |
                                       (message.wants_configuration ? 2U : 0U) |
                                       (message.settled ? 4U : 0U)));
    pack_all(out, message.reports);
    pack_all(out, message.grants);
    pack_all(out, message.statuses);
    pack_all(out, message.fault_reports);
    pack_all(out, message.loads);
    pack_all(out, message.exceptions);
    out.pack(message.configuration_update);
    std::string bytes(buffer.data(), buffer.size());
    bytes += compute_mac(bytes, host_secret);
    return bytes;
}

auto decode_message(std::string_view bytes, std::string_view host_secret) -> outcome<peer_message>
{
    if (bytes.size() <= mac_size)
    {
        return outcome<peer_message>::failure("too short");
    }
    const auto body = bytes.substr(0, bytes.size() - mac_size);
    if (!equal_constant_time(compute_mac(body, host_secret), bytes.substr(body.size())))
    {
        return outcome<peer_message>::failure("not authentic");
    }
    try
    {
        const auto handle = msgpack::unpack(body.data(), body.size());
        return unpack_message(handle.get());
    }
    catch (const std::exception& fault)
    {
        return outcome<peer_message>::failure(std::string("malformed: ") + fault.what());
    }
}

} // namespace poplardrift
