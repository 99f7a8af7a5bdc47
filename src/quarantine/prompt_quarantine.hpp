#pragma once

#include "quarantine/harmless_parts.hpp"
#include "quarantine/mark_summary.hpp"
#include "quarantine/part_evidence.hpp"
#include "quarantine/upstream_ends.hpp"
#include "routing/host_group.hpp"
#include "routing/sliding_counter.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace poplardrift::quarantine
{

/// Why a part is no longer refused.
enum class release_reason : std::uint8_t
{
    harmless_answer, ///< an answer to a prompt with the part has begun well
    other_host,      ///< another host's evidence refutes the marks
    other_part,      ///< another part in quarantine explains the marks
    requests,        ///< requests in quarantine explain the marks
};

[[nodiscard]] auto to_text(release_reason reason) -> std::string_view;

/// A release and what it is based on.
struct part_release
{
    release_reason reason = release_reason::harmless_answer;
    /// The part or the requests that explain the marks.
    std::vector<routing::prompt_part_id> explained_by;
    /// The open marks at the time of the release.
    std::vector<crash_mark> marks;
};

/// Receives the decisions of a prompt_quarantine, inside the call that led to them.
class quarantine_listener
{
public:
    quarantine_listener() = default;
    quarantine_listener(const quarantine_listener&) = delete;
    auto operator=(const quarantine_listener&) -> quarantine_listener& = delete;
    virtual ~quarantine_listener() = default;

    /// Requests with the part are refused from now on. `is_own` is false if another host decided.
    virtual auto on_quarantined(const part_evidence& evidence, bool is_own) -> void = 0;
    /// Requests with the part are served again.
    virtual auto on_released(const part_evidence& evidence, const part_release& release)
        -> void = 0;
};

/// Why a request is refused, and for how long.
struct quarantine_refusal
{
    routing::prompt_part_id part;
    duration retry_after{};
};

/// Length of a quarantine of this level; level 1 is the first one.
[[nodiscard]] auto quarantine_time(int level) -> duration;

/// Keeps requests that end the process of each engine that runs them away from the engines.
///
/// An engine's end interrupts all requests that it runs, and the connection does not say which of
/// them was the cause. Those whose output had proved them harmless were not; each shared part of
/// the others' prompts gets a mark. A sound part is soon in an answer that begins well, which
/// refutes its marks; the cause never is. A part whose open marks are too many for chance is
/// quarantined: requests with it are refused, at all hosts, since the evidence is exchanged between
/// them.
///
/// A request as a whole is judged like a part that no other request has, so that repeats by its
/// caller, at any host, are refused once it has ended several engines.
///
/// What is in quarantine may explain the marks of a part. That part is served while this holds, but
/// keeps its marks: only an answer refutes them.
///
/// After a time that doubles with each quarantine, one request at one host at a time may try; if it
/// begins well the part is released.
///
/// Needs no clock and no network; callers pass the time. Not thread-safe. Requests with sound parts
/// cost one look-up a part.
class prompt_quarantine final
{
public:
    explicit prompt_quarantine(quarantine_listener& listener);

    /// Sets the time after which other hosts that know a part as harmless have said so.
    auto set_settling_time(duration time) -> void { this->settling_time = time; }
    /// The connection to `upstream` ended while a request was there that its output had proved
    /// harmless.
    auto on_upstream_ended(upstream_instance upstream, time_point now) -> void;
    /// The connection to `upstream` ended before the request had any output that proves it
    /// harmless.
    auto on_interrupted(const routing::judged_prompt& prompt, upstream_instance upstream,
                        request_key request, time_point now) -> void;
    /// An answer has begun at `began_at` and has proved its prompt harmless by `now`.
    auto on_harmless(const routing::judged_prompt& prompt, time_point began_at, time_point now)
        -> void;
    /// Takes in what another host, or the platform's store, knows.
    auto merge(const std::vector<part_evidence>& evidence, time_point now) -> void;

    /// Why a request with these parts may not be sent; empty if it may.
    [[nodiscard]] auto find_refusal(const routing::judged_prompt& prompt, time_point now) const
        -> std::optional<quarantine_refusal>;
    /// As find_refusal, but admits this host's trial request when one is due.
    [[nodiscard]] auto admit(const routing::judged_prompt& prompt, const routing::host_group& hosts,
                             time_point now) -> std::optional<quarantine_refusal>;
    /// True if one of the parts may have ended several engines, so that a request that was
    /// interrupted should not be sent to another one.
    [[nodiscard]] auto is_suspect(const routing::judged_prompt& prompt) const -> bool;

    /// Evidence for the other hosts: on parts with changes within the last seconds, those most
    /// suspect first, and then on the others in quarantine.
    [[nodiscard]] auto evidence_to_share(time_point now) const -> shared_evidence;
    /// Parts whose quarantine is in force, for the operators' pages.
    [[nodiscard]] auto quarantined_parts() const -> std::vector<part_evidence>;
    /// Forgets old evidence. Call about every second.
    auto forget_old(time_point now) -> void;

private:
    /// Interval over which the usual share of interrupted requests is taken.
    static constexpr duration chance_window = std::chrono::seconds(10);

    struct part_case
    {
        part_evidence evidence;
        time_point opened_at{};
        time_point changed_at{};
        bool was_held = false; ///< has been in quarantine
        /// Something else in quarantine explains its marks at present, so it is not refused. The
        /// marks remain: this is no proof that the part is harmless.
        bool is_explained = false;
        /// Upstreams that ended, the first ones, including those of marks that were dropped.
        std::vector<upstream_instance> upstreams;
        /// This host's interrupted requests with the part.
        routing::sliding_counter interrupted{chance_window};
        /// Level of the quarantine and number of the trial period in which this host sent one.
        std::pair<int, std::uint64_t> last_trial;
    };
    using case_map = absl::flat_hash_map<routing::prompt_part_id, part_case>;

    /// True if requests with the part are refused.
    [[nodiscard]] static auto is_in_force(const part_case& it) -> bool
    {
        return it.evidence.is_quarantined() && !it.is_explained;
    }
    /// Order in which parts may explain each other.
    [[nodiscard]] static auto rank_of(const part_case& it) -> std::pair<std::size_t, std::size_t>
    {
        return {it.upstreams.size(), it.evidence.depth};
    }
    auto find_or_open(routing::prompt_part_id part, time_point now) -> part_case*;
    auto add_mark(routing::prompt_part_id part, std::size_t depth, const crash_mark& mark) -> void;
    /// True if this ends a quarantine.
    auto refute(routing::prompt_part_id part, time_point began_at, time_point now) -> bool;
    /// Makes room for new cases; false if all parts are in quarantine.
    auto drop_least_suspect() -> bool;
    auto on_changed(part_case& changed, time_point now) -> void;
    /// Calls `visit` with the evidence on each part of the prompt, and on the whole, whose
    /// quarantine is in force.
    template <class Visitor>
    auto for_each_quarantined(const routing::judged_prompt& prompt, const Visitor& visit) const
        -> void;
    /// True if this host is the one to try a request with the part now.
    [[nodiscard]] auto is_trial_due(const part_evidence& evidence, const routing::host_group& hosts,
                                    time_point now) const -> bool;
    static auto note_upstream(part_case& suspect, upstream_instance upstream) -> void;
    /// True if the part was at this end of an upstream.
    [[nodiscard]] static auto has_noted(const part_case& suspect, upstream_instance upstream)
        -> bool;
    auto evaluate(time_point now) -> void;
    [[nodiscard]] auto find_most_suspect(time_point now) -> part_case*;
    /// Open marks that nothing in quarantine explains; empty if they are too few, or too new, to
    /// judge the part.
    [[nodiscard]] auto judgeable_marks(const part_case& suspect, time_point now) const
        -> std::optional<mark_summary>;
    [[nodiscard]] auto is_beyond_chance(part_case& suspect, time_point now) -> bool;
    /// The part that was at nearly all ends of upstreams since its first mark, if there is one.
    /// Holds under any share of the requests, but a part of all requests is at all ends, too.
    [[nodiscard]] auto find_common_to_ends(time_point now) -> part_case*;
    /// True if answers have begun since the part's first open mark.
    [[nodiscard]] auto has_comparison(const part_case& suspect) const -> bool;
    /// Number of ends of upstreams at which the part was; 0 unless it was at nearly all of them.
    [[nodiscard]] auto count_common_ends(const part_case& suspect, time_point now) const
        -> std::size_t;
    /// True if a deeper part that may be the cause has most of the suspect's marks. It is in fewer
    /// other prompts, so it is judged first.
    [[nodiscard]] auto has_deeper_rival(const part_case& suspect) const -> bool;
    /// Collects the ends of upstreams at which something in quarantine was, which explains them.
    auto collect_explained_ends() -> void;
    /// Another part whose quarantine is in force that was at all ends at which the suspect was, and
    /// at more.
    [[nodiscard]] auto find_explaining_part(const part_case& suspect) const
        -> std::optional<routing::prompt_part_id>;
    /// Requests in quarantine that explain all these marks of the suspect; empty if there are
    /// none. Either one request with the part was at all of the ends, or several were that ended
    /// other upstreams without the part, too.
    [[nodiscard]] auto find_explaining_requests(const part_case& suspect,
                                                const std::vector<crash_mark>& marks) const
        -> std::vector<routing::prompt_part_id>;
    /// True if requests in quarantine are enough to explain these marks of the suspect, so that it
    /// is not judged.
    [[nodiscard]] auto is_explained_by_requests(const part_case& suspect,
                                                const std::vector<crash_mark>& marks) const -> bool;
    /// The release of a part whose marks something else in quarantine explains.
    [[nodiscard]] auto find_explanation(const part_case& suspect) const
        -> std::optional<part_release>;
    /// Releases parts whose marks something else in quarantine explains better, and refuses them
    /// again once it does not. Decided by each host on its own, from the evidence that all share.
    auto apply_explanations(time_point now) -> void;
    auto resume_quarantine(part_case& suspect, time_point now) -> void;
    auto quarantine(part_case& found, duration time, time_point now) -> void;
    /// Usual share of requests that are interrupted without the part being the cause.
    [[nodiscard]] auto chance_of_interruption(part_case& without, time_point now) -> double;

    quarantine_listener& listener;
    case_map cases;
    harmless_parts harmless;
    upstream_ends ends;
    absl::flat_hash_set<upstream_instance> explained_by_part;
    absl::flat_hash_set<upstream_instance> explained_by_request;
    duration settling_time = std::chrono::milliseconds(300);
    routing::sliding_counter interrupted;
    routing::sliding_counter begun;
    std::uint64_t begun_in_all = 0;
    std::vector<routing::prompt_part_id> quarantined; ///< parts for which is_quarantined() holds
};

} // namespace poplardrift::quarantine
