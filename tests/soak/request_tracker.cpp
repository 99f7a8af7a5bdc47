#include "request_tracker.hpp"

#include <array>

namespace poplardrift::soak
{

auto is_stream(request_kind kind) -> bool
{
    return kind == request_kind::resumable_stream || kind == request_kind::single_stream;
}

auto is_retryable(request_kind kind) -> bool
{
    return kind == request_kind::idempotent || kind == request_kind::resumable_stream;
}

auto path_segment(request_kind kind) -> std::string
{
    static const std::array<std::string, request_kind_count> segments = {"safe", "once", "stream",
                                                                         "stream-once"};
    return segments[static_cast<std::size_t>(kind)];
}

auto request_tracker::add_request(request_kind kind, std::size_t host) -> std::string
{
    const std::lock_guard lock(this->mutex);
    auto id = path_segment(kind) + "-" + std::to_string(this->records.size());
    auto& record = this->records[id];
    record.kind = kind;
    record.host = host;
    record.sent_at = clock::now();
    return id;
}

auto request_tracker::on_run(const std::string& id) -> request_record
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->records.find(id);
    if (entry == this->records.end())
    {
        this->add_finding_locked("an upstream received an unknown request: " + id);
        return {};
    }
    ++entry->second.runs;
    return entry->second;
}

auto request_tracker::on_upstream_failed(const std::string& id) -> void
{
    const std::lock_guard lock(this->mutex);
    this->records[id].upstream_failed = true;
}

auto request_tracker::on_reported_not_run(const std::string& id) -> void
{
    const std::lock_guard lock(this->mutex);
    this->records[id].reported_not_run = true;
}

auto request_tracker::on_caller_left(const std::string& id) -> void
{
    const std::lock_guard lock(this->mutex);
    this->records[id].caller_left = true;
}

auto request_tracker::find(const std::string& id) const -> request_record
{
    const std::lock_guard lock(this->mutex);
    return this->records.at(id);
}

auto request_tracker::add_finding(const std::string& text) -> void
{
    const std::lock_guard lock(this->mutex);
    this->add_finding_locked(text);
}

auto request_tracker::add_finding_locked(const std::string& text) -> void
{
    this->recorded_findings.push_back(text);
}

auto request_tracker::count(const std::string& outcome) -> void
{
    const std::lock_guard lock(this->mutex);
    ++this->outcome_counts[outcome];
}

auto request_tracker::check_all(int max_attempts) -> void
{
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, record] : this->records)
    {
        const auto max_runs = is_retryable(record.kind) ? max_attempts : 1;
        if (record.runs > max_runs)
        {
            this->add_finding_locked(id + " ran " + std::to_string(record.runs) + " times");
        }
        if (record.reported_not_run && record.runs > 0)
        {
            this->add_finding_locked(id + " was reported as not run, but ran");
        }
    }
}

auto request_tracker::findings() const -> std::vector<std::string>
{
    const std::lock_guard lock(this->mutex);
    return this->recorded_findings;
}

auto request_tracker::counts() const -> std::map<std::string, int>
{
    const std::lock_guard lock(this->mutex);
    return this->outcome_counts;
}

} // namespace poplardrift::soak
