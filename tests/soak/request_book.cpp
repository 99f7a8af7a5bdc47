#include "request_book.hpp"

#include <array>

namespace poplardrift::soak
{

auto is_stream(request_kind kind) -> bool
{
    return kind == request_kind::resumable_stream || kind == request_kind::single_stream;
}

auto may_run_again(request_kind kind) -> bool
{
    return kind == request_kind::idempotent || kind == request_kind::resumable_stream;
}

auto path_word(request_kind kind) -> std::string
{
    static const std::array<std::string, request_kinds> words = {"safe", "once", "stream",
                                                                 "stream-once"};
    return words[static_cast<std::size_t>(kind)];
}

auto request_book::open(request_kind kind, std::size_t host) -> std::string
{
    const std::lock_guard lock(this->mutex);
    auto id = path_word(kind) + "-" + std::to_string(this->records.size());
    auto& record = this->records[id];
    record.kind = kind;
    record.host = host;
    record.sent_at = clock::now();
    return id;
}

auto request_book::on_run(const std::string& id) -> request_record
{
    const std::lock_guard lock(this->mutex);
    const auto found_record = this->records.find(id);
    if (found_record == this->records.end())
    {
        this->add_finding_locked("a request that nobody sent runs: " + id);
        return {};
    }
    ++found_record->second.runs;
    return found_record->second;
}

auto request_book::on_upstream_failed(const std::string& id) -> void
{
    const std::lock_guard lock(this->mutex);
    this->records[id].upstream_failed = true;
}

auto request_book::on_promised_not_run(const std::string& id) -> void
{
    const std::lock_guard lock(this->mutex);
    this->records[id].promised_not_run = true;
}

auto request_book::find(const std::string& id) const -> request_record
{
    const std::lock_guard lock(this->mutex);
    return this->records.at(id);
}

auto request_book::add_finding(const std::string& text) -> void
{
    const std::lock_guard lock(this->mutex);
    this->add_finding_locked(text);
}

auto request_book::add_finding_locked(const std::string& text) -> void
{
    this->found.push_back(text);
}

auto request_book::count(const std::string& outcome) -> void
{
    const std::lock_guard lock(this->mutex);
    ++this->outcome_counts[outcome];
}

auto request_book::check_all(int max_attempts) -> void
{
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, record] : this->records)
    {
        const auto most_runs = may_run_again(record.kind) ? max_attempts : 1;
        if (record.runs > most_runs)
        {
            this->add_finding_locked(id + " ran " + std::to_string(record.runs) + " times");
        }
        if (record.promised_not_run && record.runs > 0)
        {
            this->add_finding_locked(id + " was refused as not run, and ran");
        }
    }
}

auto request_book::findings() const -> std::vector<std::string>
{
    const std::lock_guard lock(this->mutex);
    return this->found;
}

auto request_book::counts() const -> std::map<std::string, int>
{
    const std::lock_guard lock(this->mutex);
    return this->outcome_counts;
}

} // namespace poplardrift::soak
