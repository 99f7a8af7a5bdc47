#pragma once

#include "emulator/world.hpp"

#include <atomic>
#include <thread>

namespace poplardrift::emulator
{

/// The network between two hosts, in one direction: forwards a TCP connection byte by byte with a
/// delay, and falls silent without closing it while the zones are cut off from each other.
class link_relay final
{
public:
    link_relay(world& around, fleet_host from, fleet_host to);
    ~link_relay();
    link_relay(const link_relay&) = delete;
    auto operator=(const link_relay&) -> link_relay& = delete;

    /// Port that the asking host dials; zero when none could be bound.
    [[nodiscard]] auto port() const -> std::uint16_t { return this->bound_port; }
    /// Makes all present connections silent for good, while new ones work.
    auto silence_present() -> void { ++this->epoch; }
    [[nodiscard]] auto bytes() const -> std::int64_t { return this->forwarded.load(); }
    [[nodiscard]] auto from_host() const -> const fleet_host& { return this->from; }
    [[nodiscard]] auto to_host() const -> const fleet_host& { return this->to; }

private:
    auto accept_loop() -> void;
    auto forward(int source, int target, int own_epoch) -> void;

    world& around;
    fleet_host from;
    fleet_host to;
    int listener = -1;
    std::uint16_t bound_port = 0;
    std::atomic<int> epoch{0};
    std::atomic<bool> stopping{false};
    std::atomic<std::int64_t> forwarded{0};
    std::thread acceptor;
};

} // namespace poplardrift::emulator
