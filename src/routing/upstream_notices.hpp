#pragma once

#include "poplardrift/base/time.hpp"

namespace poplardrift::routing
{

/// What one start of an upstream has said of itself in its responses to this host. It holds without
/// the registry and against older entries of it; a new start begins without notices. Other hosts
/// are not told: each gets its own responses, and no single host takes an upstream out everywhere.
/// Not thread-safe.
class upstream_notices final
{
public:
    /// The upstream finishes its requests and accepts no new ones.
    auto on_leaving() -> void { this->leaving = true; }
    /// The upstream wants no requests from this host for `length`. Pauses overlap; the last end
    /// counts. `spread` delays the return, so that hosts do not all return at once.
    auto on_pause(time_point now, duration length, duration spread) -> void;
    auto on_success() -> void { this->resuming = false; }
    /// Takes over a pause that the former start of the upstream seems to have asked for lately: the
    /// registry shows a new start only after a while, so the new one may have asked for it.
    auto take_recent_pause(const upstream_notices& former, time_point now) -> void;

    [[nodiscard]] auto is_leaving() const -> bool { return this->leaving; }
    [[nodiscard]] auto is_paused(time_point now) const -> bool { return now < this->paused_until; }
    [[nodiscard]] auto get_paused_until() const -> time_point { return this->paused_until; }
    /// True from the beginning of a pause until a request has succeeded. Callers limit the requests
    /// in flight meanwhile.
    [[nodiscard]] auto is_resuming() const -> bool { return this->resuming; }

    /// An upstream that wants nothing for longer should leave; bounds what a wrong value can do.
    static constexpr duration max_pause = std::chrono::hours(1);

private:
    time_point paused_at{}; ///< when the last pause was asked for
    time_point paused_until{};
    bool leaving = false;
    bool resuming = false;
};

} // namespace poplardrift::routing
