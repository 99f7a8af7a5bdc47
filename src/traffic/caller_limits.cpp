// The part of traffic_service that keeps callers within the memory and the descriptors of the
// process.

#include "net/clock.hpp"
#include "traffic/traffic_service.hpp"

#include <utility>

namespace poplardrift::traffic
{

namespace
{

constexpr const char* connection_limit = "connections";

/// True if closing what holds `room` can end the shortage that `asking` has met.
auto is_concerned(const memory_reservation& room, const memory_reservation& asking,
                  room_shortage shortage) -> bool
{
    switch (shortage)
    {
    case room_shortage::workspace:
        return room.get_workspace() == asking.get_workspace();
    case room_shortage::address:
        return room.get_address() == asking.get_address();
    case room_shortage::process:
    case room_shortage::none:
        return true;
    }
    return true;
}

} // namespace

auto traffic_service::accept_caller(boost::asio::ip::tcp::socket socket) -> void
{
    const auto has_room =
        this->descriptors.has_room(descriptor_use::caller) ||
        (this->close_inactive_caller() && this->descriptors.has_room(descriptor_use::caller));
    if (!has_room)
    {
        // Closed without reading, so the caller knows that nothing has run.
        boost::system::error_code error;
        this->limits.report(connection_limit, socket.remote_endpoint(error).address(), 0,
                            boot_clock_now());
        return;
    }
    auto session = std::make_shared<caller_session>(*this, std::move(socket),
                                                    this->descriptors.take(descriptor_use::caller));
    this->sessions.insert(session);
    session->start();
}

auto traffic_service::close_inactive_caller() -> bool
{
    while (!this->lingering.empty())
    {
        const auto oldest = this->lingering.front().stream.lock();
        this->lingering.pop_front();
        if (oldest && oldest->is_open())
        {
            oldest->close();
            return true;
        }
    }
    const auto now = boot_clock_now();
    std::shared_ptr<caller_session> longest;
    auto since = time_point::max();
    for (const auto& session : this->sessions)
    {
        const auto inactive_since = session->inactive_since(now);
        if (inactive_since && *inactive_since < since)
        {
            since = *inactive_since;
            longest = session;
        }
    }
    if (!longest)
    {
        return false;
    }
    this->limits.report(connection_limit, longest->get_caller_address(),
                        longest->get_room().get_bytes(), now);
    longest->close_for_others("too many connections");
    if (!this->lingering.empty())
    {
        // The new connection needs the descriptor now.
        if (const auto stream = this->lingering.back().stream.lock())
        {
            stream->close();
        }
        this->lingering.pop_back();
    }
    return true;
}

auto traffic_service::close_lingering_for(const caller_session& asking, room_shortage shortage)
    -> bool
{
    std::shared_ptr<http::byte_stream> largest;
    std::size_t bytes = 0;
    for (const auto& one : this->lingering)
    {
        const auto room = one.room.lock();
        auto stream = one.stream.lock();
        if (room && stream && room->get_bytes() > bytes &&
            is_concerned(*room, asking.get_room(), shortage))
        {
            bytes = room->get_bytes();
            largest = std::move(stream);
        }
    }
    if (!largest)
    {
        return false;
    }
    largest->close();
    return true;
}

auto traffic_service::make_room(const caller_session& asking, const memory_holding& wanted,
                                room_shortage shortage) -> bool
{
    if (this->close_lingering_for(asking, shortage))
    {
        return true;
    }
    std::shared_ptr<caller_session> highest;
    auto rank = closing_rank(wanted);
    for (const auto& session : this->sessions)
    {
        if (session.get() == &asking ||
            !is_concerned(session->get_room(), asking.get_room(), shortage))
        {
            continue;
        }
        const auto candidate = closing_rank(session->closable_holding());
        if (candidate > rank)
        {
            rank = candidate;
            highest = session;
        }
    }
    const auto& closed = highest ? *highest : asking;
    this->limits.report(to_text(shortage), closed.get_caller_address(),
                        highest ? highest->get_room().get_bytes() : wanted.bytes, boot_clock_now());
    if (!highest)
    {
        return false;
    }
    const auto before = this->memory.get_taken();
    highest->close_for_others("too many bodies held");
    return this->memory.get_taken() < before;
}

auto traffic_service::on_lingering(const std::shared_ptr<http::byte_stream>& stream,
                                   const std::shared_ptr<memory_reservation>& room) -> void
{
    while (!this->lingering.empty())
    {
        const auto oldest = this->lingering.front().stream.lock();
        if (oldest && oldest->is_open())
        {
            break;
        }
        this->lingering.pop_front();
    }
    this->lingering.push_back({stream, room});
}

} // namespace poplardrift::traffic
