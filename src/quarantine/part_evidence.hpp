#pragma once

#include "poplardrift/base/strong_type.hpp"
#include "poplardrift/base/time.hpp"
#include "routing/prompt.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace poplardrift::quarantine
{

/// Identifies one start of an upstream: a hash of its name and start number.
using upstream_instance = strong_type<struct upstream_instance_tag, std::uint32_t>;
/// Identifies a request: in the evidence on a shared part, a hash of its whole prompt, the same
/// whenever its caller repeats it; in the evidence on a whole request, and without a prompt of its
/// own, a hash of the caller's id for this attempt.
using request_key = strong_type<struct request_key_tag, std::uint32_t>;

/// The key of a whole request in the evidence on the parts that it shares.
[[nodiscard]] inline auto key_of(routing::prompt_part_id whole) -> request_key
{
    return request_key(static_cast<std::uint32_t>(whole.value()));
}

/// An upstream ended while a request with the part waited there for the first output.
struct crash_mark
{
    upstream_instance upstream;
    request_key request;
    time_point at{};         ///< when this host saw or received it
    bool is_refuted = false; ///< an answer to a prompt with the part has begun well since
    bool is_own = false;     ///< this host's request was interrupted
    /// Answers that this host had seen begin well before the mark, over all prompts.
    std::uint64_t begun_before = 0;
};

/// What is known about one prompt part that was in an interrupted request. Copies on several hosts
/// are merged in any order, any number of times. Marks are told apart by upstream and request. An
/// answer that begins well refutes all earlier marks; a mark that comes refuted from another host
/// therefore refutes those before it, too. Times are compared on this host's clock only.
struct part_evidence
{
    routing::prompt_part_id part;
    std::vector<crash_mark> marks;  ///< open ones, at most max_marks, and the newest refuted one
    time_point harmless_until{};    ///< marks up to this time are refuted
    std::size_t depth = 0;          ///< its place in the prompt, 0 for the first part
    bool was_harmless = false;      ///< an answer to a prompt with the part has ever begun well
    int level = 0;                  ///< number of quarantines so far, without a release
    time_point quarantined_until{}; ///< end of the quarantine of this level

    /// Adds a mark unless the same one is known. False if nothing has changed.
    auto add(crash_mark mark) -> bool;
    /// Adds what another copy knows. False if nothing has changed.
    auto merge(const part_evidence& other) -> bool;
    /// Refutes the marks made up to `until`, when an answer began well. False if nothing has
    /// changed.
    auto refute(time_point until) -> bool;

    [[nodiscard]] auto has_open_marks() const -> bool;
    /// True from a quarantine until a harmless answer refutes its marks.
    [[nodiscard]] auto is_quarantined() const -> bool
    {
        return this->level > 0 && this->has_open_marks();
    }
    [[nodiscard]] auto open_marks() const -> std::vector<crash_mark>;
    [[nodiscard]] auto count_open_marks() const -> std::size_t;
    /// True if this request at this upstream has left an open mark.
    [[nodiscard]] auto is_open_here(const crash_mark& mark) const -> bool;

    /// True for the evidence on one request as a whole, which is the same work whenever its caller
    /// repeats it, and not on a part that several requests share.
    [[nodiscard]] auto is_on_request() const -> bool { return this->depth == request_depth; }

    /// Most open marks.
    static constexpr std::size_t max_marks = 12;
    /// Depth of a whole request, deeper than any part.
    static constexpr std::size_t request_depth = 65'536;

private:
    /// Drops one open mark if there are too many, and returns it.
    auto drop_excess() -> std::optional<crash_mark>;
    /// Refutes marks up to harmless_until and drops the refuted ones but the newest.
    auto apply_refutation() -> void;
};

/// Evidence that a host sends to the others.
struct shared_evidence
{
    std::vector<part_evidence> parts;
    std::size_t recent = 0;  ///< number of parts at the front with recent changes
    time_point changed_at{}; ///< last change of any part
};

} // namespace poplardrift::quarantine
