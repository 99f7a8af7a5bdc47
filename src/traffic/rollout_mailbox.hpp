#pragma once

#include "rollout/rollout.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace poplardrift::traffic
{

/// This host's reports on its roll-outs.
struct local_rollouts
{
    std::vector<rollout::rollout_report> reports;
    std::uint64_t phase_changes = 0; ///< grows when a phase changes
    std::uint64_t bad_responses = 0; ///< grows with bad or slow responses of a new version
};

/// A report of another host.
struct received_rollout
{
    rollout::host_instance from;
    rollout::rollout_report report;
};

/// The state of a service's roll-out in the platform's store.
struct recorded_rollout
{
    std::string service;
    std::string to;
    rollout::rollout_phase phase = rollout::rollout_phase::in_progress;
};

/// A state to be written to the store, or read from it if there is none to write.
struct rollout_store_task
{
    std::string service;
    std::string to;
    std::optional<rollout::rollout_phase> write;
};

/// Passes reports on roll-outs and their states in the store between the control thread and the
/// traffic thread. Each call holds a lock for the duration of a copy.
class rollout_mailbox final
{
public:
    /// Traffic thread.
    auto set_local(local_rollouts next) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->local = std::move(next);
    }
    /// Control thread.
    [[nodiscard]] auto get_local() const -> local_rollouts
    {
        const std::lock_guard lock(this->mutex);
        return this->local;
    }
    /// Control thread: adds a report of another host.
    auto add_received(received_rollout report) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->received.push_back(std::move(report));
    }
    /// Traffic thread: removes and returns the reports added since the last call.
    [[nodiscard]] auto take_received() -> std::vector<received_rollout>
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->received, {});
    }
    /// Control thread: adds a state that the store has.
    auto add_recorded(recorded_rollout state) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->recorded.push_back(std::move(state));
    }
    /// Traffic thread: removes and returns the states added since the last call.
    [[nodiscard]] auto take_recorded() -> std::vector<recorded_rollout>
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->recorded, {});
    }
    /// Traffic thread: asks for a call to the store.
    auto add_task(rollout_store_task task) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->tasks.push_back(std::move(task));
    }
    /// Control thread: removes and returns the tasks added since the last call.
    [[nodiscard]] auto take_tasks() -> std::vector<rollout_store_task>
    {
        const std::lock_guard lock(this->mutex);
        return std::exchange(this->tasks, {});
    }
    /// Control thread: other hosts are known, but none is alive.
    auto set_isolated(bool is_isolated) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->isolated = is_isolated;
    }
    /// Traffic thread.
    [[nodiscard]] auto is_isolated() const -> bool
    {
        const std::lock_guard lock(this->mutex);
        return this->isolated;
    }

private:
    mutable std::mutex mutex;
    local_rollouts local;
    std::vector<received_rollout> received;
    std::vector<recorded_rollout> recorded;
    std::vector<rollout_store_task> tasks;
    bool isolated = false;
};

} // namespace poplardrift::traffic
