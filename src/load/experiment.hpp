#pragma once

#include "load/callers.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace poplardrift::load
{

/// Runs one experiment against a fleet that stands already, and judges it.
class experiment final
{
public:
    /// `plan` is the experiment's file, `client` the fleet's client.json.
    experiment(nlohmann::json plan, nlohmann::json client);

    /// Runs all phases. False when the fleet is not there.
    [[nodiscard]] auto run() -> bool;
    /// All figures of the run.
    [[nodiscard]] auto result() const -> const nlohmann::json& { return this->figures; }
    [[nodiscard]] auto samples() const -> const recorder& { return this->results; }

private:
    auto schedule_loop() -> void;
    auto do_event(const nlohmann::json& what) -> void;
    auto sample_loop() -> void;
    auto set_zone(const std::string& zone, bool in_service) -> void;
    /// Control bytes by host and kind.
    using bytes_by_host = std::map<std::string, std::map<std::string, double>>;

    [[nodiscard]] auto control_bytes() -> bytes_by_host;
    [[nodiscard]] auto emulator_get(const std::string& path) -> nlohmann::json;
    auto emulator_post(const std::string& path, const nlohmann::json& body) -> void;
    auto judge(const bytes_by_host& bytes_before, double seconds) -> void;
    auto judge_chats() -> void;
    auto judge_bookings() -> void;
    [[nodiscard]] auto seconds_now() const -> double;

    nlohmann::json plan;
    nlohmann::json client;
    recorder results;
    balancer hosts;
    placement_oracle oracle;
    callers people;
    nlohmann::json figures;
    bytes_by_host placements; ///< requests by host and by how they got their place
    double begin_seconds = 0;
    double begin_ms = 0; ///< wall clock
    std::atomic<bool> ended{false};
    std::atomic<int> running{0};
};

} // namespace poplardrift::load
