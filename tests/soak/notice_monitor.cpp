#include "notice_monitor.hpp"

#include <algorithm>

namespace poplardrift::soak
{

auto notice_monitor::on_leaving_sent(std::size_t upstream, std::uint64_t start,
                                     const std::string& id) -> void
{
    const auto host = this->tracker.find(id).host;
    const std::lock_guard lock(this->mutex);
    const auto current = this->starts.find(upstream);
    if (current != this->starts.end() && current->second != start)
    {
        return; // a new start has taken its place meanwhile
    }
    auto& sent = this->notices[{upstream, host}];
    if (sent.left_at == clock::time_point::max())
    {
        sent.left_at = clock::now();
        sent.left_answer = id;
    }
}

auto notice_monitor::on_pause_sent(std::size_t upstream, const std::string& id,
                                   std::chrono::milliseconds length) -> void
{
    const auto host = this->tracker.find(id).host;
    const std::lock_guard lock(this->mutex);
    auto& sent = this->notices[{upstream, host}];
    const auto now = clock::now();
    if (now >= sent.pause_ends_at)
    {
        sent.paused_at = now;
        sent.pause_answer = id;
        sent.requests_in_pause = 0;
    }
    sent.pause_ends_at = std::max(sent.pause_ends_at, now + length);
}

auto notice_monitor::on_upstream_started(std::size_t upstream, std::uint64_t start) -> void
{
    const std::lock_guard lock(this->mutex);
    this->starts[upstream] = start;
    std::erase_if(this->notices, [&](const auto& item) { return item.first.first == upstream; });
}

auto notice_monitor::drop_unread(notice& sent) const -> void
{
    if (!sent.left_answer.empty() && this->tracker.find(sent.left_answer).caller_left)
    {
        sent.left_at = clock::time_point::max();
        sent.left_answer.clear();
    }
    if (!sent.pause_answer.empty() && this->tracker.find(sent.pause_answer).caller_left)
    {
        sent.pause_ends_at = {};
        sent.pause_answer.clear();
    }
}

auto notice_monitor::check(notice& sent, const std::string& id, const request_record& record)
    -> void
{
    this->drop_unread(sent);
    const auto now = clock::now();
    if (sent.left_at != clock::time_point::max() && record.sent_at > sent.left_at + drain_limit)
    {
        this->tracker.add_finding(id + " was sent by h" + std::to_string(record.host) +
                                  " to an upstream that had told it that it leaves");
    }
    if (now > sent.paused_at + pause_grace && now < sent.pause_ends_at &&
        ++sent.requests_in_pause > max_requests_in_pause)
    {
        this->tracker.add_finding(id + " was sent by h" + std::to_string(record.host) +
                                  " to an upstream that had asked it for a pause");
    }
}

} // namespace poplardrift::soak
