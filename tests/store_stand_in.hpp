#pragma once

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace poplardrift::tests
{

/// In-process HTTP stand-in for the platform's store: keyed topics with one partition, appends,
/// long-polling reads, paged listings of the newest record of each key, expiry, outages and
/// restores from an older copy. Thread-safe.
class store_stand_in final
{
public:
    store_stand_in();
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    auto operator=(const store_stand_in&) -> store_stand_in& = delete;

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return static_cast<std::uint16_t>(this->listening_port);
    }
    /// Appends a record as operators and upstreams do; without a value it removes the key.
    auto put(const std::string& topic, const std::string& key,
             const std::optional<std::string>& value) -> void;
    /// Expires all records of the topic; the newest of each key stays in the listing.
    auto expire(const std::string& topic) -> void;
    /// Appends this record while the next listing is answered: the listing's end offset includes
    /// it, its items do not.
    auto append_during_next_listing(const std::string& key, const std::string& value) -> void;
    /// Appends these records after the first page of the next listing; a record without a value
    /// removes its key.
    using change_list = std::vector<std::pair<std::string, std::optional<std::string>>>;
    auto append_between_pages(const change_list& changes) -> void;
    auto set_down(bool is_down) -> void { this->down = is_down; }
    /// Takes the copy of all topics that the next restore returns to.
    auto take_copy() -> void;
    /// Discards all that was written since the copy, and states the next era. Reads that are
    /// waiting end as reads of the restored store.
    auto restore() -> void;
    /// Restores after the first page of the next listing.
    auto restore_between_pages() -> void { this->restores_between_pages = true; }
    /// The era that answers state instead of the real one; empty: none.
    auto state_era(const std::optional<std::string>& text) -> void;
    [[nodiscard]] auto calls() const -> int { return this->call_count; }

private:
    struct record
    {
        std::string key;
        std::optional<std::string> value;
    };
    struct topic
    {
        std::vector<record> records;
        std::uint64_t first_offset = 0; ///< offset of the oldest retained record
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    };

    auto handle_append(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_read(const httplib::Request& request, httplib::Response& response) -> void;
    auto handle_newest(const httplib::Request& request, httplib::Response& response) -> void;
    auto restore_locked() -> void;
    auto append_era(httplib::Response& response) -> void;
    [[nodiscard]] auto reject_if_down(httplib::Response& response) -> bool;
    auto put_locked(topic& target, const std::string& key, const std::optional<std::string>& value)
        -> void;

    std::mutex mutex;
    std::condition_variable records_changed;
    std::map<std::string, topic> topics;
    std::map<std::string, topic> copy;
    std::uint32_t era = 0; ///< answers state none until the first restore
    std::optional<std::string> stated_era;
    std::atomic<bool> restores_between_pages{false};
    std::optional<std::pair<std::string, std::string>> overtaking_change;
    change_list changes_between_pages;
    std::atomic<bool> down{false};
    std::atomic<bool> stopping{false};
    std::atomic<int> call_count{0};
    httplib::Server server;
    int listening_port = 0;
    std::thread thread;
};

} // namespace poplardrift::tests
