#pragma once

#include <cstdint>

namespace poplardrift::rollout
{

/// Limits how often bad responses of a new version bring its verdict forward, before the next tick.
/// Each of the first certain_bad_responses does, later ones when their number has grown by an
/// eighth. One roll-out thus makes 50 + 9 ln(n / 50) + 1 early verdicts at most for n bad
/// responses, however fast they arrive.
class early_verdicts final
{
public:
    /// Counts a bad response. True if the verdict is due now.
    [[nodiscard]] auto is_due_at_bad_response() -> bool;

private:
    std::uint64_t bad_responses = 0;
    std::uint64_t due_at = 1;
};

} // namespace poplardrift::rollout
