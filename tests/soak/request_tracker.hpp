#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace poplardrift::soak
{

using clock = std::chrono::steady_clock;

/// Determines whether a request may be sent again and how its response is delivered.
enum class request_kind : std::uint8_t
{
    idempotent,
    non_idempotent,
    resumable_stream,
    single_stream,
};

inline constexpr std::size_t request_kind_count = 4;

[[nodiscard]] auto is_stream(request_kind kind) -> bool;
[[nodiscard]] auto is_retryable(request_kind kind) -> bool;
/// First path segment of requests of a kind.
[[nodiscard]] auto path_segment(request_kind kind) -> std::string;

/// What callers and upstreams have observed of one request.
struct request_record
{
    request_kind kind = request_kind::idempotent;
    clock::time_point sent_at{};
    std::size_t host = 0;
    int runs = 0;
    bool upstream_failed = false; ///< an upstream failed, broke off or hung on purpose
    bool reported_not_run = false;
    bool caller_left = false; ///< its host may have closed the upstream's connection unread
};

/// Records all requests of a seed, the findings and the outcome counts. Thread-safe.
class request_tracker final
{
public:
    /// Records a new request and returns its identifier.
    [[nodiscard]] auto add_request(request_kind kind, std::size_t host) -> std::string;
    /// Records that an upstream started to process the request. Returns a copy of the record; for
    /// an unknown identifier adds a finding and returns a default record.
    [[nodiscard]] auto on_run(const std::string& id) -> request_record;
    auto on_upstream_failed(const std::string& id) -> void;
    auto on_reported_not_run(const std::string& id) -> void;
    auto on_caller_left(const std::string& id) -> void;
    [[nodiscard]] auto find(const std::string& id) const -> request_record;

    auto add_finding(const std::string& text) -> void;
    /// Counts an outcome for the summary.
    auto count(const std::string& outcome) -> void;
    /// Checks the runs of all requests. Call when no request is in flight.
    auto check_all(int max_attempts) -> void;

    [[nodiscard]] auto findings() const -> std::vector<std::string>;
    [[nodiscard]] auto counts() const -> std::map<std::string, int>;

private:
    auto add_finding_locked(const std::string& text) -> void;

    mutable std::mutex mutex;
    std::map<std::string, request_record> records;
    std::vector<std::string> recorded_findings;
    std::map<std::string, int> outcome_counts;
};

} // namespace poplardrift::soak
