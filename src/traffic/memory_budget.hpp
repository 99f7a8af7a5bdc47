#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplardrift::traffic
{

/// Which limit of a budget leaves no room.
enum class room_shortage : std::uint8_t
{
    none,
    process,
    workspace,
    address,
};

[[nodiscard]] auto to_text(room_shortage shortage) -> const char*;

/// Bounds the memory that callers' connections hold: heads, bodies, pipelined bytes and responses,
/// complete or not. One workspace or one caller address may take most of it but not all, so that it
/// leaves room for others. Traffic thread.
class memory_budget final
{
public:
    explicit memory_budget(std::size_t max_bytes) : max_bytes(max_bytes) {}

    /// Takes nothing unless there is room.
    [[nodiscard]] auto try_take(const std::string& workspace, std::uint32_t address,
                                std::size_t bytes) -> room_shortage;
    auto give_back(const std::string& workspace, std::uint32_t address, std::size_t bytes) -> void;
    [[nodiscard]] auto get_taken() const -> std::size_t { return this->taken; }

private:
    std::size_t max_bytes;
    std::size_t taken = 0;
    absl::flat_hash_map<std::string, std::size_t> by_workspace; ///< without empty entries
    absl::flat_hash_map<std::uint32_t, std::size_t> by_address; ///< without empty entries
};

/// The bytes that one connection has taken from a budget; given back when it goes. Movable.
class memory_reservation final
{
public:
    memory_reservation() = default;
    memory_reservation(memory_budget& budget, std::uint32_t address)
        : budget(&budget), address(address)
    {
    }
    ~memory_reservation() { this->release(); }
    memory_reservation(memory_reservation&& other) noexcept { *this = std::move(other); }
    auto operator=(memory_reservation&& other) noexcept -> memory_reservation&;
    memory_reservation(const memory_reservation&) = delete;
    auto operator=(const memory_reservation&) -> memory_reservation& = delete;

    /// Changes the size of the reservation, unless there is no room for more.
    [[nodiscard]] auto try_resize(std::size_t wanted) -> room_shortage;
    /// Counts the bytes for this workspace from now on. The reservation is empty if the workspace
    /// has no room for them.
    [[nodiscard]] auto try_assign(std::string_view workspace) -> room_shortage;
    /// Gives all back. The reservation can be used again.
    auto clear() -> void;
    [[nodiscard]] auto get_bytes() const -> std::size_t { return this->bytes; }
    [[nodiscard]] auto get_address() const -> std::uint32_t { return this->address; }
    [[nodiscard]] auto get_workspace() const -> const std::string& { return this->workspace; }

private:
    auto release() -> void;

    memory_budget* budget = nullptr;
    std::string workspace; ///< empty until it is known
    std::uint32_t address = 0;
    std::size_t bytes = 0;
};

/// How much a connection would free, and for how long it has made no progress.
struct memory_holding
{
    std::size_t bytes = 0;
    double seconds_without_progress = 0.0;
};

/// Connections of the highest rank are closed first when there is no room. It grows with the bytes
/// held and with the time without progress.
[[nodiscard]] auto closing_rank(const memory_holding& holding) -> double;

} // namespace poplardrift::traffic
