#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace poplardrift::routing
{

/// An upstream that may be drawn for a request.
struct sampled_candidate
{
    std::size_t position = 0;
    double capacity = 0.0;  ///< requests per ms that it can run
    double in_flight = 0.0; ///< expected requests there now
    int slots = 1;          ///< requests that it runs at once
    std::uint64_t draw = 0; ///< pseudo-random, different for each pair of request and upstream
};

/// Draws a few candidates at random in proportion to their capacity and chooses among these.
///
/// Hosts that decide by the same old counts would all choose the same upstream if they took the
/// least loaded of all. Drawing by capacity alone divides the work right in the mean; the choice
/// among the drawn evens out what this host knows exactly, its own requests. Does not allocate.
class candidate_sample final
{
public:
    auto add(const sampled_candidate& candidate) -> void;
    /// Position of the chosen upstream; empty if there were no candidates. Candidates with a free
    /// slot take precedence.
    [[nodiscard]] auto choose() const -> std::optional<std::size_t>;

private:
    struct drawn_candidate
    {
        sampled_candidate candidate;
        double rank = 0.0; ///< lower is drawn earlier
    };
    /// The first candidates in the order of the draw.
    struct drawn_list
    {
        auto add(const drawn_candidate& drawn) -> void;
        [[nodiscard]] auto choose() const -> std::optional<std::size_t>;

        std::array<drawn_candidate, 3> first;
        std::size_t candidates = 0;
    };

    drawn_list with_room;
    drawn_list all;
};

} // namespace poplardrift::routing
