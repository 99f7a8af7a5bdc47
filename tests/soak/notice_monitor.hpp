#pragma once

#include "request_tracker.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace poplardrift::soak
{

/// What upstreams have told hosts of themselves, and whether the hosts keep to it. Thread-safe.
class notice_monitor final
{
public:
    explicit notice_monitor(request_tracker& tracker) : tracker(tracker) {}

    /// The answer to this request says that this start of the upstream leaves.
    auto on_leaving_sent(std::size_t upstream, std::uint64_t start, const std::string& id) -> void;
    /// The answer to this request asks for a pause.
    auto on_pause_sent(std::size_t upstream, const std::string& id,
                       std::chrono::milliseconds length) -> void;
    /// A new start of the upstream has said nothing yet.
    auto on_upstream_started(std::size_t upstream, std::uint64_t start) -> void;
    /// A request of this host has reached the upstream. `has_heard_since` tells whether nothing has
    /// kept the host from hearing what it was sent since a moment.
    template <class Predicate>
    auto on_request(std::size_t upstream, const std::string& id, const request_record& record,
                    const Predicate& has_heard_since) -> void
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->notices.find({upstream, record.host});
        if (found == this->notices.end() || !has_heard_since(found->second.first_sent_at))
        {
            return;
        }
        this->check(found->second, id, record);
    }

    static constexpr std::chrono::milliseconds drain_limit{2000};
    static constexpr std::chrono::milliseconds pause_grace{500};
    static constexpr int max_requests_in_pause = 2;

private:
    struct notice
    {
        clock::time_point first_sent_at = clock::now();
        clock::time_point left_at = clock::time_point::max();
        std::string left_answer; ///< request whose answer said so
        clock::time_point paused_at{};
        std::string pause_answer;
        clock::time_point pause_ends_at{};
        int requests_in_pause = 0;
    };
    auto check(notice& sent, const std::string& id, const request_record& record) -> void;
    /// Drops notices in answers that their host may not have read, since the caller left.
    auto drop_unread(notice& sent) const -> void;

    request_tracker& tracker;
    std::mutex mutex;
    std::map<std::pair<std::size_t, std::size_t>, notice> notices; ///< by upstream and host
    std::map<std::size_t, std::uint64_t> starts;                   ///< current ones, by upstream
};

} // namespace poplardrift::soak
